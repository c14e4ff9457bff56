// Package board is the blackboard of a process: what it knows of the fleet, as
// typed entries that each carry their origin, version and age. Controllers
// write it and the request path reads it; none of them calls another.
//
// State is sharded by host, each shard under its own lock. The configuration is
// one atomic pointer. All methods may be called concurrently.
package board

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

// Origin tells where an entry was learnt.
type Origin string

// The origins other than the name of a host.
const (
	OriginHostList Origin = "host-list"
	OriginPlatform Origin = "platform"
	OriginSelf     Origin = "self"
)

// Entry is a value with its origin, its version within that origin, and the
// monotonic time when it was learnt.
type Entry[T any] struct {
	Value   T
	Origin  Origin
	Version uint64
	At      time.Duration
}

// Adopted is the configuration in force and how it came.
type Adopted struct {
	Config *config.Config // not to be changed
	Index  *config.Index
	From   string        // the platform or the name of a peer
	At     time.Duration // when it was adopted, on the board's clock
}

// shardCount is the number of shards of host entries.
const shardCount = 32

type shard struct {
	mu    sync.RWMutex
	hosts map[string]*hostEntry
}

// Board holds what a process knows. Use New.
type Board struct {
	now     func() time.Duration
	adopted atomic.Pointer[Adopted]
	drain   atomic.Pointer[Entry[Drain]]
	list    atomic.Pointer[Entry[int]] // rows of the last host list taken
	shards  [shardCount]shard

	changeMu   sync.Mutex
	generation uint64
	changed    chan struct{}
}

// New returns an empty board whose clock starts now.
func New() *Board {
	start := time.Now()
	return NewWithClock(func() time.Duration { return time.Since(start) })
}

// NewWithClock returns an empty board on a monotonic clock.
func NewWithClock(now func() time.Duration) *Board {
	b := &Board{now: now, changed: make(chan struct{})}
	for i := range b.shards {
		b.shards[i].hosts = make(map[string]*hostEntry)
	}
	b.drain.Store(&Entry[Drain]{Value: DrainServing, Origin: OriginSelf})
	return b
}

// Now returns the board's monotonic time.
func (b *Board) Now() time.Duration { return b.now() }

// Configuration returns the configuration in force, nil before the first.
func (b *Board) Configuration() *Adopted { return b.adopted.Load() }

// ConfigVersion returns the version in force, 0 before the first.
func (b *Board) ConfigVersion() uint64 {
	if a := b.adopted.Load(); a != nil {
		return a.Config.Version
	}
	return 0
}

// Adopt puts cfg in force if its version is greater than the one in force, by
// one swap, and tells whether it did. cfg must have no findings and must not be
// changed afterwards.
func (b *Board) Adopt(cfg *config.Config, from string) bool {
	next := &Adopted{Config: cfg, Index: config.NewIndex(cfg), From: from, At: b.now()}
	for {
		current := b.adopted.Load()
		if current != nil && cfg.Version <= current.Config.Version {
			return false
		}
		if b.adopted.CompareAndSwap(current, next) {
			b.signal()
			return true
		}
	}
}

// Changed returns a channel that is closed at the next change of the
// configuration or of the hosts that may be chosen. Take the channel before
// reading the board, so that no change is missed.
func (b *Board) Changed() <-chan struct{} {
	b.changeMu.Lock()
	defer b.changeMu.Unlock()
	return b.changed
}

// Generation grows with each change that Changed announces.
func (b *Board) Generation() uint64 {
	b.changeMu.Lock()
	defer b.changeMu.Unlock()
	return b.generation
}

func (b *Board) signal() {
	b.changeMu.Lock()
	defer b.changeMu.Unlock()
	b.generation++
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Board) shard(host string) *shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return &b.shards[h.Sum32()%shardCount]
}

