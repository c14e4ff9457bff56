package catalog

import (
	"cmp"
	"slices"
	"time"
)

const (
	// departedMemory is how long an upstream that has departed is remembered. Copies from
	// which the store returns are some seconds old.
	departedMemory = time.Minute
	// MaxReportedRestored is the number of entries in one report, the newest first.
	MaxReportedRestored = 256
	// maxHeard limits the entries that are kept from reports.
	maxHeard = 4 * MaxReportedRestored
)

// RestoredEntry is an entry of a departed upstream that only the store's copy lists as
// ready, in the report of a router.
type RestoredEntry struct {
	Upstream uint32 // short hash of its key
	Revision uint64 // of the entry
}

// Listing is a list of upstreams as read from the store.
type Listing struct {
	Era      uint64
	Revision uint64
	// First is the lowest revision at which the store was seen in the era; 0 if none is
	// known. Entries with a greater revision do not come from a copy.
	First       uint64
	Upstreams   []Upstream
	SinceReturn time.Duration // since the store became available again
	Now         time.Time
}

// Departed remembers the upstreams that were seen leaving or were removed. A store
// that returns from an older copy lists some of them as ready again; they get no work
// until their own entries say that they are ready. Routers report these entries to each
// other, since one that starts after the return has seen no upstream depart. It is not
// safe for concurrent use.
type Departed struct {
	// Window is the time after the store's return from which an entry that is still
	// listed must be the upstream's own: the upstream has either written its state
	// again, or its entry has expired.
	Window time.Duration

	started  bool
	era      uint64
	ended    uint64 // era whose Window has passed: reports are ignored, or they would never end
	departed map[Key]departure
	previous map[Key]struct{} // as last recorded
	restored map[Key]restored // entries of departed upstreams that the copy lists as ready

	heardEra   uint64
	heard      map[RestoredEntry]struct{} // reported by others
	heardUntil time.Time
}

// departure is that an upstream was seen leaving or missing.
type departure struct {
	at time.Time // for the last time
	// revision is that of the entry that says so, or of the list without the entry. What
	// the upstream wrote afterwards has a greater one, also in the copy.
	revision uint64
}

// restored is an entry that only the copy lists as ready.
type restored struct {
	revision uint64
	heard    bool // known from a report only
}

// Apply returns the listed upstreams. Those that had departed in an earlier era and that
// only the copy lists as ready are returned as leaving and marked as restored.
func (d *Departed) Apply(l Listing) []Upstream {
	if d.started && l.Era > d.era || d.restored == nil {
		d.restored = make(map[Key]restored)
	}
	if d.started && l.Era > d.era {
		for i := range l.Upstreams {
			u := &l.Upstreams[i]
			if seen, known := d.departed[u.Key()]; known && u.State == StateReady && u.Revision <= seen.revision {
				d.restored[u.Key()] = restored{revision: u.Revision}
			}
		}
	}
	d.started, d.era = true, max(l.Era, d.era)
	d.expire(l)
	out := slices.Clone(l.Upstreams)
	for i := range out {
		u := &out[i]
		r, known := d.restored[u.Key()]
		if _, heard := d.heard[RestoredEntry{u.Key().Sum(), u.Revision}]; heard && !known && d.heardEra == l.Era && u.State == StateReady {
			r, known = restored{revision: u.Revision, heard: true}, true
			d.restored[u.Key()] = r
		}
		switch {
		case !known:
		case u.State == StateReady && u.Revision == r.revision && !writtenInEra(r.revision, l.First):
			u.State, u.Restored = StateLeaving, true
		default:
			delete(d.restored, u.Key()) // the upstream has written its entry again
		}
	}
	return out
}

// expire forgets the entries whose time is over.
func (d *Departed) expire(l Listing) {
	switch {
	case l.SinceReturn >= d.Window:
		clear(d.restored)
		clear(d.heard)
		d.ended = l.Era
	case len(d.heard) > 0 && (!l.Now.Before(d.heardUntil) || d.heardEra < d.era):
		clear(d.heard)
		for key, r := range d.restored {
			if r.heard {
				delete(d.restored, key)
			}
		}
	}
}

// writtenInEra reports whether an entry was written after the return that began the era.
func writtenInEra(revision, first uint64) bool { return first != 0 && revision > first }

// Outdated reports whether Apply would forget entries of the listing. Only the era and
// the times of the listing matter.
func (d *Departed) Outdated(l Listing) bool {
	if len(d.restored) == 0 {
		return false
	}
	if l.SinceReturn >= d.Window || len(d.heard) > 0 && !l.Now.Before(d.heardUntil) {
		return true
	}
	for _, r := range d.restored {
		if writtenInEra(r.revision, l.First) {
			return true
		}
	}
	return false
}

// Merge takes the entries that another router reports for an era, which began sinceReturn
// ago, and reports whether any is new. Reports of an earlier era are ignored, and those of
// a later one until its list has been read.
func (d *Departed) Merge(era uint64, reported []RestoredEntry, sinceReturn time.Duration, now time.Time) (news bool) {
	if era == 0 || era == d.ended || era < d.heardEra || d.started && era != d.era || sinceReturn >= departedMemory {
		return false
	}
	if d.heard == nil || era > d.heardEra {
		d.heardEra, d.heard = era, make(map[RestoredEntry]struct{})
		d.heardUntil = now.Add(departedMemory - sinceReturn)
	}
	for _, e := range reported {
		if _, known := d.heard[e]; !known && len(d.heard) < maxHeard {
			d.heard[e] = struct{}{}
			news = true
		}
	}
	return news
}

// Reports returns the entries to report to other routers, and their era.
func (d *Departed) Reports() (era uint64, entries []RestoredEntry) {
	if len(d.restored) == 0 {
		return 0, nil
	}
	for key, r := range d.restored {
		entries = append(entries, RestoredEntry{Upstream: key.Sum(), Revision: r.revision})
	}
	slices.SortFunc(entries, func(a, b RestoredEntry) int { return cmp.Compare(b.Revision, a.Revision) })
	return d.era, entries[:min(len(entries), MaxReportedRestored)]
}

// Record records the upstreams in use after Apply and MissingEntries.Merge. revision is
// that of the list.
func (d *Departed) Record(now time.Time, revision uint64, upstreams []Upstream) {
	if d.departed == nil {
		d.departed = make(map[Key]departure)
	}
	current := make(map[Key]struct{}, len(upstreams))
	for i := range upstreams {
		u := &upstreams[i]
		current[u.Key()] = struct{}{}
		seen, known := d.departed[u.Key()]
		switch {
		case u.Restored && known:
			d.departed[u.Key()] = departure{at: now, revision: seen.revision}
		case u.State == StateLeaving:
			d.departed[u.Key()] = departure{at: now, revision: max(u.Revision, seen.revision)}
		default:
			delete(d.departed, u.Key())
		}
	}
	for key := range d.previous {
		if _, ok := current[key]; !ok {
			d.departed[key] = departure{at: now, revision: max(revision, d.departed[key].revision)}
		}
	}
	d.previous = current
	for key, seen := range d.departed {
		if now.Sub(seen.at) > departedMemory {
			delete(d.departed, key)
		}
	}
}

// Restored returns the number of departed upstreams that only the store's copy lists
// as ready.
func (d *Departed) Restored() int { return len(d.restored) }
