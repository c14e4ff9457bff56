package schedule

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBackoffAndJitter(t *testing.T) {
	b := Backoff{Min: time.Second, Max: 5 * time.Second}
	for _, tc := range []struct {
		failures   int
		retryAfter time.Duration
		r          float64
		want       time.Duration
	}{{1, 0, 0, 0}, {1, 0, 1, time.Second}, {2, 0, 0.5, time.Second}, {3, 0, 1, 4 * time.Second}, {99, 0, 1, 5 * time.Second}, {4, 3 * time.Second, 0.5, 5500 * time.Millisecond}} {
		must.Eq(t, tc.want, b.Wait(tc.failures, tc.retryAfter, tc.r))
	}
	must.Eq(t, time.Second, Jitter(2*time.Second, 0))
	must.Eq(t, 3*time.Second, Jitter(2*time.Second, 1))
}