// ObserveHostList takes the rows of one host list. A host that is missing in
// the list is leaving, unless the list holds no host of that role at all while
// the last one did: such a list is held to be faulty for that role.
func (b *Board) ObserveHostList(hosts []store.Host) {
	at, change := b.now(), false
	rows := make(map[string]store.Host, len(hosts))
	roles := make(map[store.Role]bool)
	for _, h := range hosts {
		rows[h.Name] = h
		roles[h.Role] = true
	}
	version := uint64(1)
	if last := b.list.Load(); last != nil {
		version = last.Version + 1
	}
	b.list.Store(&Entry[int]{Value: len(hosts), Origin: OriginHostList, Version: version, At: at})
	for name, h := range rows {
		change = b.update(name, func(e *hostEntry) { e.list(h, version, at) }) || change
	}
	for _, name := range b.unlisted(rows, roles) {
		change = b.update(name, func(e *hostEntry) { e.unlist(at) }) || change
	}
	if change {
		b.signal()
	}
}

// unlisted returns the known hosts without a row, of roles that the list shows.
func (b *Board) unlisted(rows map[string]store.Host, roles map[store.Role]bool) []string {
	var names []string
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for name, e := range s.hosts {
			if _, ok := rows[name]; !ok && roles[e.listed.Value.Role] {
				names = append(names, name)
			}
		}
		s.mu.RUnlock()
	}
	return names
}

// update applies change to a host's entry and tells whether the host's being
// choosable, or its row, changed with it.
func (b *Board) update(name string, change func(*hostEntry)) bool {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.hosts[name]
	if !ok {
		e = &hostEntry{}
		s.hosts[name] = e
	}
	now := b.now()
	row, before := e.listed.Value, ok && e.choosable(now)
	change(e)
	e.wasChoosable = e.choosable(now)
	if e.forgettable(now) {
		delete(s.hosts, name)
	}
	return e.listed.Value != row || before != e.wasChoosable
}

// ObservePeer takes first-hand evidence on a host.
func (b *Board) ObservePeer(evidence Evidence) {
	at := b.now()
	if b.update(evidence.Host, func(e *hostEntry) { e.observe(evidence, at) }) {
		b.signal()
	}
}

// Expire announces hosts that became choosable by the passing of time, and
// forgets hosts that are long gone. A controller calls it periodically.
func (b *Board) Expire() {
	change := false
	for i := range b.shards {
		change = b.shards[i].expire(b.now()) || change
	}
	if change {
		b.signal()
	}
}

func (s *shard) expire(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := false
	for name, e := range s.hosts {
		if choosable := e.choosable(now); choosable != e.wasChoosable {
			e.wasChoosable, change = choosable, true
		}
		if e.forgettable(now) {
			delete(s.hosts, name)
		}
	}
	return change
}

// Hosts returns all known hosts, by name.
func (b *Board) Hosts() []HostView {
	var views []HostView
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for name, e := range s.hosts {
			views = append(views, e.view(name, b.now()))
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(views, func(a, b HostView) int { return strings.Compare(a.Name, b.Name) })
	return views
}

// Host returns one host.
func (b *Board) Host(name string) (HostView, bool) {
	s := b.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.hosts[name]
	if !ok {
		return HostView{}, false
	}
	return e.view(name, b.now()), true
}

// HostListAge returns the age of the last host list; false if there was none.
func (b *Board) HostListAge() (time.Duration, bool) {
	last := b.list.Load()
	if last == nil {
		return 0, false
	}
	return b.now() - last.At, true
}

// Drain is how far a process is with stopping.
type Drain string

// The states of a process, in their only order.
const (
	DrainServing  Drain = "serving"
	DrainDraining Drain = "draining" // no new work; work in progress runs to its end
	DrainDrained  Drain = "drained"  // nothing in progress: the process may end
)

// Drain returns the process's own drain state.
func (b *Board) Drain() Entry[Drain] { return *b.drain.Load() }

// SetDrain advances the process's own drain state. It never goes back.
func (b *Board) SetDrain(state Drain, origin Origin) bool {
	order := []Drain{DrainServing, DrainDraining, DrainDrained}
	for {
		current := b.drain.Load()
		if slices.Index(order, state) <= slices.Index(order, current.Value) {
			return false
		}
		next := &Entry[Drain]{Value: state, Origin: origin, Version: current.Version + 1, At: b.now()}
		if b.drain.CompareAndSwap(current, next) {
			b.signal()
			return true
		}
	}
}

// Load is a load report of a host with its age.
type Load struct {
	wire.Load
	Age time.Duration
}
