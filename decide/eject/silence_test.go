package eject

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSilenceCountsFromTheLastByteWhileAnswersAreOwed(t *testing.T) {
	const ms = time.Millisecond
	var quiet Silence
	must.Zero(t, quiet.For(s)) // nothing is owed
	quiet.Begin(s)
	quiet.Begin(s + 300*ms) // another request does not start the count anew
	must.Eq(t, 500*ms, quiet.For(s+500*ms))
	quiet.Heard(s + 600*ms) // whatever answer it belongs to
	must.Eq(t, 100*ms, quiet.For(s+700*ms))
	quiet.End()
	must.Eq(t, 400*ms, quiet.For(2*s))
	quiet.End()
	must.Zero(t, quiet.For(3*s))
	quiet.Begin(4 * s)
	must.Zero(t, quiet.For(4*s))
	must.Zero(t, quiet.For(4*s-ms)) // a clock read before the byte was noted
}
