// Package schedule computes jittered intervals and exponential backoff with
// full jitter, so that many processes do not act at the same time.
package schedule

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with full jitter. The upper limit of the
// wait doubles with each consecutive failure, up to Max. A wait that the server
// asks for is added and not limited.
type Backoff struct {
	Min time.Duration // upper limit of the wait after the first failure
	Max time.Duration // upper limit of the wait after any number of failures
}

// Wait returns the time to wait after the given number of consecutive failures:
// retryAfter, the wait that the server asked for, plus the fraction r, between
// 0 and 1, of the upper limit.
func (b Backoff) Wait(failures int, retryAfter time.Duration, r float64) time.Duration {
	maxWait := b.Min
	for i := 1; i < failures && maxWait < b.Max; i++ {
		maxWait *= 2
	}
	return retryAfter + time.Duration(r*float64(min(maxWait, b.Max)))
}

// Jitter returns a duration between d/2 and 3d/2, for r between 0 and 1.
func Jitter(d time.Duration, r float64) time.Duration {
	return d/2 + time.Duration(r*float64(d))
}

// Random returns a random number between 0 and 1 for Wait and Jitter. It may be
// called concurrently.
func Random() float64 { return rand.Float64() }

// Sleep waits for d or until ctx is done. It reports whether it waited for all
// of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
