package agent

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAnswerLimits(t *testing.T) {
	s := newAnswers(15, 10)
	long, other := newAnswer("long", "rice", false, func() {}), newAnswer("other", "rice", false, func() {})
	must.True(t, s.write(long, make([]byte, 10)))
	must.False(t, s.write(long, make([]byte, 1)), must.Sprint("one answer exceeded its limit"))
	must.True(t, s.write(other, make([]byte, 5)))
	must.False(t, s.write(other, make([]byte, 1)), must.Sprint("all answers together exceeded their limit"))
	must.Eq(t, 15, s.used.Load())
}
