package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Pattern: callers whose kept connections bring requests to a router that is
// stopping. What can still end is served, the rest is refused at once.
func TestFitsStop(t *testing.T) {
	const limit = 8 * time.Second
	for _, c := range []struct {
		name    string
		work    Work
		elapsed time.Duration
		want    bool
	}{
		{"short call, late", Work{Timeout: 800 * time.Millisecond}, 6500 * time.Millisecond, true},
		{"short call, too late", Work{Timeout: 800 * time.Millisecond}, 6600 * time.Millisecond, false},
		{"call without a timeout", Work{}, 6400 * time.Millisecond, false},
		{"short stream", Work{Stream: true, OutputTokens: 25, Timeout: 3 * time.Second}, 6 * time.Second, true},
		{"usual stream, early", Work{Stream: true, OutputTokens: 300, Timeout: 15 * time.Second}, 4 * time.Second, true},
		{"usual stream, late", Work{Stream: true, OutputTokens: 300, Timeout: 15 * time.Second}, 5 * time.Second, false},
		{"long stream at the beginning", Work{Stream: true, OutputTokens: 800, Timeout: 15 * time.Second}, 0, true},
		{"longest stream", Work{Stream: true, OutputTokens: 1000, Timeout: 15 * time.Second}, 0, false},
		{"stream of unknown length", Work{Stream: true, Timeout: 15 * time.Second}, 2 * time.Second, true},
		{"stream of unknown length, later", Work{Stream: true, Timeout: 15 * time.Second}, 3 * time.Second, false},
	} {
		must.Eq(t, c.want, FitsStop(c.work, c.elapsed, limit), must.Sprint(c.name))
	}
}
