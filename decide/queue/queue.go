// Package queue orders the requests that wait at a router for capacity of a service, and
// decides which are admitted. The order is by urgency, then requests that can still be answered
// within their objective before those that cannot, then by what their customers have
// used in proportion to their weight, then by age.
package queue

import (
	"slices"
	"time"
)

// Options bounds a Queue.
type Options struct {
	MaxLength int   // most requests that wait
	MaxBytes  int64 // most bytes of their bodies
	// Use returns what a customer has used of the service lately, at all routers, and what one
	// request adds to it, both in proportion to its weight. The one with the lowest use is
	// served first. Nil means that requests are served by age.
	Use func(customer string) (used, perRequest float64)
}

// Entry is a request that waits. Its fields must not be changed while it is in a Queue.
type Entry[T any] struct {
	Item     T
	Urgency  int    // the lowest is served first
	Customer string // empty if there is none
	Bytes    int64
	// Due is the monotonic time until which serving the request answers it within its
	// objective.
	Due time.Duration
	// Latest is the monotonic time from which serving the request is of no use.
	Latest time.Duration

	seq   uint64 // order of arrival
	place place
}

// place is where in its class an entry waits.
type place uint8

const (
	placeNone  place = iota // not in the queue
	placeFront              // returned by PushFront; served before the others
	placeTimely
	placeLate // cannot be answered within its objective
)

// Queue holds the requests that wait. It is not safe for concurrent use.
type Queue[T any] struct {
	opts    Options
	classes []*class[T] // by urgency, the lowest first
	seq     uint64
	length  int
	bytes   int64
}

// class holds the waiting requests of one urgency.
type class[T any] struct {
	urgency int
	front   []*Entry[T]
	timely  *tier[T]
	late    *tier[T]
	credit  float64 // late requests to serve before timely ones
}

// tier holds waiting requests by customer.
type tier[T any] struct {
	customers map[string][]*Entry[T] // in arrival order; none is empty
	length    int
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] { return &Queue[T]{opts: opts} }

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request behind those that come before it; late tells whether it cannot be
// answered within its objective. If the queue is full, requests are displaced that are less
// urgent, or as urgent and of a customer that has more requests waiting; the newest ones first. It returns them, and whether the request was added.
func (q *Queue[T]) Push(e *Entry[T], late bool) (displaced []*Entry[T], ok bool) {
	if e.Bytes > q.opts.MaxBytes {
		return nil, false
	}
	for q.length >= q.opts.MaxLength || q.bytes+e.Bytes > q.opts.MaxBytes {
		victim := q.displaceable(e)
		if victim == nil {
			return displaced, false
		}
		q.Remove(victim)
		displaced = append(displaced, victim)
	}
	q.seq++
	e.seq = q.seq
	e.place = placeTimely
	if late {
		e.place = placeLate
	}
	q.class(e.Urgency).tier(e.place).push(e)
	q.length++
	q.bytes += e.Bytes
	return displaced, true
}

// PushFront adds a request that was taken from the queue before and has not run. It is served
// before all others of its urgency that were not, whatever the bounds.
func (q *Queue[T]) PushFront(e *Entry[T]) {
	c := q.class(e.Urgency)
	at, _ := slices.BinarySearchFunc(c.front, e.seq, func(f *Entry[T], seq uint64) int {
		if f.seq < seq {
			return -1
		}
		return 1
	})
	c.front = slices.Insert(c.front, at, e)
	e.place = placeFront
	q.length++
	q.bytes += e.Bytes
}

// Pop removes and returns the next request to serve, if allowed accepts it. Of each urgency,
// late requests get lateShare of the capacity while timely ones wait as well: otherwise an
// overload that lasts would make them all wait for nothing.
func (q *Queue[T]) Pop(allowed func(*Entry[T]) bool) (*Entry[T], bool) {
	for _, c := range q.classes {
		next, credit := q.first(c)
		if next == nil {
			continue
		}
		if !allowed(next) {
			return nil, false
		}
		c.credit = credit
		q.Remove(next)
		return next, true
	}
	return nil, false
}

// first returns the request of a class that is served first, and the credit of late requests
// after it; nil if there is none.
func (q *Queue[T]) first(c *class[T]) (next *Entry[T], credit float64) {
	switch {
	case len(c.front) > 0:
		return c.front[0], c.credit
	case c.timely.length == 0:
		return q.next(c.late), 0
	case c.late.length == 0:
		return q.next(c.timely), c.credit
	}
	timely, late := q.next(c.timely), q.next(c.late)
	if credit = min(1, c.credit+lateShare); credit < 1 || q.surges(late, timely) {
		return timely, credit
	}
	return late, credit - 1
}

