// Package feed keeps a local copy of one kind of the store's objects up to date.
// It lists the objects, watches their changes, and adopts newer snapshots from
// other routers while the store is unreachable or a watch is silent.
package feed

import (
	"cmp"
	"context"
	"encoding/binary"
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
	// notice an outage up to MaxConfirmationAge late.
	minOutage = time.Second
	// MaxConfirmationAge is the age up to which a confirmation of the content
	// keeps a router that is not a watcher from calling the store.
	MaxConfirmationAge = 1500 * time.Millisecond
	// nonWatcherRetryDelay is the mean delay after a failed call of a router that
	// is not a watcher.
	nonWatcherRetryDelay = 1200 * time.Millisecond
	// logLossAfter is how long calls must keep failing before the loss of the
	// store is logged.
	logLossAfter = 2 * time.Second
)

// Snapshot is all records of a kind at a position of the store.
type Snapshot struct {
	Era      uint64 // 0 if the store reports no eras
	Revision uint64
	Records  []store.Record // sorted by name
}

// Position returns the position of the store at which it had this content.
func (s *Snapshot) Position() store.Position {
	return store.Position{Era: s.Era, Revision: s.Revision}
}

// Bytes returns the total size of the values.
func (s *Snapshot) Bytes() int {
	n := 0
	for _, r := range s.Records {
		n += len(r.Value)
	}
	return n
}

// Stamp describes how recent a feed's content is. Routers of earlier versions send
// neither Era, Content nor Available.
type Stamp struct {
	Era      uint64        // of the store; 0 if the store reports no eras
	Revision uint64        // of the store; 0 if the feed has no content
	Digest   uint64        // of names and revisions, for routers of earlier versions; differing contents can have the same
	Content  uint64        // of names, revisions and values
	Age      time.Duration // since the content was last known to be the store's newest
	Steady   time.Duration // how long the store has answered this router without an outage
	// Available is what the router knows of the store from its own calls and from others.
	Available Availability
}

// Position returns the position of the store at which it had the content.
func (s *Stamp) Position() store.Position {
	return store.Position{Era: s.Era, Revision: s.Revision}
}

// Options configures a Feed.
type Options struct {
	Kind   string
	Source store.Collections
	// Wait is the longest wait of one watch call. A watch without an answer is given up
	// some time after it.
	Wait time.Duration
	Log  log.Interface
	// Eras tracks the eras of the store, also for the other feeds of this router;
	// nil means a tracker of its own.
	Eras *store.Eras
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
	position     store.Position // zero until there is content
	recent       changeLog
	digest       digests
	fromPeer     bool               // another router sent the content, or the last change of it
	confirmed    time.Time          // when the content was last known to be the store's newest
	failingSince time.Time          // start of the first failed call since the last successful one; zero if none failed
	lastFailure  time.Time          // end of the last failed call
	steadySince  time.Time          // since when the store has answered this router without an outage
	available    period             // when it last answered any router without an outage
	lossLogged   bool               // the loss of the store has been logged
	cancelWatch  context.CancelFunc // cancels the current watch; nil before the first
	patience     patience
	publishMu    sync.Mutex // serializes calls of Changed; locked before mu
}

// New returns a feed without content. Run fills it and keeps it up to date.
func New(opts Options) *Feed {
	if opts.Watcher == nil {
		opts.Watcher = func() bool { return true }
	}
	if opts.Eras == nil {
		opts.Eras = &store.Eras{}
	}
	now := time.Now()
	return &Feed{opts: opts, records: make(map[string]store.Record), steadySince: now, available: period{from: now, to: now}}
}

// replace replaces the content if the position is newer and reports whether it
// did. At an equal position it only renews the confirmation. age is how long ago
// the records were known to be the store's newest.
func (f *Feed) replace(records []store.Record, position store.Position, age time.Duration) bool {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	if order := position.Compare(f.position); order <= 0 && !f.position.IsZero() {
		if order == 0 {
			f.confirm(age)
		}
		f.mu.Unlock()
		return false
	}
	f.records = make(map[string]store.Record, len(records))
	for _, r := range records {
		f.records[r.Name] = r
	}
	f.opts.Eras.ObserveRevision(position.Era, position.Revision)
	f.move(position)
	f.confirmed, f.fromPeer = time.Now().Add(-age), age > 0
	f.digest = digestsOf(f.records)
	s := f.snapshot()
	f.mu.Unlock()
	f.opts.Changed(s)
	return true
}

