package catalog

import (
	"slices"
	"time"
)

// departedMemory is how long an upstream that has departed is remembered. Copies from
// which the store returns are some seconds old.
const departedMemory = time.Minute

// Departed remembers the upstreams that were seen leaving or were removed. A store
// that returns from an older copy lists some of them as ready again; they get no work
// until their own entries say that they are ready. It is not safe for concurrent use.
type Departed struct {
	// Window is the time after the store's return from which an entry that is still
	// listed must be the upstream's own: the upstream has either written its state
	// again, or its entry has expired.
	Window time.Duration

	started  bool
	era      uint64
	departed map[Key]time.Time // when last seen leaving or missing
	previous map[Key]struct{}  // as last recorded
	restored map[Key]uint64    // revisions of the entries of departed upstreams that the copy listed as ready
}

// Apply returns the listed upstreams of an era of the store. Those that had departed
// in an earlier era and that only the copy lists as ready are returned as leaving and
// marked as restored. sinceReturn is the time since the store became available again.
func (d *Departed) Apply(era uint64, listed []Upstream, sinceReturn time.Duration) []Upstream {
	if d.started && era > d.era {
		d.restored = make(map[Key]uint64)
		for i := range listed {
			u := &listed[i]
			if _, known := d.departed[u.Key()]; known && u.State == StateReady {
				d.restored[u.Key()] = u.Revision
			}
		}
	}
	d.started, d.era = true, max(era, d.era)
	if sinceReturn >= d.Window {
		clear(d.restored)
	}
	out := slices.Clone(listed)
	for i := range out {
		u := &out[i]
		revision, restored := d.restored[u.Key()]
		switch {
		case !restored:
		case u.State == StateReady && u.Revision == revision:
			u.State, u.Restored = StateLeaving, true
		default:
			delete(d.restored, u.Key()) // the upstream has written its entry again
		}
	}
	return out
}

// Record records the upstreams in use after Apply and MissingEntries.Merge.
func (d *Departed) Record(now time.Time, upstreams []Upstream) {
	if d.departed == nil {
		d.departed = make(map[Key]time.Time)
	}
	current := make(map[Key]struct{}, len(upstreams))
	for i := range upstreams {
		u := &upstreams[i]
		current[u.Key()] = struct{}{}
		if u.State == StateLeaving {
			d.departed[u.Key()] = now
		} else {
			delete(d.departed, u.Key())
		}
	}
	for key := range d.previous {
		if _, ok := current[key]; !ok {
			d.departed[key] = now
		}
	}
	d.previous = current
	for key, at := range d.departed {
		if now.Sub(at) > departedMemory {
			delete(d.departed, key)
		}
	}
}

// Restored returns the number of departed upstreams that only the store's copy lists
// as ready.
func (d *Departed) Restored() int { return len(d.restored) }
