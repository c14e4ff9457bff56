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
	// poolRefresh bounds the age of the loads in a snapshot.
	poolRefresh = 2 * time.Second
	// poolPause is the shortest time between two snapshots: a rebuild at the
	// full size takes milliseconds.
	poolPause = 100 * time.Millisecond
)

// pools is an immutable snapshot of the candidates of every service.
type pools map[string]*pool

// keepPools rebuilds the snapshot when the board changes, and periodically for
// the loads.
func (r *Router) keepPools(ctx context.Context) {
	tick := time.NewTicker(poolRefresh)
	defer tick.Stop()
	for {
		changed := r.opts.Board.Changed()
		r.pools.Store(r.buildPools())
		if !schedule.Sleep(ctx, poolPause) {
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

// buildPools reads the board.
func (r *Router) buildPools() *pools {
	out := make(pools)
	adopted := r.opts.Board.Configuration()
	if adopted == nil {
		return &out
	}
	byService := r.candidates()
	for i := range adopted.Config.Services {
		svc := &adopted.Config.Services[i]
		out[svc.ID] = &pool{picker: place.NewPicker(r.placeOptions(svc), byService[svc.ID]), adopted: adopted}
	}
	return &out
}

// Choosable tells whether there is an upstream to choose for any service.
func (r *Router) Choosable() bool {
	for _, p := range *r.pools.Load() {
		if p.picker.Len() > 0 {
			return true
		}
	}
	return false
}

// candidates returns the agents that are not leaving, by service. Those that
// failed weigh less or nothing, within the ceiling of package eject: a doubtful
// upstream is better than none.
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

// pool is the snapshot of one service.
type pool struct {
	picker  *place.Picker
	adopted *board.Adopted
	allowed sync.Map // of place.Set by customer, under adopted
}

// allowedFor returns the candidates that the rules allow for q.
func (p *pool) allowedFor(q *request) place.Set {
	if set, ok := p.allowed.Load(q.customer.ID); ok && q.adopted == p.adopted {
		return set.(place.Set)
	}
	index := q.adopted.Index
	set := p.picker.Allow(func(c place.Candidate) bool {
		_, ok := index.Allowed(q.customer.ID, q.service.ID, c.Host, c.FailureDomain)
		return ok
	})
	if q.adopted == p.adopted {
		p.allowed.Store(q.customer.ID, set)
	}
	return set
}

// poolOf returns the current snapshot of a service.
func (r *Router) poolOf(service *config.Service) *pool {
	if p, ok := (*r.pools.Load())[service.ID]; ok {
		return p
	}
	return &pool{picker: place.NewPicker(r.placeOptions(service), nil)}
}

// chooser yields the upstreams to try for one request, each once.
type chooser struct {
	router  *Router
	request *request
	pool    *pool
	allowed place.Set
	key     uint64
	prefer  string
	tried   []int
	before  []string // addresses tried in earlier snapshots
}

// newChooser returns a chooser for q. prefer is the host of the chat's last
// answer, or empty.
func (r *Router) newChooser(q *request, prefer string) *chooser {
	c := &chooser{router: r, request: q, key: place.Key(q.chat), prefer: prefer}
	c.load(r.poolOf(q.service))
	return c
}

func (c *chooser) load(p *pool) {
	c.pool = p
	c.allowed = p.allowedFor(c.request)
	c.tried = nil
}

// reload takes a newer snapshot, if there is one. Upstreams tried before stay
// tried.
func (c *chooser) reload() {
	p := c.router.poolOf(c.request.service)
	if p == c.pool {
		return
	}
	for _, i := range c.tried {
		c.before = append(c.before, c.pool.picker.Candidate(i).Address)
	}
	c.load(p)
	for i := range p.picker.Len() {
		if slices.Contains(c.before, p.picker.Candidate(i).Address) {
			c.tried = append(c.tried, i)
		}
	}
}

// next returns the next upstream to try, or false when none is left.
func (c *chooser) next() (place.Candidate, bool) {
	c.reload()
	i, ok := c.pool.picker.Pick(place.Query{
		Key:     c.key,
		Prefer:  c.prefer,
		Tried:   c.tried,
		Allowed: c.allowed,
		Rand:    rand.Uint64(),
	})
	if !ok {
		i, ok = c.doubtful()
	}
	if !ok {
		return place.Candidate{}, false
	}
	c.tried = append(c.tried, i)
	return c.pool.picker.Candidate(i), true
}

// doubtful returns an upstream that the picker leaves out, though the rules
// allow it and it has not been tried: a doubtful one is better than none.
func (c *chooser) doubtful() (int, bool) {
	n := c.pool.picker.Len()
	if n == 0 {
		return 0, false
	}
	start := rand.IntN(n)
	for k := range n {
		i := (start + k) % n
		if c.allowed.Has(i) && !slices.Contains(c.tried, i) {
			return i, true
		}
	}
	return 0, false
}

// exhausted tells whether every upstream has been tried.
func (c *chooser) exhausted() bool {
	return len(c.tried) >= c.pool.picker.Len()
}

// forgive lets the upstream tried last be tried again.
func (c *chooser) forgive() {
	c.tried = c.tried[:max(0, len(c.tried)-1)]
}