// move sets the position of the content other than by changes, and ends the watch
// at the previous one. f.mu must be held.
func (f *Feed) move(position store.Position) {
	f.position = position
	f.recent = changeLog{base: position.Revision}
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// confirm records that the content was the store's newest that long ago. f.mu must
// be held.
func (f *Feed) confirm(age time.Duration) {
	if at := time.Now().Add(-age); at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Adopt replaces the content by the snapshot of another router if that is newer,
// and reports whether it did. stamp is the other router's stamp.
func (f *Feed) Adopt(s Snapshot, stamp Stamp) bool {
	f.opts.Eras.Observe(s.Era, 0)
	f.mu.Lock()
	f.observeAvailability(stamp)
	f.mu.Unlock()
	return f.replace(s.Records, s.Position(), stamp.Age)
}

// Confirm evaluates the stamp of another router: equal content renews the
// confirmation of this router's content. It reports whether the other router
// holds newer content.
func (f *Feed) Confirm(peer Stamp) (behind bool) {
	f.opts.Eras.Observe(peer.Era, 0)
	f.opts.Eras.ObserveRevision(peer.Era, peer.Revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeAvailability(peer)
	if f.position.IsZero() {
		return peer.Revision != 0
	}
	if peer.Era != f.position.Era && peer.Era != 0 {
		return f.confirmAcrossEras(peer)
	}
	equal := peer.Content == f.digest.content
	if peer.Content == 0 {
		equal = peer.Digest == f.digest.revisions // a router of an earlier version
	}
	if equal {
		f.confirm(peer.Age)
		return false
	}
	return peer.Revision > f.position.Revision
}

// confirmAcrossEras evaluates the stamp of a router whose content belongs to another
// era of the store. Content that the store's return did not change is moved to the
// new era without being sent. f.mu must be held.
func (f *Feed) confirmAcrossEras(peer Stamp) (behind bool) {
	if peer.Era < f.position.Era {
		return false
	}
	if peer.Content != f.digest.content {
		return true
	}
	f.move(peer.Position())
	f.confirm(peer.Age)
	return false
}

// FromPeer reports whether another router sent the content, or the last change of it.
func (f *Feed) FromPeer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fromPeer
}

// Kind returns the kind of objects that the feed keeps.
func (f *Feed) Kind() string { return f.opts.Kind }

// Stamp returns how recent the content is.
func (f *Feed) Stamp() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := Stamp{
		Era: f.position.Era, Revision: f.position.Revision,
		Digest: f.digest.revisions, Content: f.digest.content,
		Steady: now.Sub(f.steadyFrom()), Available: f.availability(now),
	}
	if !f.position.IsZero() {
		s.Age = now.Sub(f.confirmed)
	}
	if f.inOutage() {
		s.Steady = 0
	}
	return s
}

// steadyFrom returns since when the store has answered this router without an outage
// or a return from a copy. f.mu must be held.
func (f *Feed) steadyFrom() time.Time {
	if at, returned := f.opts.Eras.Since(); returned && at.After(f.steadySince) {
		return at
	}
	return f.steadySince
}

// Snapshot returns the content.
func (f *Feed) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot()
}

// snapshot returns the content sorted by name. f.mu must be held.
func (f *Feed) snapshot() Snapshot {
	s := Snapshot{Era: f.position.Era, Revision: f.position.Revision, Records: make([]store.Record, 0, len(f.records))}
	for _, r := range f.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b store.Record) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// digests are hashes of a content that depend neither on the position at which it
// was read nor on the order of the records.
type digests struct {
	revisions uint64 // of names and revisions, as routers of earlier versions compute it
	content   uint64 // of names, revisions and values; not 0 if there are records
}

func digestsOf(records map[string]store.Record) digests {
	var d digests
	for name, r := range records {
		d.revisions += (xxhash.Sum64String(name) ^ r.Revision) * 0x9e3779b97f4a7c15
		// Each record is hashed as a whole: of the sum above, changes of two revisions
		// can cancel each other.
		h := xxhash.New()
		_, _ = h.WriteString(name) // cannot fail
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, r.Revision))
		_, _ = h.Write(r.Value)
		d.content += h.Sum64()
	}
	d.revisions ^= uint64(len(records))
	return d
}
