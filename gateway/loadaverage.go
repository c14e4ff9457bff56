package gateway

import (
	"math"
	"time"
)

// loadAverageTime is the time constant of a loadAverage: about the interval between two
// reports of a failure domain.
const loadAverageTime = 400 * time.Millisecond

// loadAverage is the exponentially weighted average of loads by the short hash of the
// upstream's key.
type loadAverage struct {
	values map[uint32]float64
	at     time.Duration // of the last sample
}

// add adds a sample of all upstreams that have any load.
func (a *loadAverage) add(sample Loads, now time.Duration) {
	if a.values == nil {
		a.values = make(map[uint32]float64, len(sample))
	}
	keep := math.Exp(-float64(now-a.at) / float64(loadAverageTime))
	a.at = now
	for upstream, value := range a.values {
		value *= keep
		if _, loaded := sample[upstream]; !loaded && value < 0.5/LoadUnits {
			delete(a.values, upstream)
			continue
		}
		a.values[upstream] = value
	}
	for upstream, n := range sample {
		a.values[upstream] += (1 - keep) * float64(n)
	}
}

// loads returns the averages in LoadUnits.
func (a *loadAverage) loads() Loads {
	out := make(Loads, len(a.values))
	for upstream, value := range a.values {
		if n := int(math.Round(value * LoadUnits)); n > 0 {
			out[upstream] = n
		}
	}
	return out
}
