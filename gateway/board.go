package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
)

// boardShards is the number of independently locked parts of a Board.
const boardShards = 16

// peerReportMaxAge is how long a report of another router or failure domain on its
// requests in progress is used: twice the longest interval between two reports.
const peerReportMaxAge = 3 * time.Second

// Board records the state of each upstream beyond what the catalog lists: requests
// in progress from this router and from others, silence, and failures. All methods
// may be called concurrently.
type Board struct {
	start        time.Time
	ejectOptions eject.Options
	shards       [boardShards]boardShard
	peers        peerReports
	ownWork      func() WorkByUpstream
	customers    customers
}

type boardShard struct {
	mu        sync.Mutex
	upstreams map[catalog.Key]*upstreamState
}

// upstreamState is the state of one upstream, guarded by the lock of its shard.
type upstreamState struct {
	failures     eject.Record
	silence      eject.Silence      // also counts this router's requests in progress
	answerCounts eject.AnswerCounts // of requests without shared prompt parts
	heldUntil    time.Duration      // until when it wants no requests from this router
	// unreachable is true if the last recorded failure was a failure to reach the
	// upstream or an excessive silence, and nothing has been received from it
	// since.
	unreachable bool
	// silenceReported is true once the upstream's silence was treated as a fault
	// and logged.
	silenceReported bool
	badEntry        badEntry
}

// NewBoard returns an empty board.
func NewBoard(opts eject.Options) *Board {
	b := &Board{start: time.Now(), ejectOptions: opts, ownWork: func() WorkByUpstream { return nil }}
	b.peers.routers = make(map[string]peerReport)
	b.peers.domains = make(map[string]peerReport)
	b.peers.loads = make(map[uint32]int)
	for i := range b.shards {
		b.shards[i].upstreams = make(map[catalog.Key]*upstreamState)
	}
	return b
}

// now returns the time since the board was created, by the monotonic clock.
func (b *Board) now() time.Duration { return time.Since(b.start) }

func (b *Board) shard(key catalog.Key) *boardShard { return &b.shards[key.Sum()%boardShards] }

// update calls f with the state of an upstream under its lock, creating the state
// if there is none.
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

// read calls f with the state of an upstream under its lock, if there is one.
func (b *Board) read(key catalog.Key, f func(*upstreamState, time.Duration)) {
	now := b.now()
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.upstreams[key]; u != nil {
		f(u, now)
	}
}

// each calls f with the state of every upstream, under the lock of its shard.
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

// BeginRequest records that a request is sent to the upstream.
func (b *Board) BeginRequest(key catalog.Key) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.silence.Begin(now) })
}

// EndRequest records that a request at the upstream has ended.
func (b *Board) EndRequest(key catalog.Key) {
	b.update(key, func(u *upstreamState, _ time.Duration) { u.silence.End() })
}

// Deliver calls f, which writes a part of an answer of the upstream to its caller. The upstream
// does not count as silent meanwhile: it may be unable to send while the caller reads nothing.
func (b *Board) Deliver(key catalog.Key, f func()) {
	b.update(key, func(u *upstreamState, _ time.Duration) { u.silence.Block() })
	defer b.update(key, func(u *upstreamState, now time.Duration) { u.silence.Unblock(now) })
	f()
}

// RecordActivity records that the upstream sent something, and reports whether
// this ends a silence that was treated as a fault.
func (b *Board) RecordActivity(key catalog.Key) (resumed bool) {
	b.update(key, func(u *upstreamState, now time.Duration) {
		u.silence.RecordActivity(now)
		resumed, u.silenceReported, u.unreachable = u.silenceReported, false, false
	})
	return resumed
}

// MarkSilent records that the upstream's silence is treated as a fault, and
// reports whether it was not recorded yet.
func (b *Board) MarkSilent(key catalog.Key) (first bool) {
	b.update(key, func(u *upstreamState, _ time.Duration) { first, u.silenceReported = !u.silenceReported, true })
	return first
}

// RecordFailure records a failure attributed to the upstream, and whether the
// upstream was reached. It returns for how long this ejects the upstream; 0 if it
// is already ejected.
func (b *Board) RecordFailure(key catalog.Key, reached bool) (ejectedFor time.Duration) {
	b.update(key, func(u *upstreamState, now time.Duration) {
		ejectedFor = u.failures.Failure(b.ejectOptions, now)
		u.unreachable = !reached
	})
	return ejectedFor
}

// BackOff excludes the upstream from placement for a time, without counting a
// failure.
func (b *Board) BackOff(key catalog.Key, d time.Duration) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.failures = u.failures.EjectedUntil(now + d) })
}

// Loads maps the short hash of an upstream's key to its requests in progress.
// Upstreams without any are left out.
type Loads map[uint32]int

// OwnLoads returns the requests in progress sent by this router.
func (b *Board) OwnLoads() Loads {
	out := make(Loads)
	b.each(func(_ *boardShard, key catalog.Key, u *upstreamState) {
		if n := u.silence.Pending(); n > 0 {
			out[key.Sum()] = n
		}
	})
	return out
}

// UpstreamStatus is what the board has recorded of one upstream.
type UpstreamStatus struct {
	Load     float64 // requests in progress from all routers, as last reported
	OwnLoad  int     // requests in progress from this router
	Failures eject.Record
	// Silence is how long the upstream has sent nothing while this router waited
	// for answers.
	Silence time.Duration
	// Unreachable is true if the last recorded failure was a failure to reach the
	// upstream or an excessive silence, and it has sent nothing since.
	Unreachable bool
	Held        time.Duration // how long it still wants no requests from this router
	badEntry    badEntry
}

// Status returns what is recorded of an upstream.
func (b *Board) Status(key catalog.Key) UpstreamStatus {
	status := UpstreamStatus{Load: b.peers.load(key)}
	b.read(key, func(u *upstreamState, now time.Duration) {
		status.OwnLoad = u.silence.Pending()
		status.Load += float64(status.OwnLoad)
		status.Failures, status.Silence, status.Unreachable = u.failures, u.silence.For(now), u.unreachable
		status.Held, status.badEntry = max(0, u.heldUntil-now), u.badEntry
	})
	return status
}

// RemoveUnlisted removes the state of upstreams that are no longer listed, have no
// request of this router in progress, and do not hold it back.
func (b *Board) RemoveUnlisted(listed func(catalog.Key) bool) {
	now := b.now()
	b.each(func(s *boardShard, key catalog.Key, u *upstreamState) {
		if u.silence.Pending() == 0 && u.heldUntil <= now && !listed(key) {
			delete(s.upstreams, key)
		}
	})
}
