package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Callers of a service have sessions once two requests that differ share the last part of their
// prompt. A request that comes again is none, and what is held must stay bounded.
func TestSessionsAreRequestsThatDiffer(t *testing.T) {
	var s sessions
	s.Record("a", 1, 10)
	s.Record("a", 2, 20)
	s.Record("a", 1, 10) // a retry, or a stream that is taken up
	must.SliceEmpty(t, s.Services())
	s.Record("a", 1, 11)
	must.Eq(t, []string{"a"}, s.Services())
	must.True(t, s.Any([]string{"b", "a"}))
	must.False(t, s.Any([]string{"b"}))
	s.Restore([]string{"c"})
	must.Eq(t, []string{"a", "c"}, s.Services())
	for part := range uint64(3 * maxSessionParts) {
		s.Record("b", 100+part, 1)
	}
	must.LessEq(t, 2*maxSessionParts, len(s.current)+len(s.previous))
	must.False(t, s.Any([]string{"b"}))
	s.Record("b", 100+3*maxSessionParts-maxSessionParts/2, 2)
	must.True(t, s.Any([]string{"b"}))
}
