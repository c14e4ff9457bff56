// Package board holds the shared state of a process: the configuration in
// force, the known hosts and the drain state. Controllers write it. The request
// path reads it and adds what it observes of other hosts. Entries carry their
// origin, version and age.
//
// The state of hosts is sharded by host name, and each shard has its own lock.
// The configuration is one atomic pointer. All methods may be called
// concurrently.
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

// Origin identifies the source of an entry: one of the constants below or the
// name of a host.
type Origin string

// Origins that are not the name of a host.
const (
	OriginHostList Origin = "host-list"
	OriginPlatform Origin = "platform"
	OriginSelf     Origin = "self"
)

// Entry is a value with its origin, its version within that origin, and the
// time on the clock of the board when it was recorded.
type Entry[T any] struct {
	Value   T
	Origin  Origin
	Version uint64
	At      time.Duration
}

// Adopted is the configuration in force and its source.
type Adopted struct {
	Config *config.Config // must not be modified
	Index  *config.Index
	From   string        // OriginPlatform or the name of a peer
	At     time.Duration // time of adoption on the clock of the board
}

// shardCount is the number of shards of the host entries.
const shardCount = 32

type shard struct {
	mu    sync.RWMutex
	hosts map[string]*hostEntry
}

// Board is the shared state of a process. Create it with New or NewWithClock.
type Board struct {
	now      func() time.Duration
	adopted  atomic.Pointer[Adopted]
	drain    atomic.Pointer[Entry[Drain]]
	hostList atomic.Pointer[Entry[int]] // number of hosts in the last host list
	shards   [shardCount]shard

	changeMu   sync.Mutex
	generation uint64
	changed    chan struct{}
}

// New returns an empty board whose clock starts at 0.
func New() *Board {
	start := time.Now()
	return NewWithClock(func() time.Duration { return time.Since(start) })
}

// NewWithClock returns an empty board that uses the given monotonic clock.
func NewWithClock(now func() time.Duration) *Board {
	b := &Board{now: now, changed: make(chan struct{})}
	for i := range b.shards {
		b.shards[i].hosts = make(map[string]*hostEntry)
	}
	b.drain.Store(&Entry[Drain]{Value: DrainServing, Origin: OriginSelf})
	return b
}

// Now returns the time on the monotonic clock of the board.
func (b *Board) Now() time.Duration { return b.now() }

// Configuration returns the configuration in force. It returns nil before the
// first one is adopted.
func (b *Board) Configuration() *Adopted { return b.adopted.Load() }

// ConfigVersion returns the version of the configuration in force. It returns 0
// before the first one is adopted.
func (b *Board) ConfigVersion() uint64 {
	if a := b.adopted.Load(); a != nil {
		return a.Config.Version
	}
	return 0
}

// Adopt atomically puts cfg in force if its version is greater than the version
// in force. It reports whether it did. cfg must have no findings and must not
// be modified afterwards.
func (b *Board) Adopt(cfg *config.Config, from string) bool {
	next := &Adopted{Config: cfg, Index: config.NewIndex(cfg), From: from, At: b.now()}
	for {
		current := b.adopted.Load()
		if current != nil && cfg.Version <= current.Config.Version {
			return false
		}
		if b.adopted.CompareAndSwap(current, next) {
			b.notifyChanged()
			return true
		}
	}
}

// Changed returns a channel that is closed at the next change of the
// configuration, of the drain state, or of the rows or the availability of
// hosts. To miss no change, call Changed before reading the board.
func (b *Board) Changed() <-chan struct{} {
	b.changeMu.Lock()
	defer b.changeMu.Unlock()
	return b.changed
}

// Generation returns a number that grows with each change that Changed signals.
func (b *Board) Generation() uint64 {
	b.changeMu.Lock()
	defer b.changeMu.Unlock()
	return b.generation
}

