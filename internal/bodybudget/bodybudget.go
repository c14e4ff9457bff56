// Package bodybudget limits the memory of all request bodies that a process holds. A body
// takes memory from the budget as its bytes arrive. When the budget is exhausted, the
// unfinished body that has made no progress for longest is ended first.
package bodybudget

import (
	"container/list"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of Read.
var (
	ErrEvicted   = errors.New("bodybudget: the body was ended to make room for others")
	ErrExhausted = errors.New("bodybudget: complete bodies hold the whole budget")
	ErrTooLarge  = errors.New("bodybudget: the body exceeds its size limit")
)

// progressBytes is how many bytes of a body are progress: a body that sends a byte now and then
// makes none.
const progressBytes = 4 << 10

// Budget is the memory for the bodies of a process. Its methods may be called concurrently.
type Budget struct {
	limit int64

	mu      sync.Mutex
	changed *sync.Cond // signalled when a body was evicted or released
	used    int64      // bytes of all bodies
	ending  int64      // bytes of evicted bodies that are not yet released
	evicted int        // number of those bodies
	reading list.List  // of unfinished bodies, that with the oldest progress first
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{limit: limit}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Body is a body that takes memory from a budget.
type Body struct {
	budget    *Budget
	interrupt func()
	segments  segments // while the body arrives
	unmarked  int      // bytes read since the last progress
	data      []byte

	// Guarded by budget.mu.
	held    int64
	element *list.Element // in budget.reading; nil once the body is complete or evicted
	evicted bool
}

// Read reads r to its end, at most maxBytes bytes. interrupt makes a blocked read of r
// return; it is called at most once, from another goroutine, if the body is evicted. The
// error is ErrEvicted, ErrExhausted, ErrTooLarge or that of r. The caller must release the
// body that is returned without an error.
func (b *Budget) Read(r io.Reader, maxBytes int64, interrupt func()) (*Body, error) {
	body := &Body{budget: b, interrupt: interrupt}
	b.begin(body)
	err := body.readAll(r, maxBytes)
	if err == nil && !b.complete(body) {
		err = ErrEvicted
	}
	if err == nil {
		return body, nil
	}
	if b.isEvicted(body) {
		err = ErrEvicted
	}
	body.segments.release()
	body.Release()
	return nil, err
}

// Bytes returns the content of the body. It must not be used after Release.
func (body *Body) Bytes() []byte { return body.data }

// Release returns the memory of the body to the budget. Further calls do nothing.
func (body *Body) Release() {
	body.data = nil
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(body)
	if body.evicted {
		b.ending -= body.held
		b.evicted--
		body.evicted = false
	}
	b.used -= body.held
	body.held = 0
	b.changed.Broadcast()
}

// EvictOldest ends the unfinished body that has made no progress for longest. It returns
// false if there is none.
func (b *Budget) EvictOldest() bool {
	b.mu.Lock()
	var oldest *Body
	if front := b.reading.Front(); front != nil {
		oldest = front.Value.(*Body)
		b.evict(oldest)
	}
	b.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.interrupt()
	return true
}

// Used returns the number of bytes that are taken from the budget.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (body *Body) readAll(r io.Reader, maxBytes int64) error {
	if err := body.readSegments(r, maxBytes); err != nil {
		return err
	}
	if err := body.budget.take(body, body.segments.length); err != nil {
		return err
	}
	body.data = body.segments.join()
	body.segments.release()
	body.budget.giveBack(body, body.held-int64(len(body.data)))
	return nil
}

// readSegments reads r to its end into the segments.
func (body *Body) readSegments(r io.Reader, maxBytes int64) error {
	s := &body.segments
	for {
		if len(s.space) == 0 {
			if s.length >= maxBytes && s.first != nil {
				return readEnd(r)
			}
			if err := body.budget.take(body, s.nextSize()); err != nil {
				return err
			}
			s.add()
		}
		n, err := s.readFrom(r)
		if s.length > maxBytes {
			return ErrTooLarge
		}
		if body.unmarked += n; body.unmarked >= progressBytes {
			body.unmarked = 0
			body.budget.progress(body)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readEnd returns nil if r is at its end.
func readEnd(r io.Reader) error {
	var one [1]byte
	switch _, err := io.ReadFull(r, one[:]); err {
	case io.EOF:
		return nil
	case nil:
		return ErrTooLarge
	default:
		return err
	}
}

func (b *Budget) begin(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body.element = b.reading.PushBack(body)
}

func (b *Budget) progress(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.element != nil {
		b.reading.MoveToBack(body.element)
	}
}

// complete exempts a body from eviction. It returns false if the body was evicted before.
func (b *Budget) complete(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(body)
	return !body.evicted
}

func (b *Budget) isEvicted(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return body.evicted
}

// take takes n bytes for body. It evicts other bodies until they are free, and waits until
// those have released their memory.
func (b *Budget) take(body *Body, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if body.evicted {
			return ErrEvicted
		}
		if b.used+n <= b.limit {
			b.used += n
			body.held += n
			return nil
		}
		if victim := b.victim(body, n); victim != nil {
			b.evict(victim)
			b.mu.Unlock()
			victim.interrupt()
			b.mu.Lock()
			continue
		}
		if b.evicted == 0 {
			return ErrExhausted
		}
		b.changed.Wait()
	}
}

// victim returns the body to evict for n bytes for body; nil if those that are evicted
// already release enough, or no other is unfinished.
func (b *Budget) victim(body *Body, n int64) *Body {
	if b.used-b.ending+n <= b.limit {
		return nil
	}
	oldest := b.reading.Front()
	if oldest != nil && oldest.Value.(*Body) == body {
		oldest = oldest.Next()
	}
	if oldest == nil {
		return nil
	}
	return oldest.Value.(*Body)
}

func (b *Budget) giveBack(body *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	body.held -= n
	if body.evicted {
		b.ending -= n
	}
	b.changed.Broadcast()
}

// evict marks an unfinished body as evicted. The caller interrupts it after it has unlocked mu.
func (b *Budget) evict(body *Body) {
	b.remove(body)
	body.evicted = true
	b.ending += body.held
	b.evicted++
	b.changed.Broadcast()
}

func (b *Budget) remove(body *Body) {
	if body.element != nil {
		b.reading.Remove(body.element)
		body.element = nil
	}
}
