package feed

import "dandelionrill.example/fleet/store"

const (
	// maxRecentChanges is the number of changes kept for other routers.
	maxRecentChanges = 512
	// maxSentBytes is the maximum total size of the changes sent to another
	// router. Larger changes are left to the store: hosts have links of low
	// bandwidth, the store does not.
	maxSentBytes = 32 << 10
)

// changeLog holds the most recent changes to the content, all of one era.
type changeLog struct {
	base    uint64 // all changes after this revision are kept
	changes []recentChange
}

// recentChange is a change and the revision of the content after it.
type recentChange struct {
	change   store.Change
	revision uint64
}

// add appends the changes that produced the content at a revision, and drops the
// oldest changes beyond the limit.
func (r *changeLog) add(changes []store.Change, at uint64) {
	for _, c := range changes {
		r.changes = append(r.changes, recentChange{c, at})
	}
	if excess := len(r.changes) - maxRecentChanges; excess > 0 {
		r.base = r.changes[excess-1].revision
		r.changes = append([]recentChange(nil), r.changes[excess:]...)
	}
}

// Changes returns the changes after a position and the position that results
// from them. ok is false if they are no longer kept, belong to another era of the
// store or are too large to send. The content at that position may already include some of them; applying all
// in order yields the same result.
func (f *Feed) Changes(after store.Position) (changes []store.Change, at store.Position, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.IsZero() || after.Era != f.position.Era || after.Revision < f.recent.base {
		return nil, store.Position{}, false
	}
	size := 0
	for _, c := range f.recent.changes {
		if c.revision > after.Revision {
			changes = append(changes, c.change)
			size += len(c.change.Record.Value)
		}
	}
	return changes, f.position, size <= maxSentBytes
}

// AdoptChanges applies the changes after position from that another router sent,
// and reports whether the content was at that position. If it was not, the
// content stays as it is. stamp is the other router's stamp.
func (f *Feed) AdoptChanges(from store.Position, changes []store.Change, at store.Position, stamp Stamp) bool {
	f.mu.Lock()
	f.observeAvailability(stamp)
	cancel := f.cancelWatch
	f.mu.Unlock()
	if !f.apply(from, changes, at, stamp.Age) {
		return false
	}
	if cancel != nil {
		cancel() // the watch started at the previous revision
	}
	return true
}
