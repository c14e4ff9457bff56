package queue

import (
	"math"
	"time"
)

const (
	// lateShare is the part of the capacity that late requests get while timely ones wait. More
	// of it makes more requests late, less of it more refused.
	lateShare = 0.2
	// surgeFactor is how many times the use of another customer makes late requests wait for
	// timely ones of that customer.
	surgeFactor = 2
	// timelyShare is the part of the time to its Due up to which a request is predicted to be
	// timely: predictions err.
	timelyShare = 0.8
	// admittedShare is the part of the time that a request can wait up to which a predicted
	// wait is admitted: a request that waits and is refused in the end costs its caller more
	// than one that is refused at once, and predictions are low while a burst begins.
	admittedShare = 0.6
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// honoredShare is the part of its time left up to which a caller honors a Retry-After.
	honoredShare = 1.0 / 3
)

// Admission is whether a request is admitted.
type Admission struct {
	Admitted bool
	Late     bool          // it is admitted, and cannot be answered within its objective
	Wait     time.Duration // predicted; if it is not admitted, the time that the backlog needs
}

// Admit decides whether a new request is admitted, at a rate of requests served a second and
// with the first of them after a delay: as timely if it will be served by its Due, otherwise
// as late if it will be served well before its Latest by what late requests get at least.
func (q *Queue[T]) Admit(e *Entry[T], now, delay time.Duration, rate float64) Admission {
	ahead, late := 0.0, 0.0
	for _, c := range q.classes {
		if c.urgency > e.Urgency {
			break
		}
		ahead += float64(len(c.front))
		if c.urgency < e.Urgency {
			ahead += float64(c.timely.length + c.late.length)
			late = ahead
			continue
		}
		late = ahead + q.ahead(c.late, e.Customer)
		ahead += q.ahead(c.timely, e.Customer)
		if c.late.length > 0 {
			ahead /= 1 - lateShare
		}
	}
	if wait := delay + waitBehind(ahead, rate); float64(wait) <= timelyShare*float64(e.Due-now) {
		return Admission{Admitted: true, Wait: wait}
	}
	wait := delay + waitBehind(late, rate*lateShare)
	return Admission{Admitted: float64(wait) <= admittedShare*float64(e.Latest-now), Late: true, Wait: wait}
}

// waitBehind returns the wait of a request behind a number of others.
func waitBehind(ahead, rate float64) time.Duration {
	const most = float64(math.MaxInt64 / 4)
	if !(rate > 0) {
		return math.MaxInt64 / 4
	}
	return time.Duration(min((ahead+1)/rate*float64(time.Second), most))
}

// RetryAfter returns the time after which the caller of a request that is refused should come
// back: the time that the backlog needs, spread, within what the caller honors of the time
// that it has left. random is uniform in [0, 1).
func RetryAfter(wait, left time.Duration, random float64) time.Duration {
	spread := min(float64(wait)*(1+random/2), honoredShare*float64(left)*(0.7+0.3*random))
	return max(time.Duration(spread), minRetryAfter)
}
