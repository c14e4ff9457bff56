package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A shutdown shorter than drainAcceptPeriod accepts only requests that can finish in it.
func TestFitsShortDrain(t *testing.T) {
	must.False(t, FitsDrain(Work{Stream: true, Timeout: 15 * time.Second}, time.Second, 2*time.Second))
	must.True(t, FitsDrain(Work{Timeout: 800 * time.Millisecond}, 500*time.Millisecond, 2*time.Second))
}

// Callers send requests to a draining router over kept-alive connections. Requests
// that can still finish are served; the others are refused at once.
func TestFitsDrain(t *testing.T) {
	const limit = 8 * time.Second
	for _, c := range []struct {
		name    string
		work    Work
		elapsed time.Duration
		want    bool
	}{
		{"short call, late", Work{Timeout: 800 * time.Millisecond}, 6600 * time.Millisecond, true},
		{"short call, too late", Work{Timeout: 800 * time.Millisecond}, 6700 * time.Millisecond, false},
		{"call without a timeout", Work{}, 6500 * time.Millisecond, false},
		{"short stream", Work{Stream: true, OutputTokens: 90, Timeout: 3 * time.Second}, 6 * time.Second, true},
		{"usual stream, late", Work{Stream: true, OutputTokens: 955, Timeout: 15 * time.Second}, 3200 * time.Millisecond, false},
		{"usual stream, while new callers come", Work{Stream: true, OutputTokens: 955, Timeout: 15 * time.Second}, 3 * time.Second, true},
		{"longest stream at the beginning", Work{Stream: true, OutputTokens: 4000, Timeout: 15 * time.Second}, 0, true},
		{"stream of unknown length", Work{Stream: true, Timeout: 15 * time.Second}, 2 * time.Second, true},
		{"stream of unknown length, later", Work{Stream: true, Timeout: 15 * time.Second}, 3100 * time.Millisecond, false},
	} {
		must.Eq(t, c.want, FitsDrain(c.work, c.elapsed, limit), must.Sprint(c.name))
	}
}
