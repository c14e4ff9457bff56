// Package feed keeps a kind of the store's objects up to date: it lists them,
// follows their changes, and takes newer snapshots from other routers while the
// store is out of reach or a watch is silent.
package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

const (
	// retryDelay is the mean wait after a failed call. It bounds the calls of
	// the fleet to a store that is down, and the time until its return is seen.
	retryDelay = 400 * time.Millisecond
	// outageGap is the time of failing calls that counts as an outage of the
	// store, in which entries can expire. A router that rests notices an outage
	// up to restFor late.
	outageGap = time.Second
	// restFor is the age of a confirmation by other routers up to which a
	// router that is no watcher leaves the store alone.
	restFor = 1500 * time.Millisecond
	// restingDelay is the mean wait of such a router after a failed call.
	restingDelay = 1200 * time.Millisecond
	// lostAfter is the time without an answer after which the loss of the store
	// is logged.
	lostAfter = 2 * time.Second
)

// Snapshot is the content of a kind at a revision of the store.
type Snapshot struct {
	Revision uint64
	Records  []store.Record // by name
}

// Stamp says how new a feed's content is.
type Stamp struct {
	Revision uint64        // of the store; 0 if the feed has no content
	Digest   uint64        // of the content
	Age      time.Duration // since the store was last known to hold nothing newer
	Steady   time.Duration // since the store answers this router without an outage
}

// peerSteady is the longest time for which the store has been answering another
// router, by reports of late.
type peerSteady struct {
	since time.Time
	told  time.Time
}

// peerSteadyAge is how long another router's word on the store counts.
const peerSteadyAge = 500 * time.Millisecond

// Options sets up a Feed.
type Options struct {
	Kind   string
	Source store.Collections
	Wait   time.Duration // of one watch; bounds how long a silent one is trusted
	Log    log.Interface
	// Watcher tells whether this router watches the store all the time. Others
	// do so only while nobody confirms their content. Nil means that it does.
	Watcher func() bool
	// Changed is called with each new content, one call at a time.
	Changed func(Snapshot)
}

// Feed holds the content of one kind. All methods may be called concurrently.
type Feed struct {
	opts Options

	mu        sync.Mutex
	records   map[string]store.Record
	revision  uint64 // 0 until there is content
	recent    recent
	digest    uint64
	confirmed time.Time // when the store was last known to hold nothing newer
	failing   time.Time // when the first failing call since the last answer began; zero if none
	steady    time.Time // since when the store answers this router without an outage
	others    peerSteady
	lost      bool // the loss of the store has been logged
	adopted   context.CancelFunc
	publish   sync.Mutex // orders calls of Changed
}

// New returns a feed without content. Run keeps it.
func New(opts Options) *Feed {
	if opts.Watcher == nil {
		opts.Watcher = func() bool { return true }
	}
	return &Feed{opts: opts, records: make(map[string]store.Record), steady: time.Now()}
}

// replace puts a whole content in place of the one held.
func (f *Feed) replace(records []store.Record, revision uint64, age time.Duration) bool {
	f.publish.Lock()
	defer f.publish.Unlock()
	f.mu.Lock()
	if revision <= f.revision && f.revision != 0 {
		if at := time.Now().Add(-age); revision == f.revision && at.After(f.confirmed) {
			f.confirmed = at
		}
		f.mu.Unlock()
		return false
	}
	f.records = make(map[string]store.Record, len(records))
	for _, r := range records {
		f.records[r.Name] = r
	}
	f.revision = revision
	f.recent = recent{base: revision}
	f.confirmed = time.Now().Add(-age)
	f.digest = digest(f.records)
	if f.adopted != nil {
		f.adopted()
	}
	s := f.snapshot()
	f.mu.Unlock()
	f.opts.Changed(s)
	return true
}

// Adopt takes the snapshot of another router if it is newer than the content
// held, and returns whether it is. stamp is the other router's.
func (f *Feed) Adopt(s Snapshot, stamp Stamp) bool {
	f.mu.Lock()
	f.noteOther(stamp)
	f.mu.Unlock()
	return f.replace(s.Records, s.Revision, stamp.Age)
}

// noteOther records for how long the store has been answering another router.
// f.mu is held.
func (f *Feed) noteOther(stamp Stamp) {
	now := time.Now()
	since := now.Add(-stamp.Steady)
	if now.Sub(f.others.told) > peerSteadyAge || !since.After(f.others.since) {
		f.others = peerSteady{since: since, told: now}
	}
}

// Confirm takes another router's word that the content was the newest some time
// ago. It returns whether the other one holds newer content.
func (f *Feed) Confirm(peer Stamp) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteOther(peer)
	if peer.Digest == f.digest && f.revision != 0 {
		if at := time.Now().Add(-peer.Age); at.After(f.confirmed) {
			f.confirmed = at
		}
		return false
	}
	return peer.Revision > f.revision
}

// Kind returns the kind of objects that the feed keeps.
func (f *Feed) Kind() string { return f.opts.Kind }

// Stamp says how new the content is.
func (f *Feed) Stamp() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := Stamp{Revision: f.revision, Digest: f.digest, Steady: now.Sub(f.steady)}
	if f.revision != 0 {
		s.Age = now.Sub(f.confirmed)
	}
	if !f.failing.IsZero() && now.Sub(f.failing) > outageGap {
		s.Steady = 0
	}
	return s
}

// Snapshot returns the content.
func (f *Feed) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot()
}

// snapshot returns the content by name. f.mu is held.
func (f *Feed) snapshot() Snapshot {
	s := Snapshot{Revision: f.revision, Records: make([]store.Record, 0, len(f.records))}
	for _, r := range f.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b store.Record) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// digest identifies a content whatever the revision at which it was read.
func digest(records map[string]store.Record) uint64 {
	var sum uint64
	for name, r := range records {
		sum += (xxhash.Sum64String(name) ^ r.Revision) * 0x9e3779b97f4a7c15
	}
	return sum ^ uint64(len(records))
}

// Steady returns how long the store has been answering this router or another
// one without an outage: a router that was cut off alone missed nothing that
// the store did not know.
func (f *Feed) Steady() time.Duration {
	own := f.Stamp().Steady
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.others.told) > peerSteadyAge {
		return own
	}
	return max(own, now.Sub(f.others.since))
}
