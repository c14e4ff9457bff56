package placement

import (
	"fmt"

	"dandelionrill.example/fleet/decide/place"
)

// router is one router's view of the engines.
type router struct {
	domain     string
	options    place.Options
	candidates []place.Candidate
	noLoads    bool
	pending    []change // of the list of engines, not yet seen
	picker     *place.Picker
}

func newRouter(i int, d Deployment, p Policy) *router {
	rt := &router{domain: fmt.Sprintf("domain-%d", i%d.Domains), noLoads: p.NoLoads}
	rt.options = place.Options{LoadMultiple: d.Multiple, FailureDomain: rt.domain, Settings: p.Settings}
	for e := range d.Engines {
		rt.candidates = append(rt.candidates, place.Candidate{
			Host: fmt.Sprintf("engine-%d", e), FailureDomain: fmt.Sprintf("domain-%d", e%d.Domains), Load: -1, Weight: 1,
		})
	}
	rt.picker = place.NewPicker(rt.options, rt.candidates)
	return rt
}

// refresh applies changes of the list that have arrived and load reports that
// lag or are lost, and takes a new snapshot.
func (rt *router) refresh(r *run, now float64) {
	left := rt.pending[:0]
	for _, c := range rt.pending {
		if c.at > now {
			left = append(left, c)
			continue
		}
		rt.candidates[c.engine].Weight = 0
		if c.up {
			rt.candidates[c.engine].Weight = 1
		}
	}
	rt.pending = left
	for i, e := range r.engines {
		lag := 1 + r.rng.IntN(maxReportLag)
		if !rt.noLoads && r.tick > lag && r.rng.Float64() >= reportLoss {
			rt.candidates[i].Load = e.history[r.tick-lag]
		}
	}
	rt.picker = place.NewPicker(rt.options, append([]place.Candidate(nil), rt.candidates...))
}

// learn takes the load that a reply carries; it is seen from the next snapshot on.
func (rt *router) learn(i int, e *engine) {
	if e.up {
		rt.candidates[i].Load = float64(e.load)
	}
}
