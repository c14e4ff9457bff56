// Package fair queues work of many customers by start-time fair queueing.
// Between customers the order is by weighted share of cost alone; priorities
// order the work of one customer. A customer's queue is bounded, so that a
// surge waits behind itself and is refused by its own limit.
package fair

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrFull says that a customer's queue, or the whole queue, is full.
var ErrFull = errors.New("fair: queue full")

// Options configures a Queue.
type Options struct {
	PerCustomer int // queue length of a customer without a limit of its own; 0 means DefaultPerCustomer
	Total       int // length of all queues together; 0 means no limit
}

// DefaultPerCustomer is the queue length of a customer without a limit.
const DefaultPerCustomer = 64

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	opts      Options
	customers map[string]*customer[T] // those with work, or ahead of the virtual time
	active    []*customer[T]          // those with work
	virtual   float64                 // start tag of the work served last
	seq       uint64
	length    int
}

type customer[T any] struct {
	id     string
	weight int
	start  float64 // start tag of the next work
	since  uint64  // sequence number at which it became active, breaks ties
	work   []work[T]
}

type work[T any] struct {
	priority int
	cost     int
	item     T
}

// NewQueue returns an empty queue.
func NewQueue[T any](opts Options) *Queue[T] {
	if opts.PerCustomer == 0 {
		opts.PerCustomer = DefaultPerCustomer
	}
	return &Queue[T]{opts: opts, customers: make(map[string]*customer[T])}
}

// Push queues item. Weight is the customer's share, at least 1. Greater
// priorities come first within the customer, equal ones in order of arrival.
// Cost is the work's load, at least 1. Limit bounds the customer's queue; 0
// means the queue's default. It returns ErrFull if a bound is reached.
func (q *Queue[T]) Push(id string, weight, priority, cost, limit int, item T) error {
	if limit <= 0 {
		limit = q.opts.PerCustomer
	}
	c := q.customers[id]
	if c != nil && len(c.work) >= limit || q.opts.Total > 0 && q.length >= q.opts.Total {
		return errors.Wrapf(ErrFull, "customer %s", id)
	}
	if c == nil {
		c = &customer[T]{id: id}
		q.customers[id] = c
	}
	c.weight = max(1, weight)
	if len(c.work) == 0 {
		q.seq++
		c.since = q.seq
		c.start = max(c.start, q.virtual)
		q.active = append(q.active, c)
	}
	at, _ := slices.BinarySearchFunc(c.work, priority, func(w work[T], priority int) int {
		if w.priority >= priority {
			return -1
		}
		return 1
	})
	c.work = slices.Insert(c.work, at, work[T]{priority: priority, cost: max(1, cost), item: item})
	q.length++
	return nil
}

// Pop returns the next work, or false if there is none.
func (q *Queue[T]) Pop() (T, bool) {
	return q.PopWhere(nil)
}

// PopWhere returns the next work of a customer that allowed accepts, such as
// one below its limit of work in progress, or false if there is none. The
// customers passed over keep their place. Nil accepts all.
func (q *Queue[T]) PopWhere(allowed func(customer string) bool) (T, bool) {
	var zero T
	next := -1
	for i, c := range q.active {
		if next >= 0 && !c.before(q.active[next]) {
			continue
		}
		if allowed == nil || allowed(c.id) {
			next = i
		}
	}
	if next < 0 {
		return zero, false
	}
	c := q.active[next]
	w := c.work[0]
	c.work = slices.Delete(c.work, 0, 1)
	q.length--
	q.virtual = max(q.virtual, c.start)
	c.start += float64(w.cost) / float64(c.weight)
	if len(c.work) == 0 {
		q.active = slices.Delete(q.active, next, next+1)
		q.forget()
	}
	return w.item, true
}

func (c *customer[T]) before(other *customer[T]) bool {
	if c.start != other.start {
		return c.start < other.start
	}
	return c.since < other.since
}

// forget drops customers without work once they hold no lead that the virtual
// time has yet to make up, and all of them when the queue is empty.
func (q *Queue[T]) forget() {
	if q.length == 0 {
		clear(q.customers)
		q.virtual = 0
		return
	}
	for id, c := range q.customers {
		if len(c.work) == 0 && c.start <= q.virtual {
			delete(q.customers, id)
		}
	}
}

// Remove drops the work that remove accepts and returns how much it dropped.
func (q *Queue[T]) Remove(remove func(T) bool) int {
	before := q.length
	q.length = 0
	q.active = slices.DeleteFunc(q.active, func(c *customer[T]) bool {
		c.work = slices.DeleteFunc(c.work, func(w work[T]) bool { return remove(w.item) })
		q.length += len(c.work)
		return len(c.work) == 0
	})
	q.forget()
	return before - q.length
}

// Len returns the number of items queued.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of items queued for a customer.
func (q *Queue[T]) LenOf(id string) int {
	if c := q.customers[id]; c != nil {
		return len(c.work)
	}
	return 0
}
