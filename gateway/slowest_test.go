package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The slowest answer of a route counts for ten to twenty seconds, and for its route alone.
func TestSlowestAnswersExpire(t *testing.T) {
	now := time.Now()
	s := newSlowestAnswers(now)
	s.record("a", 3*time.Second, now)
	s.record("a", time.Second, now)
	must.Eq(t, 3*time.Second, s.slowest("a", now.Add(9*time.Second)))
	must.Eq(t, 3*time.Second, s.slowest("a", now.Add(10*time.Second)))
	must.Eq(t, 0, s.slowest("b", now.Add(10*time.Second)))
	s.record("a", time.Second, now.Add(11*time.Second))
	must.Eq(t, 3*time.Second, s.slowest("a", now.Add(19*time.Second)))
	must.Eq(t, time.Second, s.slowest("a", now.Add(20*time.Second)))
	must.Eq(t, 0, s.slowest("a", now.Add(time.Minute)))
}
