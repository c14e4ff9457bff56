package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
)

// boardShards is the number of independently locked parts of a Board.
const boardShards = 16

// peerReportAge is how long another router's word on its requests in progress
// counts: twice the time between two exchanges of a pair in a fleet of 30.
const peerReportAge = 3 * time.Second

// Board is what a router knows of each upstream beyond the catalog: requests in
// progress here and at other routers, silence, and failures. All methods may be
// called concurrently.
type Board struct {
	start  time.Time
	eject  eject.Options
	shards [boardShards]boardShard
	peers  peerReports
}

type boardShard struct {
	mu        sync.Mutex
	upstreams map[catalog.Key]*upstreamState
}

// upstreamState is guarded by the lock of its shard.
type upstreamState struct {
	failures eject.Record
	silence  eject.Silence // and the requests in progress sent by this router
	tally    eject.Tally   // of answers to requests that name no prompt
	// unreachable tells that the last failure was one to reach the upstream, and
	// that nothing has come from it since.
	unreachable bool
	// silent tells that the upstream's silence was taken for a fault and logged.
	silent bool
}

// NewBoard returns an empty board.
func NewBoard(opts eject.Options) *Board {
	b := &Board{start: time.Now(), eject: opts}
	b.peers.reports = make(map[string]peerReport)
	b.peers.loads = make(map[uint32]int)
	for i := range b.shards {
		b.shards[i].upstreams = make(map[catalog.Key]*upstreamState)
	}
	return b
}

// now returns the time since the board was made, by the monotonic clock.
func (b *Board) now() time.Duration { return time.Since(b.start) }

func (b *Board) shard(key catalog.Key) *boardShard { return &b.shards[key.Sum()%boardShards] }

// update calls f with the state of an upstream under its lock.
func (b *Board) update(key catalog.Key, f func(*upstreamState, time.Duration)) {
	now := b.now()
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[key]
	if u == nil {
		u = &upstreamState{}
		s.upstreams[key] = u
	}
	f(u, now)
}

// read calls f with the state of an upstream under its lock, if there is any.
func (b *Board) read(key catalog.Key, f func(*upstreamState, time.Duration)) {
	now := b.now()
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.upstreams[key]; u != nil {
		f(u, now)
	}
}

// each calls f with the state of every upstream under its lock.
func (b *Board) each(f func(*boardShard, catalog.Key, *upstreamState)) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for key, u := range s.upstreams {
			f(s, key, u)
		}
		s.mu.Unlock()
	}
}

// Begin records that a request is sent to the upstream.
func (b *Board) Begin(key catalog.Key) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.silence.Begin(now) })
}

// End records that a request at the upstream has ended.
func (b *Board) End(key catalog.Key) {
	b.update(key, func(u *upstreamState, _ time.Duration) { u.silence.End() })
}

// Heard records that the upstream sent something, and tells whether that ends a
// silence that was taken for a fault.
func (b *Board) Heard(key catalog.Key) (again bool) {
	b.update(key, func(u *upstreamState, now time.Duration) {
		u.silence.Heard(now)
		again, u.silent, u.unreachable = u.silent, false, false
	})
	return again
}

// FellSilent notes that the upstream's silence is taken for a fault, and tells
// whether that is new.
func (b *Board) FellSilent(key catalog.Key) (first bool) {
	b.update(key, func(u *upstreamState, _ time.Duration) { first, u.silent = !u.silent, true })
	return first
}

// Failed records a failure that speaks against the upstream, and whether the
// upstream was reached. It returns for how long the upstream is taken out of
// placement by it; 0 if it was already.
func (b *Board) Failed(key catalog.Key, reached bool) (out time.Duration) {
	b.update(key, func(u *upstreamState, now time.Duration) {
		out = u.failures.Failure(b.eject, now)
		u.unreachable = !reached
	})
	return out
}

// Hold keeps the upstream out of placement for a time, without a penalty.
func (b *Board) Hold(key catalog.Key, d time.Duration) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.failures = u.failures.HeldUntil(now + d) })
}

// Loads are requests in progress by the short hash of the upstream's key. An
// upstream without any is left out.
type Loads map[uint32]int

// OwnLoads returns this router's requests in progress.
func (b *Board) OwnLoads() Loads {
	out := make(Loads)
	b.each(func(_ *boardShard, key catalog.Key, u *upstreamState) {
		if n := u.silence.Owed(); n > 0 {
			out[key.Sum()] = n
		}
	})
	return out
}

// Known is what the board knows of one upstream.
type Known struct {
	Load     int // requests in progress of all routers, as far as known
	Own      int
	Failures eject.Record
	// Silence is for how long it has owed this router answers without sending
	// anything.
	Silence time.Duration
	// Unreachable tells that it could not be reached when it was tried last.
	Unreachable bool
}

// Known returns what is known of an upstream.
func (b *Board) Known(key catalog.Key) Known {
	k := Known{Load: b.peers.load(key)}
	b.read(key, func(u *upstreamState, now time.Duration) {
		k.Own = u.silence.Owed()
		k.Load += k.Own
		k.Failures, k.Silence, k.Unreachable = u.failures, u.silence.For(now), u.unreachable
	})
	return k
}

// Forget drops what is known of upstreams that are no longer listed and have no
// request in progress.
func (b *Board) Forget(listed func(catalog.Key) bool) {
	b.each(func(s *boardShard, key catalog.Key, u *upstreamState) {
		if u.silence.Owed() == 0 && !listed(key) {
			delete(s.upstreams, key)
		}
	})
}
