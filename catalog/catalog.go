// Package catalog holds the upstreams that the platform lists, by service. A
// Catalog is an immutable snapshot, read without locks.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what an upstream says of itself.
type State uint8

// The states.
const (
	StateReady   State = iota + 1
	StateLeaving       // takes no new work
)

// Upstream is one replica of a service.
type Upstream struct {
	ID            string // of its entry; a restart mostly gives a new one
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	State         State
	Slots         int   // requests processed at once; 0 if unknown
	Born          int64 // Unix milliseconds of its start; 0 if unknown
	Hash          uint64
}

// Key identifies one start of an upstream: an entry may return under its old
// identifier after a restart.
type Key struct {
	ID   string
	Born int64
}

// Sum returns a short hash of the identity, for messages between routers.
func (k Key) Sum() uint32 {
	return uint32(xxhash.Sum64String(k.ID) ^ uint64(k.Born)*0x9e3779b97f4a7c15>>32)
}

// Key returns the identity of this start of the upstream.
func (u *Upstream) Key() Key { return Key{ID: u.ID, Born: u.Born} }

// Catalog is a snapshot of all upstreams.
type Catalog struct {
	Revision uint64
	services map[string][]*Upstream
	byID     map[string]*Upstream
}

// New returns a catalog of the given upstreams.
func New(revision uint64, upstreams []Upstream) *Catalog {
	c := &Catalog{
		Revision: revision,
		services: make(map[string][]*Upstream),
		byID:     make(map[string]*Upstream, len(upstreams)),
	}
	for i := range upstreams {
		u := &upstreams[i]
		u.Hash = xxhash.Sum64String(u.ID)
		c.byID[u.ID] = u
		c.services[u.Service] = append(c.services[u.Service], u)
	}
	for _, list := range c.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c
}

// Service returns the upstreams of a service, leaving ones included, by ID. The
// caller must not change the list.
func (c *Catalog) Service(name string) []*Upstream { return c.services[name] }

// Find returns an upstream by ID; nil if it is not listed.
func (c *Catalog) Find(id string) *Upstream { return c.byID[id] }

// All calls f for every upstream.
func (c *Catalog) All(f func(*Upstream)) {
	for _, u := range c.byID {
		f(u)
	}
}

// Lapse keeps upstreams that the store no longer lists while it may merely have
// missed their heartbeats: entries expire while the store is away and return
// shortly after it does. It is not safe for concurrent use.
type Lapse struct {
	// Return is how long after the store's return a missing entry may be back.
	Return time.Duration
	kept   map[string]Upstream
	known  map[string]Upstream
}

// Merge returns the listed upstreams and those that may still return. regained
// is the time since the store answers again after an outage.
func (l *Lapse) Merge(listed []Upstream, regained time.Duration) []Upstream {
	if l.kept == nil {
		l.kept = make(map[string]Upstream)
	}
	now := make(map[string]Upstream, len(listed))
	for _, u := range listed {
		now[u.ID] = u
		delete(l.kept, u.ID)
	}
	for id, u := range l.known {
		if _, ok := now[id]; !ok {
			l.kept[id] = u
		}
	}
	l.known = now
	if regained >= l.Return {
		clear(l.kept)
	}
	merged := slices.Clone(listed)
	for _, u := range l.kept {
		if !addressTaken(listed, u.Address) {
			merged = append(merged, u)
		}
	}
	return merged
}

// Kept returns how many entries are kept though they are not listed.
func (l *Lapse) Kept() int { return len(l.kept) }

func addressTaken(listed []Upstream, address string) bool {
	return slices.ContainsFunc(listed, func(u Upstream) bool { return u.Address == address })
}