func (b *Board) notifyChanged() {
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

// ObserveHostList records a host list. A known host that is missing from the
// list is treated as leaving. If the list has no host of a role, it is
// considered faulty for that role, and the known hosts of the role keep their
// state.
func (b *Board) ObserveHostList(hosts []store.Host) {
	at, change := b.now(), false
	rows := make(map[string]store.Host, len(hosts))
	roles := make(map[store.Role]bool)
	for _, h := range hosts {
		rows[h.Name] = h
		roles[h.Role] = true
	}
	version := uint64(1)
	if last := b.hostList.Load(); last != nil {
		version = last.Version + 1
	}
	b.hostList.Store(&Entry[int]{Value: len(hosts), Origin: OriginHostList, Version: version, At: at})
	for name, h := range rows {
		change = b.update(name, func(e *hostEntry) { e.recordListed(h, version, at) }) || change
	}
	for _, name := range b.missingHosts(rows, roles) {
		change = b.update(name, func(e *hostEntry) { e.recordUnlisted(at) }) || change
	}
	if change {
		b.notifyChanged()
	}
}

// missingHosts returns the names of the known hosts that are not in rows. It
// skips hosts whose role is not in roles.
func (b *Board) missingHosts(rows map[string]store.Host, roles map[store.Role]bool) []string {
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

// update applies change to the entry of a host. It reports whether the row of
// the host in the host list or its availability has changed.
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
	row, before := e.listed.Value, ok && e.available(now)
	change(e)
	e.wasAvailable = e.available(now)
	if e.removable(now) {
		delete(s.hosts, name)
	}
	return e.listed.Value != row || before != e.wasAvailable
}

// ObservePeer records first-hand evidence about a host.
func (b *Board) ObservePeer(evidence Evidence) {
	at := b.now()
	if b.update(evidence.Host, func(e *hostEntry) { e.observe(evidence, at) }) {
		b.notifyChanged()
	}
}

// Expire signals a change if hosts have become available through the passing of
// time, and removes hosts that have been unlisted for long. A controller must
// call it periodically.
func (b *Board) Expire() {
	change := false
	for i := range b.shards {
		change = b.shards[i].expire(b.now()) || change
	}
	if change {
		b.notifyChanged()
	}
}

func (s *shard) expire(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := false
	for name, e := range s.hosts {
		if available := e.available(now); available != e.wasAvailable {
			e.wasAvailable, change = available, true
		}
		if e.removable(now) {
			delete(s.hosts, name)
		}
	}
	return change
}

// Hosts returns all known hosts, sorted by name.
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

// Host returns the host with the given name. It returns false if the host is
// not known.
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

// HostListAge returns the age of the last host list. It returns false if there
// is none.
func (b *Board) HostListAge() (time.Duration, bool) {
	last := b.hostList.Load()
	if last == nil {
		return 0, false
	}
	return b.now() - last.At, true
}

// Drain is the drain state of a process.
type Drain string

// Drain states. A process passes through them in this order.
const (
	DrainServing  Drain = "serving"
	DrainDraining Drain = "draining" // no new work is accepted; work in progress is completed
	DrainDrained  Drain = "drained"  // no work in progress; the process may exit
)

// Drain returns the drain state of this process.
func (b *Board) Drain() Entry[Drain] { return *b.drain.Load() }

// SetDrain advances the drain state of this process and reports whether the
// state has changed. The state never goes back.
func (b *Board) SetDrain(state Drain, origin Origin) bool {
	states := []Drain{DrainServing, DrainDraining, DrainDrained}
	for {
		current := b.drain.Load()
		if slices.Index(states, state) <= slices.Index(states, current.Value) {
			return false
		}
		next := &Entry[Drain]{Value: state, Origin: origin, Version: current.Version + 1, At: b.now()}
		if b.drain.CompareAndSwap(current, next) {
			b.notifyChanged()
			return true
		}
	}
}

// Load is the load that a host reported and the age of the report.
type Load struct {
	wire.Load
	Age time.Duration
}
