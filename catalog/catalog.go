// Package catalog indexes the upstreams that the platform lists, by service. A
// Catalog is an immutable snapshot that is read without locks.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state that an upstream reports.
type State uint8

// Possible states.
const (
	StateReady   State = iota + 1
	StateLeaving       // draining: accepts no new work
)

// Upstream is one replica of a service.
type Upstream struct {
	ID            string // identifier of its entry; usually changes on restart
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	Version       string // of its software; versions have no order
	State         State
	Slots         int           // requests processed concurrently; 0 if unknown
	Born          int64         // start time in Unix milliseconds; 0 if unknown
	Revision      uint64        // of its entry
	ColdStated    bool          // the entry says for how long the upstream is cold
	ColdRemaining time.Duration // for which the entry says that the upstream is cold; 0 if it says nothing
	Restored      bool          // listed as ready only by an older copy from which the store returned
	Hash          uint64
	VersionSum    uint32 // short hash of Service and Version
}

// Key identifies one process start of an upstream. The ID alone is not enough, since
// an entry may keep its ID after a restart.
type Key struct {
	ID   string
	Born int64
}

// Sum returns a short hash of the key, for messages between routers.
func (k Key) Sum() uint32 {
	return uint32(xxhash.Sum64String(k.ID) ^ uint64(k.Born)*0x9e3779b97f4a7c15>>32)
}

// Key returns the key of this process start of the upstream.
func (u *Upstream) Key() Key { return Key{ID: u.ID, Born: u.Born} }

// Catalog is an immutable snapshot of all upstreams.
type Catalog struct {
	Revision uint64
	services map[string][]*Upstream
	byID     map[string]*Upstream
	bySum    map[uint32]*Upstream // by the short hash of the key
}

// New returns a catalog of the upstreams. It retains the slice and sets Hash and
// VersionSum of each element.
func New(revision uint64, upstreams []Upstream) *Catalog {
	c := &Catalog{
		Revision: revision,
		services: make(map[string][]*Upstream),
		byID:     make(map[string]*Upstream, len(upstreams)),
		bySum:    make(map[uint32]*Upstream, len(upstreams)),
	}
	for i := range upstreams {
		u := &upstreams[i]
		u.Hash = xxhash.Sum64String(u.ID)
		u.VersionSum = uint32(xxhash.Sum64String(u.Service + "\x00" + u.Version))
		c.byID[u.ID] = u
		c.bySum[u.Key().Sum()] = u
		c.services[u.Service] = append(c.services[u.Service], u)
	}
	for _, list := range c.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c
}

// Service returns the upstreams of a service, including draining ones, sorted by ID.
// The caller must not modify the list.
func (c *Catalog) Service(name string) []*Upstream { return c.services[name] }

// Find returns the upstream with the ID; nil if it is not listed.
func (c *Catalog) Find(id string) *Upstream { return c.byID[id] }

// FindSum returns the upstream whose key has the short hash; nil if none is listed.
func (c *Catalog) FindSum(sum uint32) *Upstream { return c.bySum[sum] }

// All calls f for every upstream.
func (c *Catalog) All(f func(*Upstream)) {
	for _, u := range c.byID {
		f(u)
	}
}

// MissingEntries retains upstreams that the store no longer lists but whose entries
// may only have expired because the store missed their heartbeats. Entries expire
// while the store is unavailable, and return shortly after it does. It is not safe
// for concurrent use.
type MissingEntries struct {
	// GracePeriod is the time after the return of the store within which a missing
	// entry may be listed again.
	GracePeriod time.Duration
	retained    map[string]Upstream
	lastListed  map[string]Upstream
}

// Merge returns the listed upstreams and those that may still return. sinceReturn
// is the time since the store became available again after an outage.
func (m *MissingEntries) Merge(listed []Upstream, sinceReturn time.Duration) []Upstream {
	if m.retained == nil {
		m.retained = make(map[string]Upstream)
	}
	current := make(map[string]Upstream, len(listed))
	for _, u := range listed {
		if u.Restored {
			continue // says nothing about the upstream that is known by now
		}
		current[u.ID] = u
		delete(m.retained, u.ID)
	}
	for id, u := range m.lastListed {
		if _, ok := current[id]; !ok {
			m.retained[id] = u
		}
	}
	m.lastListed = current
	if sinceReturn >= m.GracePeriod {
		clear(m.retained)
	}
	merged := slices.Clone(listed)
	for _, u := range m.retained {
		if !addressInUse(listed, u.Address) {
			merged = append(merged, u)
		}
	}
	return withoutReplaced(merged)
}

// withoutReplaced removes the restored entries whose address or ID now belongs to
// another upstream.
func withoutReplaced(upstreams []Upstream) []Upstream {
	kept := make([]Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		replaced := u.Restored && slices.ContainsFunc(upstreams, func(other Upstream) bool {
			return !other.Restored && (other.Address == u.Address || other.ID == u.ID)
		})
		if !replaced {
			kept = append(kept, u)
		}
	}
	return kept
}

// Retained returns the number of entries retained although they are not listed.
func (m *MissingEntries) Retained() int { return len(m.retained) }

// addressInUse reports whether an upstream that is not restored has the address.
func addressInUse(listed []Upstream, address string) bool {
	return slices.ContainsFunc(listed, func(u Upstream) bool { return u.Address == address && !u.Restored })
}
