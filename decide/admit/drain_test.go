package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A shutdown shorter than drainAcceptPeriod accepts only requests that can finish in it.
func TestFitsShortDrain(t *testing.T) {
	must.False(t, FitsDrain(Work{Timeout: 15 * time.Second}, time.Second, 2*time.Second))
	must.True(t, FitsDrain(Work{Timeout: 800 * time.Millisecond}, 500*time.Millisecond, 2*time.Second))
}

// Callers send requests to a draining router over kept-alive connections. Requests that
// end in time whatever they take are served; the others are refused at once, since one
// that takes longer than expected would be lost with the process.
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
		{"call without a timeout", Work{}, 3100 * time.Millisecond, false},
		{"call without a timeout, too late", Work{}, 6500 * time.Millisecond, false},
		{"short stream", Work{Timeout: 3 * time.Second}, 4400 * time.Millisecond, true},
		{"short stream, late", Work{Timeout: 3 * time.Second}, 4500 * time.Millisecond, false},
		{"usual stream, late", Work{Timeout: 15 * time.Second}, 3200 * time.Millisecond, false},
		{"usual stream, while new callers come", Work{Timeout: 15 * time.Second}, 3 * time.Second, true},
		{"usual stream at the beginning", Work{Timeout: 15 * time.Second}, 0, true},
		{"slow stream, while new callers come", Work{Timeout: 15 * time.Second, Expected: 5 * time.Second}, 2400 * time.Millisecond, true},
		{"slow stream that cannot end in time", Work{Timeout: 15 * time.Second, Expected: 5 * time.Second}, 2500 * time.Millisecond, false},
		{"stream with a slow kind and a short timeout", Work{Timeout: 3 * time.Second, Expected: 5 * time.Second}, 2500 * time.Millisecond, true},
		{"request without a timeout, while new callers come", Work{}, 2 * time.Second, true},
	} {
		must.Eq(t, c.want, FitsDrain(c.work, c.elapsed, limit), must.Sprint(c.name))
	}
}
