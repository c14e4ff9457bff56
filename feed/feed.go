// Package feed keeps a local copy of one kind of the store's objects up to date.
// It lists the objects, watches their changes, and adopts newer snapshots from
// other routers while the store is unreachable or a watch is silent.
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
	// retryDelay is the mean delay after a failed call. A shorter delay means
	// more calls of the fleet to a store that is down, a longer one that its
	// return is noticed later.
	retryDelay = 400 * time.Millisecond
	// minOutage is how long calls must keep failing to count as an outage of the
	// store, during which entries can expire. A router that is not a watcher may
	// notice an outage up to maxConfirmationAge late.
	minOutage = time.Second
	// maxConfirmationAge is the age up to which a confirmation of the content
	// keeps a router that is not a watcher from calling the store.
	maxConfirmationAge = 1500 * time.Millisecond
	// nonWatcherRetryDelay is the mean delay after a failed call of a router that
	// is not a watcher.
	nonWatcherRetryDelay = 1200 * time.Millisecond
	// logLossAfter is how long calls must keep failing before the loss of the
	// store is logged.
	logLossAfter = 2 * time.Second
)

// Snapshot is all records of a kind at a revision of the store.
type Snapshot struct {
	Revision uint64
	Records  []store.Record // sorted by name
}

// Stamp describes how recent a feed's content is.
type Stamp struct {
	Revision uint64        // of the store; 0 if the feed has no content
	Digest   uint64        // of the content
	Age      time.Duration // since the content was last known to be the store's newest
	Steady   time.Duration // how long the store has answered this router without an outage
}

// peerSteady is the longest time that the store has answered any other router
// without an outage, according to recent reports.
type peerSteady struct {
	since    time.Time
	reported time.Time // when the report arrived
}

// peerSteadyMaxAge is how long another router's report on the store is valid.
const peerSteadyMaxAge = 500 * time.Millisecond

// Options configures a Feed.
type Options struct {
	Kind   string
	Source store.Collections
	// Wait is the maximum duration of one watch call. It limits how long a silent
	// watch is trusted.
	Wait time.Duration
	Log  log.Interface
	// Watcher reports whether this router watches the store continuously. The
	// others do so only while no other router confirms their content. Nil means
	// true.
	Watcher func() bool
	// Changed is called with each new content; calls do not overlap.
	Changed func(Snapshot)
}

// Feed holds the content of one kind. Its methods may be called concurrently.
type Feed struct {
	opts Options

	mu           sync.Mutex
	records      map[string]store.Record
	revision     uint64 // 0 until there is content
	recent       changeLog
	digest       uint64
	confirmed    time.Time // when the content was last known to be the store's newest
	failingSince time.Time // start of the first failed call since the last successful one; zero if none failed
	steadySince  time.Time // since when the store has answered this router without an outage
	peers        peerSteady
	lossLogged   bool               // the loss of the store has been logged
	cancelWatch  context.CancelFunc // cancels the current watch; nil before the first
	publishMu    sync.Mutex         // serializes calls of Changed; locked before mu
}

// New returns a feed without content. Run fills it and keeps it up to date.
func New(opts Options) *Feed {
	if opts.Watcher == nil {
		opts.Watcher = func() bool { return true }
	}
	return &Feed{opts: opts, records: make(map[string]store.Record), steadySince: time.Now()}
}

// replace replaces the content if the revision is newer and reports whether it
// did. At an equal revision it only renews the confirmation. age is how long ago
// the records were known to be the store's newest.
func (f *Feed) replace(records []store.Record, revision uint64, age time.Duration) bool {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
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
	f.recent = changeLog{base: revision}
	f.confirmed = time.Now().Add(-age)
	f.digest = digest(f.records)
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
	s := f.snapshot()
	f.mu.Unlock()
	f.opts.Changed(s)
	return true
}

// Adopt replaces the content by the snapshot of another router if that is newer,
// and reports whether it did. stamp is the other router's stamp.
func (f *Feed) Adopt(s Snapshot, stamp Stamp) bool {
	f.mu.Lock()
	f.recordPeerSteady(stamp)
	f.mu.Unlock()
	return f.replace(s.Records, s.Revision, stamp.Age)
}

// recordPeerSteady records how long the store has answered another router without an
// outage. f.mu must be held.
func (f *Feed) recordPeerSteady(stamp Stamp) {
	now := time.Now()
	since := now.Add(-stamp.Steady)
	if now.Sub(f.peers.reported) > peerSteadyMaxAge || !since.After(f.peers.since) {
		f.peers = peerSteady{since: since, reported: now}
	}
}

// Confirm evaluates the stamp of another router: equal content renews the
// confirmation of this router's content. It reports whether the other router
// holds newer content.
func (f *Feed) Confirm(peer Stamp) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordPeerSteady(peer)
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

// Stamp returns how recent the content is.
func (f *Feed) Stamp() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := Stamp{Revision: f.revision, Digest: f.digest, Steady: now.Sub(f.steadySince)}
	if f.revision != 0 {
		s.Age = now.Sub(f.confirmed)
	}
	if !f.failingSince.IsZero() && now.Sub(f.failingSince) > minOutage {
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

// snapshot returns the content sorted by name. f.mu must be held.
func (f *Feed) snapshot() Snapshot {
	s := Snapshot{Revision: f.revision, Records: make([]store.Record, 0, len(f.records))}
	for _, r := range f.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b store.Record) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// digest returns a hash of the content that does not depend on the revision at
// which it was read, nor on the order of the records.
func digest(records map[string]store.Record) uint64 {
	var sum uint64
	for name, r := range records {
		sum += (xxhash.Sum64String(name) ^ r.Revision) * 0x9e3779b97f4a7c15
	}
	return sum ^ uint64(len(records))
}

// Steady returns how long the store has answered this router or another one
// without an outage, whichever is longer. If only this router was cut off from
// the store, the store itself had no outage.
func (f *Feed) Steady() time.Duration {
	own := f.Stamp().Steady
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.peers.reported) > peerSteadyMaxAge {
		return own
	}
	return max(own, now.Sub(f.peers.since))
}
