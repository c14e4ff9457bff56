// Package schedule computes when controllers act again: jittered intervals, and
// back-off with full jitter, so that many processes do not act at once.
package schedule

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff doubles the longest wait with each failure in a row.
type Backoff struct {
	Min time.Duration // longest wait after the first failure
	Max time.Duration // longest wait ever
}

// Wait returns the wait after that many failures in a row, at least the wait
// that was asked for: a share r, within 0 and 1, of the longest wait is added.
func (b Backoff) Wait(failures int, asked time.Duration, r float64) time.Duration {
	longest := b.Min
	for i := 1; i < failures && longest < b.Max; i++ {
		longest *= 2
	}
	return asked + time.Duration(r*float64(min(longest, b.Max)))
}

// Jitter returns a duration between half of d and one and a half, for r within
// 0 and 1.
func Jitter(d time.Duration, r float64) time.Duration {
	return d/2 + time.Duration(r*float64(d))
}

// Random returns a number within 0 and 1 for Wait and Jitter. It may be called
// concurrently.
func Random() float64 { return rand.Float64() }

// Sleep waits for d or until ctx ends, and tells whether it waited for d.
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
