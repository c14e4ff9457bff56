package gateway

import (
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

const (
	// maxIndexedParts is the number of entries of all cache lists together, some megabytes.
	maxIndexedParts = 65536
	// cacheListInterval is the least time between the starts of two reads of one list. It limits the
	// reads of each engine for lookups, of which other routers wait for the answers.
	cacheListInterval = 100 * time.Millisecond
)

// CacheIndex maps prompt parts to the versions of the upstreams that list them as cached, by
// the lists that this router has read. All methods may be called concurrently.
type CacheIndex struct {
	mu      sync.Mutex
	lists   map[catalog.Key]*indexedList
	holders map[uint64][]*indexedList // by part
	entries int                       // of all lists
}

// indexedList is the newest list of one upstream.
type indexedList struct {
	service string
	version uint32 // short hash
	parts   []uint64
	whole   bool          // no entry is missing
	readAt  time.Time     // start of the read that brought it; zero if none did
	triedAt time.Time     // start of the newest read
	reading chan struct{} // closed at the end of the read in progress; nil if there is none
	next    chan struct{} // closed at the end of the read that follows; nil if none was asked for
	placed  bool          // the parts that the next read brings are placements
}

// NewCacheIndex returns a CacheIndex without any lists.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{lists: make(map[catalog.Key]*indexedList), holders: make(map[uint64][]*indexedList)}
}

// Request asks for a read of an upstream's list that begins at since or later. done is closed at its
// end; nil if there was such a read already. If begins is true, the caller has to begin the read by
// Begin. placed states that the parts which it brings are placements.
func (x *CacheIndex) Request(u *catalog.Upstream, since time.Time, placed bool) (begins bool, done <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.lists[u.Key()]
	if l == nil {
		l = &indexedList{service: u.Service, version: u.VersionSum}
		x.lists[u.Key()] = l
	}
	switch covered := !l.triedAt.IsZero() && !l.triedAt.Before(since); {
	case covered && l.reading == nil:
		return false, nil
	case covered:
		return false, l.reading
	}
	l.placed = l.placed || placed
	if l.next == nil {
		l.next, begins = make(chan struct{}), true
	}
	return begins, l.next
}

// Begin begins the read that Request asked for, and reports whether it brings placements. It waits for
// the end of the read in progress, and until cacheListInterval has passed since its start. Each read
// that is begun has to be ended by End.
func (x *CacheIndex) Begin(u *catalog.Upstream) (placed bool) {
	for {
		x.mu.Lock()
		l := x.lists[u.Key()]
		reading, wait := l.reading, time.Until(l.triedAt.Add(cacheListInterval))
		if reading == nil && wait <= 0 {
			placed, l.placed = l.placed, false
			l.triedAt, l.reading, l.next = time.Now(), l.next, nil
			x.mu.Unlock()
			return placed
		}
		x.mu.Unlock()
		if reading != nil {
			<-reading
		} else {
			time.Sleep(wait)
		}
	}
}

// End ends the read of an upstream's list. If it brought parts, they replace the earlier ones.
// whole states that it brought the whole list.
func (x *CacheIndex) End(u *catalog.Upstream, parts []uint64, whole bool) {
	slices.Sort(parts)
	parts = slices.Clip(slices.Compact(parts))
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.lists[u.Key()]
	if l == nil {
		return // does not happen: lists in progress are not removed
	}
	close(l.reading)
	l.reading = nil
	if !whole && len(parts) == 0 {
		return
	}
	x.clear(l)
	if !x.makeRoom(len(parts)) {
		return
	}
	l.parts, l.whole, l.readAt = parts, whole, l.triedAt
	x.entries += len(parts)
	for _, part := range parts {
		x.holders[part] = append(x.holders[part], l)
	}
}

// clear removes the parts of a list. x.mu must be held.
func (x *CacheIndex) clear(l *indexedList) {
	for _, part := range l.parts {
		rest := slices.DeleteFunc(x.holders[part], func(other *indexedList) bool { return other == l })
		if len(rest) == 0 {
			delete(x.holders, part)
		} else {
			x.holders[part] = rest
		}
	}
	x.entries -= len(l.parts)
	l.parts, l.whole, l.readAt = nil, false, time.Time{}
}

// makeRoom clears the lists that were read first until there is room for n more entries, and
// reports whether there is. x.mu must be held.
func (x *CacheIndex) makeRoom(n int) bool {
	for x.entries > 0 && x.entries+n > maxIndexedParts {
		var oldest *indexedList
		for _, l := range x.lists {
			if len(l.parts) > 0 && (oldest == nil || l.readAt.Before(oldest.readAt)) {
				oldest = l
			}
		}
		x.clear(oldest)
	}
	return x.entries+n <= maxIndexedParts
}

// Holders returns the versions of the upstreams of the services that list a part, each once.
// Lists older than StreamMaxAge do not count; an upstream that has left still does.
func (x *CacheIndex) Holders(part uint64, services []string) []uint32 {
	oldest := time.Now().Add(-StreamMaxAge)
	x.mu.Lock()
	defer x.mu.Unlock()
	var versions []uint32
	for _, l := range x.holders[part] {
		if l.readAt.After(oldest) && slices.Contains(services, l.service) && !slices.Contains(versions, l.version) {
			versions = append(versions, l.version)
		}
	}
	return versions
}

// Read reports whether the whole list of an upstream was read from since on.
func (x *CacheIndex) Read(key catalog.Key, since time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.lists[key]
	return l != nil && l.whole && !l.readAt.Before(since)
}

// ReadOfUnlisted returns the short hashes of the keys of upstreams of the services for which
// listed returns false, and whose whole lists were read from since on.
func (x *CacheIndex) ReadOfUnlisted(services []string, listed func(catalog.Key) bool, since time.Time) []uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	var keys []uint32
	for key, l := range x.lists {
		if l.whole && !l.readAt.Before(since) && slices.Contains(services, l.service) && !listed(key) {
			keys = append(keys, key.Sum())
		}
	}
	return keys
}

// RemoveUnlisted removes the lists older than StreamMaxAge of upstreams for which listed
// returns false. Until then they tell that a part was not only at the upstreams that are left.
func (x *CacheIndex) RemoveUnlisted(listed func(catalog.Key) bool) {
	oldest := time.Now().Add(-StreamMaxAge)
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, l := range x.lists {
		if l.reading == nil && l.next == nil && !l.readAt.After(oldest) && !listed(key) {
			x.clear(l)
			delete(x.lists, key)
		}
	}
}
