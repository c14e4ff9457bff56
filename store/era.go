package store

import (
	"cmp"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEraPassed means that an answer belongs to an era of the store that has ended
// since: what it says may no longer be true.
var ErrEraPassed = errors.New("store: answer from an earlier era")

// FirstEra is the era of a store that never returned from a copy.
const FirstEra = 1

// Position is a point in the sequence of changes of the store. A store that is
// restored from an older copy begins a new era, in which revisions that were given
// out before are given out again. Positions are therefore ordered by era first.
type Position struct {
	Era      uint64 // 0 if the store reports no eras
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before q, equal to it or after it.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p == Position{} }

// Eras tracks the newest era of the store that this process knows of. The zero
// value knows none. Its methods may be called concurrently.
type Eras struct {
	mu     sync.Mutex
	newest uint64
	first  uint64    // lowest revision at which the store was seen in the newest era; 0 if none
	rises  int       // observations of an era after the first known one
	since  time.Time // when the newest era began as far as known; zero if it is the first known one
	risen  chan struct{}
}

// Observe records that the store is or was in an era. began is how long ago that
// era began, as far as the source knows, or 0; it matters for an era that is newer
// than the known ones, and for a process that has started in the newest one. Observe
// reports whether the era is newer and an earlier one was known: the store has returned
// from a copy.
func (e *Eras) Observe(era uint64, began time.Duration) (returned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.newest || era == 0 {
		return false
	}
	returned = era > e.newest && e.newest != 0
	if era > e.newest {
		e.newest, e.first = era, 0
	}
	if !returned {
		if began > 0 && e.since.IsZero() {
			e.since = time.Now().Add(-began)
		}
		return false
	}
	e.rises++
	e.since = time.Now().Add(-began)
	if e.risen != nil {
		close(e.risen)
		e.risen = nil
	}
	return true
}

// Newest returns the newest known era; 0 if none is known.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Returns returns how many returns of the store from a copy were observed.
func (e *Eras) Returns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rises
}

// Since returns when the store returned from a copy the last time, as far as known.
// ok is false if no return was observed.
func (e *Eras) Since() (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since, !e.since.IsZero()
}

// ObserveRevision records that the store was seen at a revision of an era.
func (e *Eras) ObserveRevision(era, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == e.newest && revision != 0 && (e.first == 0 || revision < e.first) {
		e.first = revision
	}
}

// First returns the lowest revision at which the store was seen in an era: records of a
// greater revision were written in that era and do not come from the copy. It is 0 if
// none is known or the era is not the newest.
func (e *Eras) First(era uint64) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era != e.newest {
		return 0
	}
	return e.first
}

// Risen returns a channel that is closed when the next return is observed.
func (e *Eras) Risen() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.risen == nil {
		e.risen = make(chan struct{})
	}
	return e.risen
}

// MaxEra and MaxRevision limit what is taken for a position of the store: a version holds both.
// A number beyond comes from a malformed message; taken for the newest, it would hide all that
// the store says later.
const (
	MaxEra      = 1<<24 - 1
	MaxRevision = 1<<40 - 1
)

// IsValid reports whether p can be a position of a store.
func (p Position) IsValid() bool { return p.Era <= MaxEra && p.Revision <= MaxRevision }
