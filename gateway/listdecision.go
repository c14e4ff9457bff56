package gateway

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// listLookup is what a lookup has found before it decides by cache lists.
type listLookup struct {
	query     StreamQuery
	began     time.Time
	answer    StreamAnswer // of other routers
	own       CacheAnswer
	confirmed <-chan bool // the list of upstreams is the newest one
}

// decideByLists sets the version by the upstreams that list the last part of the prompt, and by the
// records of equal requests. Lists that nobody has read are read here first, as far as ctx allows.
func (g *Gateway) decideByLists(ctx context.Context, l *lookup, s *listLookup) {
	q, answer := &s.query, &s.answer
	caches := answer.Holders
	caches.Add(s.own)
	current, late := false, false
	select {
	case current = <-s.confirmed:
	case <-time.After(time.Until(s.began.Add(confirmWait))):
		late = true
	}
	current = current || g.hearsOthers(l)
	missing, _ := g.unread(q.Services, caches.Read)
	if holder := caches.versionsOf(q.Part); len(holder) == 1 {
		missing = slices.DeleteFunc(missing, func(u *catalog.Upstream) bool { return u.VersionSum == holder[0] })
	}
	if len(missing) > 0 {
		g.readLists(ctx, missing, s.began, nil)
		caches.Add(g.cacheAnswer(s.began, q.Services, []uint64{q.Part}))
	}
	if late && !current {
		current = <-s.confirmed
	}
	missing, l.listed = g.unread(q.Services, caches.Read)
	l.unread = len(missing)
	listing, recorded := caches.versionsOf(q.Part), g.addEqual(answer, q.Fingerprint)
	l.decide(listing, recorded)
	// After the end of all routers what the store holds has to do. Before, a record of an equal
	// request may be that of an earlier one, as the part may be listed from an earlier turn of its
	// session, while the stream began at an upstream whose list is not known.
	stored := len(recorded) > 0 && !answer.Older && g.opts.StreamsStored()
	switch {
	case (l.result == resumedCached || l.result == resumedSameRequest) && !stored:
		l.others, l.knowsPast = unreadOthers(q.Services, l.version, missing, &caches), caches.KnowsPast
		if l.others > 0 || !l.knowsPast || !current {
			l.result = ""
		}
	case l.result == "" && l.listed > 0 && l.unread == 0:
		l.result = resumedNotHeld
	}
	l.explain(listing, recorded, current)
}

// unreadOthers returns the number of upstreams of the services, of other versions, whose cache
// lists are not known: those missing, and those that have left before anybody read them. Those of
// which the router that tells of them knows from others only count if callers have sessions:
// without, nothing but the stream itself can have left its part in a cache.
func unreadOthers(services []string, version uint32, missing []*catalog.Upstream, caches *CacheAnswer) int {
	read := slices.Sorted(slices.Values(caches.Read))
	unread := make(map[uint32]bool)
	for _, u := range missing {
		if u.VersionSum != version {
			unread[u.Key().Sum()] = true
		}
	}
	for _, p := range caches.Left {
		counts := !p.Restored || caches.Sessions
		if counts && p.Version != version && slices.Contains(services, p.Service) && !containsSorted(read, p.Key) {
			unread[p.Key] = true
		}
	}
	return len(unread)
}
