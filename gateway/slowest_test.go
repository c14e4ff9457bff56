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
	check := func(route string, after, took time.Duration, count int) {
		t.Helper()
		gotTook, gotCount := s.slowest(route, now.Add(after))
		must.Eq(t, took, gotTook)
		must.Eq(t, count, gotCount)
	}
	check("a", 9*time.Second, 3*time.Second, 2)
	check("a", 10*time.Second, 3*time.Second, 2)
	check("b", 10*time.Second, 0, 0)
	s.record("a", time.Second, now.Add(11*time.Second))
	check("a", 19*time.Second, 3*time.Second, 3)
	check("a", 20*time.Second, time.Second, 1)
	check("a", time.Minute, 0, 0)
}
