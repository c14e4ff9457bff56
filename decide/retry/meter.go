package retry

import (
	"math"
	"time"
)

// meterSpan is the time over which a Meter forgets.
const meterSpan = 10 * time.Second

// Meter estimates the rate of an event, forgetting exponentially. The zero
// Meter has seen none. It is not safe for concurrent use.
type Meter struct {
	count float64
	at    time.Duration
}

// Add records one event at now.
func (m *Meter) Add(now time.Duration) {
	m.count = m.decayed(now) + 1
	m.at = now
}

// PerSecond returns the rate at now.
func (m *Meter) PerSecond(now time.Duration) float64 {
	return m.decayed(now) / meterSpan.Seconds()
}

func (m *Meter) decayed(now time.Duration) float64 {
	return m.count * math.Exp(-(now-m.at).Seconds()/meterSpan.Seconds())
}