// Remove removes a request, and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	c := q.class(e.Urgency)
	switch e.place {
	case placeNone:
		return false
	case placeFront:
		c.front = slices.DeleteFunc(c.front, func(f *Entry[T]) bool { return f == e })
	default:
		c.tier(e.place).remove(e)
	}
	q.subtract(e)
	return true
}

// Expire removes and returns the requests whose Latest has passed, and counts those as late
// whose Due has.
func (q *Queue[T]) Expire(now time.Duration) []*Entry[T] {
	var expired, late []*Entry[T]
	for _, c := range q.classes {
		for _, e := range c.front {
			if e.Latest <= now {
				expired = append(expired, e)
			}
		}
		for _, t := range []*tier[T]{c.timely, c.late} {
			for _, entries := range t.customers {
				for _, e := range entries {
					if e.Latest <= now {
						expired = append(expired, e)
					} else if e.place == placeTimely && e.Due <= now {
						late = append(late, e)
					}
				}
			}
		}
	}
	for _, e := range expired {
		q.Remove(e)
	}
	slices.SortFunc(late, func(a, b *Entry[T]) int { return int(a.seq) - int(b.seq) })
	for _, e := range late {
		c := q.class(e.Urgency)
		c.timely.remove(e)
		e.place = placeLate
		c.late.push(e)
	}
	return expired
}

// displaceable returns the newest request that e may displace, of the least urgent class and
// of the customer with the most requests waiting for its weight; nil if there is none.
func (q *Queue[T]) displaceable(e *Entry[T]) *Entry[T] {
	for _, c := range slices.Backward(q.classes) {
		if c.urgency < e.Urgency {
			return nil
		}
		for _, t := range []*tier[T]{c.late, c.timely} {
			var most []*Entry[T]
			for name, entries := range t.customers {
				if c.urgency == e.Urgency && (name == e.Customer || len(entries) <= len(t.customers[e.Customer])+1) {
					continue
				}
				if len(entries) > len(most) {
					most = entries
				}
			}
			if len(most) > 0 {
				return most[len(most)-1]
			}
		}
	}
	return nil
}

func (q *Queue[T]) class(urgency int) *class[T] {
	at, found := slices.BinarySearchFunc(q.classes, urgency, func(c *class[T], urgency int) int { return c.urgency - urgency })
	if !found {
		q.classes = slices.Insert(q.classes, at, &class[T]{urgency: urgency, timely: newTier[T](), late: newTier[T]()})
	}
	return q.classes[at]
}

func (c *class[T]) tier(p place) *tier[T] {
	if p == placeLate {
		return c.late
	}
	return c.timely
}

func (q *Queue[T]) subtract(e *Entry[T]) {
	e.place = placeNone
	q.length--
	q.bytes -= e.Bytes
}

func newTier[T any]() *tier[T] { return &tier[T]{customers: make(map[string][]*Entry[T])} }

func (t *tier[T]) push(e *Entry[T]) {
	t.customers[e.Customer] = append(t.customers[e.Customer], e)
	t.length++
}

func (t *tier[T]) remove(e *Entry[T]) {
	t.length--
	entries := slices.DeleteFunc(t.customers[e.Customer], func(o *Entry[T]) bool { return o == e })
	if len(entries) == 0 {
		delete(t.customers, e.Customer)
		return
	}
	t.customers[e.Customer] = entries
}

// next returns the request of a tier that is served next; nil if there is none.
func (q *Queue[T]) next(t *tier[T]) (next *Entry[T]) {
	var least float64
	for name, entries := range t.customers {
		used, _ := q.use(name)
		if next == nil || used < least || used == least && entries[0].seq < next.seq {
			next, least = entries[0], used
		}
	}
	return next
}

// surges reports whether the customer of a late request uses so much more than that of a timely
// one that the share of late requests does not count.
func (q *Queue[T]) surges(late, timely *Entry[T]) bool {
	lateUsed, perRequest := q.use(late.Customer)
	timelyUsed, _ := q.use(timely.Customer)
	return lateUsed > surgeFactor*(timelyUsed+perRequest)
}

func (q *Queue[T]) use(customer string) (used, perRequest float64) {
	if q.opts.Use == nil {
		return 0, 0
	}
	return q.opts.Use(customer)
}

// ahead returns how many requests of a tier are served before a new one of a customer: those of
// its own, and of each other customer as many as it takes to use more than this one.
func (q *Queue[T]) ahead(t *tier[T], name string) float64 {
	used, perRequest := q.use(name)
	own := float64(len(t.customers[name]))
	used += own * perRequest
	ahead := own
	for other, entries := range t.customers {
		if other == name {
			continue
		}
		otherUsed, otherPerRequest := q.use(other)
		switch n := float64(len(entries)); {
		case otherPerRequest <= 0:
			ahead += n
		case used >= otherUsed:
			ahead += min(n, (used-otherUsed)/otherPerRequest+1)
		}
	}
	return ahead
}
