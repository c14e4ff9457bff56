// Package limit keeps the sends to an upstream within the rate that the upstream names.
package limit

import "time"

const (
	// MinRate is the rate, in requests a second, that is used for lower limits. Only an
	// answer can show that a limit has ended, so some requests must be sent.
	MinRate = 0.25
	// MaxRate is the rate, in requests a second, from which a limit counts as none.
	MaxRate = 100_000
	// burstTime is the time of which unused permits are saved, beyond one permit.
	burstTime = 250 * time.Millisecond
	// FallbackShare is the part of a limit that a router grants that takes another one to
	// keep it: some routers may not reach that one.
	FallbackShare = 0.125
)

// Burst returns the most permits that are saved at a rate.
func Burst(rate float64) float64 { return 1 + rate*burstTime.Seconds() }

// Bucket is a token bucket of permits to send. The zero value is an empty bucket. It is not
// safe for concurrent use.
type Bucket struct {
	saved   float64
	updated time.Duration
	used    bool // updated is set
}

// Take uses a permit, or returns the time until there is one if nobody else takes it. now
// is a monotonic time and rate is in requests a second, MinRate at least; the rate of each
// call counts from the call before on.
func (b *Bucket) Take(now time.Duration, rate float64) (granted bool, wait time.Duration) {
	if !(rate >= MinRate) { // also if it is not a number
		rate = MinRate
	}
	rate = min(rate, MaxRate)
	return b.TakeSaved(now, rate, Burst(rate))
}

// TakeSaved is like Take, but saves at most burst permits, and the rate may be any; with a
// rate of 0 there is no further permit.
func (b *Bucket) TakeSaved(now time.Duration, rate, burst float64) (granted bool, wait time.Duration) {
	if b.used {
		b.saved += rate * max(0, now-b.updated).Seconds()
	}
	b.saved = min(b.saved, burst)
	b.updated, b.used = max(b.updated, now), true
	if b.saved >= 1 {
		b.saved--
		return true, 0
	}
	if rate <= 0 {
		return false, time.Hour
	}
	return false, time.Duration((1 - b.saved) / rate * float64(time.Second))
}
