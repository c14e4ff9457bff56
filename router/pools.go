package router

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/platform"
)

const (
	// poolRefresh bounds the age of the loads in a snapshot.
	poolRefresh = 2 * time.Second
	// poolPause is the shortest time between two snapshots: a rebuild at the
	// full size takes milliseconds.
	poolPause = 100 * time.Millisecond
)

// pools is an immutable snapshot of the candidates of every service.
type pools map[string]*place.Picker

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
		out[svc.ID] = place.NewPicker(r.placeOptions(svc), byService[svc.ID])
	}
	return &out
}

// Choosable tells whether there is an upstream to choose for any service.
func (r *Router) Choosable() bool {
	for _, picker := range *r.pools.Load() {
		if picker.Len() > 0 {
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
		if h.Role == platform.RoleAgent && !h.Leaving {
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

// chooser yields the upstreams to try for one request, each once.
type chooser struct {
	picker  *place.Picker
	allowed place.Set
	key     uint64
	prefer  string
	tried   []int
}

// newChooser returns a chooser over the current snapshot for q. prefer is the
// host of the chat's last answer, or empty.
func (r *Router) newChooser(q *request, prefer string) *chooser {
	picker, ok := (*r.pools.Load())[q.service.ID]
	if !ok {
		picker = place.NewPicker(r.placeOptions(q.service), nil)
	}
	index := q.adopted.Index
	allowed := picker.Allow(func(c place.Candidate) bool {
		_, ok := index.Allowed(q.customer.ID, q.service.ID, c.Host, c.FailureDomain)
		return ok
	})
	return &chooser{picker: picker, allowed: allowed, key: place.Key(q.chat), prefer: prefer}
}

// next returns the next upstream to try, or false when none is left.
func (c *chooser) next() (place.Candidate, bool) {
	i, ok := c.picker.Pick(place.Query{
		Key:     c.key,
		Prefer:  c.prefer,
		Tried:   c.tried,
		Allowed: c.allowed,
		Rand:    rand.Uint64(),
	})
	if !ok {
		return place.Candidate{}, false
	}
	c.tried = append(c.tried, i)
	return c.picker.Candidate(i), true
}

// forgive lets the upstream tried last be tried again.
func (c *chooser) forgive() {
	c.tried = c.tried[:max(0, len(c.tried)-1)]
}
