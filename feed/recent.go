package feed

import "dandelionrill.example/fleet/store"

const (
	// maxRecent is the number of changes kept for other routers.
	maxRecent = 512
	// maxHandedOn is the size of changes up to which they are handed on, in
	// bytes: hosts have narrow links, the store has not.
	maxHandedOn = 32 << 10
)

// recent is the changes that led to the content, as far as they are kept.
type recent struct {
	base    uint64 // changes after this revision are kept
	changes []recentChange
}

// recentChange is a change and the revision of the content with it.
type recentChange struct {
	change store.Change
	at     uint64
}

// add keeps the changes that led to the content at a revision.
func (r *recent) add(changes []store.Change, at uint64) {
	for _, c := range changes {
		r.changes = append(r.changes, recentChange{c, at})
	}
	if over := len(r.changes) - maxRecent; over > 0 {
		r.base = r.changes[over-1].at
		r.changes = append([]recentChange(nil), r.changes[over:]...)
	}
}

// Changes returns the changes after a revision and the revision that they lead
// to. ok is false if they are not known any more, or are large. Some of them may
// already be in a content at that revision; applied in their order, they lead to
// the same content.
func (f *Feed) Changes(after uint64) (changes []store.Change, at uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 || after < f.recent.base {
		return nil, 0, false
	}
	size := 0
	for _, c := range f.recent.changes {
		if c.at > after {
			changes = append(changes, c.change)
			size += len(c.change.Record.Value)
		}
	}
	return changes, f.revision, size <= maxHandedOn
}

// AdoptChanges makes the changes of another router after revision from, and
// returns whether the content was at that revision. stamp is the other router's.
func (f *Feed) AdoptChanges(from uint64, changes []store.Change, at uint64, stamp Stamp) bool {
	f.mu.Lock()
	f.noteOther(stamp)
	cancel := f.adopted
	f.mu.Unlock()
	if !f.apply(from, changes, at, stamp.Age) {
		return false
	}
	if cancel != nil {
		cancel() // a watch from the revision before
	}
	return true
}
