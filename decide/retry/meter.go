package retry

import (
	"math"
	"time"
)

// meterTimeConstant is the time in which the count of a Meter decays to 1/e.
const meterTimeConstant = 10 * time.Second

// Meter estimates the rate of an event with exponential decay. The zero Meter has
// counted no events. It is not safe for concurrent use.
type Meter struct {
	count float64
	at    time.Duration
}

// Add records one event at now.
func (m *Meter) Add(now time.Duration) {
	m.count = m.decayedCount(now) + 1
	m.at = now
}

// PerSecond returns the rate at now.
func (m *Meter) PerSecond(now time.Duration) float64 {
	return m.decayedCount(now) / meterTimeConstant.Seconds()
}

func (m *Meter) decayedCount(now time.Duration) float64 {
	return m.count * math.Exp(-(now-m.at).Seconds()/meterTimeConstant.Seconds())
}
