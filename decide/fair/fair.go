// Package fair queues the work of many customers by start-time fair queueing.
// Between customers, only the weighted share of cost decides the order; priorities
// order the work of one customer. The queue of each customer is bounded, so that a
// surge delays only the customer that causes it and is refused by that customer's
// limit.
package fair

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned when a customer's queue, or the whole queue, is full.
var ErrFull = errors.New("fair: queue full")

// Options configures a Queue.
type Options struct {
	PerCustomer int // queue length of a customer without its own limit; 0 means DefaultPerCustomer
	Total       int // total length of all queues; 0 means no limit
}

// DefaultPerCustomer is the queue length of a customer without a limit.
const DefaultPerCustomer = 64

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	opts        Options
	customers   map[string]*customer[T] // customers with queued work, or with a start tag ahead of the virtual time
	active      []*customer[T]          // customers with queued work
	virtualTime float64                 // highest start tag served so far
	seq         uint64
	length      int
}

type customer[T any] struct {
	id        string
	weight    int
	startTag  float64 // start tag of the next work item
	activeSeq uint64  // sequence number at which the customer became active; breaks ties
	work      []work[T]
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

// Push queues item for the customer id. The weight is the customer's share, at
// least 1. Within a customer, higher priorities come first, and equal ones in order
// of arrival. The cost is the load of the work, at least 1. The limit bounds the
// customer's queue; 0 means Options.PerCustomer. Push returns ErrFull if the
// customer's queue or the whole queue is full.
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
		c.activeSeq = q.seq
		c.startTag = max(c.startTag, q.virtualTime)
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

// Pop removes and returns the next work item, or returns false if there is none.
func (q *Queue[T]) Pop() (T, bool) {
	return q.PopWhere(nil)
}

// PopWhere removes and returns the next work item of a customer that allowed
// accepts, such as one below its limit of work in progress, or returns false if
// there is none. Customers that are skipped keep their place. A nil allowed accepts
// all customers.
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
	q.virtualTime = max(q.virtualTime, c.startTag)
	c.startTag += float64(w.cost) / float64(c.weight)
	if len(c.work) == 0 {
		q.active = slices.Delete(q.active, next, next+1)
		q.dropIdle()
	}
	return w.item, true
}

func (c *customer[T]) before(other *customer[T]) bool {
	if c.startTag != other.startTag {
		return c.startTag < other.startTag
	}
	return c.activeSeq < other.activeSeq
}

// dropIdle drops customers without queued work once the virtual time has reached
// their start tag, and all customers when the queue is empty.
func (q *Queue[T]) dropIdle() {
	if q.length == 0 {
		clear(q.customers)
		q.virtualTime = 0
		return
	}
	for id, c := range q.customers {
		if len(c.work) == 0 && c.startTag <= q.virtualTime {
			delete(q.customers, id)
		}
	}
}

// Remove drops the work items that remove accepts and returns their number.
func (q *Queue[T]) Remove(remove func(T) bool) int {
	before := q.length
	q.length = 0
	q.active = slices.DeleteFunc(q.active, func(c *customer[T]) bool {
		c.work = slices.DeleteFunc(c.work, func(w work[T]) bool { return remove(w.item) })
		q.length += len(c.work)
		return len(c.work) == 0
	})
	q.dropIdle()
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
