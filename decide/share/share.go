// Package share measures what each customer of a service uses of it, in proportion to its usual
// use, so that a customer with many times its usual traffic is served after the others.
package share

import (
	"math"
	"time"
)

const (
	// recentTime is the time constant of the use that counts.
	recentTime = 5 * time.Second
	// usualTime is the time constant of the usual use: a surge of a minute hardly changes it.
	usualTime = 10 * time.Minute
	// minHistory is the time from which the usual use is known; before it all weigh the same.
	minHistory = time.Minute
	// minWeightShare is the least weight of a customer, as a share of the mean: the first
	// requests of one that is idle usually are not yet a surge.
	minWeightShare = 0.25
)

// Mean is a sum of requests that decays over recentTime. The zero value is empty. All times are
// monotonic.
type Mean struct {
	value float64
	at    time.Duration
}

// Add counts requests.
func (m *Mean) Add(now time.Duration, n float64) {
	m.value = m.At(now) + n
	m.at = max(m.at, now)
}

// At returns the sum.
func (m *Mean) At(now time.Duration) float64 {
	return m.value * math.Exp(-max(0, now-m.at).Seconds()/recentTime.Seconds())
}

// Usual keeps the usual use of each customer. It is not safe for concurrent use.
type Usual struct {
	begun   bool
	start   time.Duration
	at      time.Duration
	means   map[uint32]float64
	weights map[uint32]float64
	floor   float64 // weight of customers that are not in weights; 0 before the history is known
}

// Observe records the use of all customers at a time.
func (u *Usual) Observe(now time.Duration, use map[uint32]float64) {
	if !u.begun {
		u.begun, u.start, u.at, u.means = true, now, now, make(map[uint32]float64)
		return
	}
	keep := math.Exp(-max(0, now-u.at).Seconds() / usualTime.Seconds())
	u.at = max(u.at, now)
	total := 0.0
	for customer, mean := range u.means {
		if mean *= keep; mean < 1e-3 {
			delete(u.means, customer)
			continue
		}
		u.means[customer] = mean
	}
	for customer, n := range use {
		u.means[customer] += (1 - keep) * n
	}
	for _, mean := range u.means {
		total += mean
	}
	if now-u.start < minHistory || total <= 0 {
		return
	}
	u.floor = minWeightShare
	u.weights = make(map[uint32]float64, len(u.means))
	for customer, mean := range u.means {
		u.weights[customer] = max(minWeightShare, mean/total*float64(len(u.means)))
	}
}

// Weight returns the weight of a customer, whose mean over all customers is about 1.
func (u *Usual) Weight(customer uint32) float64 {
	if w, ok := u.weights[customer]; ok {
		return w
	}
	if u.floor > 0 {
		return u.floor
	}
	return 1
}

// lowShare is the part of its share of a service up to which the use of a customer is low:
// that of customers with their usual traffic varies.
const lowShare = 0.9

// Low reports whether the use of a customer for each unit of its weight is low beside the use
// of all customers for their weights.
func Low(perWeight, total, weights float64) bool {
	return perWeight*weights < lowShare*total
}
