package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/store"
)

const (
	// snapshotRefreshInterval bounds the age of the loads in a snapshot.
	snapshotRefreshInterval = 2 * time.Second
	// minSnapshotInterval is the minimum time between two snapshots. Building
	// one for the largest fleet takes milliseconds.
	minSnapshotInterval = 100 * time.Millisecond
)

// snapshots is an immutable set of snapshots of the candidates, by service.
type snapshots map[string]*serviceSnapshot

// refreshSnapshots rebuilds the snapshots when the board changes, and
// periodically to update the loads, until ctx ends.
func (r *Router) refreshSnapshots(ctx context.Context) {
	tick := time.NewTicker(snapshotRefreshInterval)
	defer tick.Stop()
	for {
		changed := r.opts.Board.Changed()
		r.snapshots.Store(r.buildSnapshots())
		if !schedule.Sleep(ctx, minSnapshotInterval) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// buildSnapshots builds the snapshots from the board.
func (r *Router) buildSnapshots() *snapshots {
	out := make(snapshots)
	adopted := r.opts.Board.Configuration()
	if adopted == nil {
		return &out
	}
	byService := r.candidates()
	for i := range adopted.Config.Services {
		svc := &adopted.Config.Services[i]
		out[svc.ID] = &serviceSnapshot{picker: place.NewPicker(r.placeOptions(svc), byService[svc.ID]), adopted: adopted}
	}
	return &out
}

// HasUpstream reports whether any service has an upstream to choose.
func (r *Router) HasUpstream() bool {
	for _, s := range *r.snapshots.Load() {
		if s.picker.Len() > 0 {
			return true
		}
	}
	return false
}

// candidates returns the agents that are not leaving, by service. Agents that
// failed get a reduced or zero weight. Package eject limits how many get zero,
// because a suspect upstream is better than none.
func (r *Router) candidates() map[string][]place.Candidate {
	hosts := make(map[string][]board.HostView)
	for _, h := range r.opts.Board.Hosts() {
		if h.Role == store.RoleAgent && !h.Leaving {
			hosts[h.Service] = append(hosts[h.Service], h)
		}
	}
	now := r.opts.Board.Now()
	out := make(map[string][]place.Candidate, len(hosts))
	for service, views := range hosts {
		weights := r.ejections.weights(views, now)
		for i, h := range views {
			out[service] = append(out[service], candidate(h, weights[i]))
		}
	}
	return out
}

func candidate(h board.HostView, weight float64) place.Candidate {
	c := place.Candidate{Host: h.Name, Address: h.Address, FailureDomain: h.FailureDomain, Load: -1, Weight: weight}
	if h.Load != nil {
		c.Load = float64(h.Load.InFlight + h.Load.Queued)
	}
	return c
}

func (r *Router) placeOptions(svc *config.Service) place.Options {
	return place.Options{
		LoadMultiple:  svc.LoadMultiple,
		FailureDomain: r.opts.FailureDomain,
		Settings:      place.DefaultSettings(),
	}
}

// serviceSnapshot is the snapshot of one service's candidates.
type serviceSnapshot struct {
	picker  *place.Picker
	adopted *board.Adopted
	allowed sync.Map // place.Set by customer ID, computed from adopted
}

// allowedFor returns the candidates that the rules allow for q.
func (s *serviceSnapshot) allowedFor(q *request) place.Set {
	if set, ok := s.allowed.Load(q.customer.ID); ok && q.adopted == s.adopted {
		return set.(place.Set)
	}
	index := q.adopted.Index
	set := s.picker.Allow(func(c place.Candidate) bool {
		_, ok := index.Allowed(q.customer.ID, q.service.ID, c.Host, c.FailureDomain)
		return ok
	})
	if q.adopted == s.adopted {
		s.allowed.Store(q.customer.ID, set)
	}
	return set
}

// snapshotOf returns the current snapshot of a service.
func (r *Router) snapshotOf(service *config.Service) *serviceSnapshot {
	if s, ok := (*r.snapshots.Load())[service.ID]; ok {
		return s
	}
	return &serviceSnapshot{picker: place.NewPicker(r.placeOptions(service), nil)}
}

// upstreamIterator yields the upstreams to try for one request, each at most
// once unless retryLast is called.
type upstreamIterator struct {
	router         *Router
	request        *request
	snapshot       *serviceSnapshot
	allowed        place.Set
	key            uint64
	preferredHost  string
	tried          []int
	triedAddresses []string // tried in earlier snapshots
}

// newUpstreamIterator returns an iterator for q. preferredHost is the host
// that sent the chat's last answer, or empty.
func (r *Router) newUpstreamIterator(q *request, preferredHost string) *upstreamIterator {
	it := &upstreamIterator{router: r, request: q, key: place.Key(q.chat), preferredHost: preferredHost}
	it.reset(r.snapshotOf(q.service))
	return it
}

func (it *upstreamIterator) reset(s *serviceSnapshot) {
	it.snapshot = s
	it.allowed = s.allowedFor(it.request)
	it.tried = nil
}

// refresh switches to a newer snapshot if there is one. Upstreams that were
// tried remain marked as tried.
func (it *upstreamIterator) refresh() {
	s := it.router.snapshotOf(it.request.service)
	if s == it.snapshot {
		return
	}
	for _, i := range it.tried {
		it.triedAddresses = append(it.triedAddresses, it.snapshot.picker.Candidate(i).Address)
	}
	it.reset(s)
	for i := range s.picker.Len() {
		if slices.Contains(it.triedAddresses, s.picker.Candidate(i).Address) {
			it.tried = append(it.tried, i)
		}
	}
}

// next returns the next upstream to try, or false when none is left.
func (it *upstreamIterator) next() (place.Candidate, bool) {
	it.refresh()
	i, ok := it.snapshot.picker.Pick(place.Query{
		Key:           it.key,
		PreferredHost: it.preferredHost,
		Tried:         it.tried,
		Allowed:       it.allowed,
		Rand:          rand.Uint64(),
	})
	if !ok {
		i, ok = it.pickSuspect()
	}
	if !ok {
		return place.Candidate{}, false
	}
	it.tried = append(it.tried, i)
	return it.snapshot.picker.Candidate(i), true
}

// pickSuspect returns an upstream that the picker excludes, although the rules
// allow it and it has not been tried. A suspect upstream is better than none.
func (it *upstreamIterator) pickSuspect() (int, bool) {
	n := it.snapshot.picker.Len()
	if n == 0 {
		return 0, false
	}
	start := rand.IntN(n)
	for k := range n {
		i := (start + k) % n
		if it.allowed.Has(i) && !slices.Contains(it.tried, i) {
			return i, true
		}
	}
	return 0, false
}

// exhausted reports whether every upstream has been tried.
func (it *upstreamIterator) exhausted() bool {
	return len(it.tried) >= it.snapshot.picker.Len()
}

// retryLast allows the most recently tried upstream to be tried again.
func (it *upstreamIterator) retryLast() {
	it.tried = it.tried[:max(0, len(it.tried)-1)]
}
