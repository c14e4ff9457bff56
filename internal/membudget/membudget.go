// Package membudget limits the memory that a process holds for callers which have not sent
// all of a request or have not read all of an answer. While memory is left, no caller is cut.
// When it is used up, the caller without progress for longest gives way.
package membudget

import (
	"expvar"
	"sync"
	"time"
)

const (
	// Grace is the time without progress from which on a holding gives way to others.
	Grace = 500 * time.Millisecond
	// progressBytes is how many bytes within Grace are progress.
	progressBytes = 4 << 10
	// smallBytes is the size up to which a holding may use all of the limit. Larger ones leave
	// largeReserve of it, so that they do not keep small requests out.
	smallBytes   = 64 << 10
	largeReserve = 0.125
)

// Budget limits memory. All methods, and those of its holdings, may be called concurrently.
type Budget struct {
	evicted expvar.Int
	refused expvar.Int

	mu    sync.Mutex
	limit int64
	used  int64
	// The holdings that can be evicted, those whose last progress is the longest ago first.
	first, last *Holding
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Evicted counts the holdings that gave way to others.
func (b *Budget) Evicted() *expvar.Int { return &b.evicted }

// Refused counts the reservations for which there was no memory.
func (b *Budget) Refused() *expvar.Int { return &b.refused }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holding is memory held for one caller.
type Holding struct {
	budget *Budget
	evict  func(stalled bool)

	// Guarded by budget.mu.
	bytes      int64
	unmarked   int       // bytes moved since progressAt
	progressAt time.Time // of the last progress
	listed     bool      // can be evicted
	evicted    bool
	prev, next *Holding
}

// Hold returns an empty holding that can be evicted: see Offer.
func (b *Budget) Hold(evict func(stalled bool)) *Holding {
	h := b.Keep()
	h.Offer(evict)
	return h
}

// Keep returns an empty holding that cannot be evicted.
func (b *Budget) Keep() *Holding { return &Holding{budget: b} }

// Offer lets the holding be evicted, if its caller makes no progress from now on. evict is
// called at most once, not after Settle or Release; stalled is false if the caller had made
// progress within Grace. It must make the owner release its memory soon, must not block, and
// must not call methods of the budget.
func (h *Holding) Offer(evict func(stalled bool)) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.evict, h.unmarked, h.progressAt = evict, 0, time.Now()
	b.list(h)
}

// Reserve reserves further bytes, and evicts other holdings if it must: first those without
// progress, then smaller ones that have sent less. It reports whether the bytes are reserved.
// They never are after an eviction.
func (h *Holding) Reserve(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return false
	}
	if !b.makeRoom(h, bytes) {
		b.refused.Add(1)
		return false
	}
	b.used += bytes
	h.bytes += bytes
	return true
}

// ReserveAnyway reserves further bytes for what must not be refused, and evicts other holdings
// without progress if they exceed the limit.
func (h *Holding) ReserveAnyway(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return
	}
	_ = b.makeRoom(h, bytes) // reserved in any case
	b.used += bytes
	h.bytes += bytes
}

// Return returns bytes of the holding to the budget.
func (h *Holding) Return(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.evicted {
		b.used -= bytes
		h.bytes -= bytes
	}
}

// Progress records that the caller has sent or read bytes.
func (h *Holding) Progress(bytes int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.unmarked += bytes
	if !h.listed || h.unmarked < progressBytes {
		return
	}
	b.unlist(h)
	h.unmarked, h.progressAt = 0, time.Now()
	b.list(h)
}

// Held reports whether the holding was not evicted.
func (h *Holding) Held() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return !h.evicted
}

// Settle ends the time in which the holding can be evicted, and reports whether it was not.
func (h *Holding) Settle() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(h)
	return !h.evicted
}

// Release returns all of the holding to the budget.
func (h *Holding) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(h)
	b.used -= h.bytes
	h.bytes = 0
}

// EvictStalled evicts the holding without progress for longest, and reports whether there is
// one without progress for Grace.
func (b *Budget) EvictStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.stalled(nil, time.Now())
	if h == nil {
		return false
	}
	b.remove(h, true)
	return true
}

// makeRoom evicts others until bytes more fit for h. b.mu must be held.
func (b *Budget) makeRoom(h *Holding, bytes int64) bool {
	limit := b.limit
	if h.bytes+bytes > smallBytes {
		limit -= int64(largeReserve * float64(limit))
	}
	for now := time.Now(); b.used+bytes > limit; {
		victim := b.stalled(h, now)
		stalled := victim != nil
		if !stalled {
			victim = b.smaller(h)
		}
		if victim == nil {
			return false
		}
		b.remove(victim, stalled)
	}
	return true
}

// stalled returns the holding without progress for longest, other than h, if that is Grace or
// more; nil if there is none. b.mu must be held.
func (b *Budget) stalled(h *Holding, now time.Time) *Holding {
	victim := b.first
	if victim != nil && victim == h {
		victim = victim.next
	}
	if victim == nil || now.Sub(victim.progressAt) < Grace {
		return nil
	}
	return victim
}

// smaller returns the smallest holding with at least half of smallBytes that is smaller than h
// by as much; nil if there is none. Without it, holdings that can only be completed one after
// another would keep each other from it. b.mu must be held.
func (b *Budget) smaller(h *Holding) *Holding {
	const least = smallBytes / 2
	var victim *Holding
	for other := b.first; other != nil; other = other.next {
		if other.bytes >= least && other.bytes+least <= h.bytes && (victim == nil || other.bytes < victim.bytes) {
			victim = other
		}
	}
	return victim
}

// remove evicts a holding. Its memory counts as free at once. b.mu must be held.
func (b *Budget) remove(h *Holding, stalled bool) {
	b.unlist(h)
	b.used -= h.bytes
	h.bytes, h.evicted = 0, true
	b.evicted.Add(1)
	h.evict(stalled)
}

// list appends a holding to the list. b.mu must be held.
func (b *Budget) list(h *Holding) {
	h.listed, h.prev, h.next = true, b.last, nil
	if b.last == nil {
		b.first = h
	} else {
		b.last.next = h
	}
	b.last = h
}

// unlist removes a holding from the list if it is in it. b.mu must be held.
func (b *Budget) unlist(h *Holding) {
	if !h.listed {
		return
	}
	if h.prev == nil {
		b.first = h.next
	} else {
		h.prev.next = h.next
	}
	if h.next == nil {
		b.last = h.prev
	} else {
		h.next.prev = h.prev
	}
	h.listed, h.prev, h.next = false, nil, nil
}
