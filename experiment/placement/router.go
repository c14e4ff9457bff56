package placement

import (
	"fmt"

	"dandelionrill.example/fleet/decide/place"
)

// router is a router with its delayed view of the engines.
type router struct {
	domain         string
	options        place.Options
	candidates     []place.Candidate
	noLoadReports  bool
	pendingChanges []stateChange // changes of the engine list that the router has not seen yet
	picker         *place.Picker
}

func newRouter(i int, d Deployment, p Policy) *router {
	rt := &router{domain: fmt.Sprintf("domain-%d", i%d.Domains), noLoadReports: p.NoLoadReports}
	rt.options = place.Options{LoadMultiple: d.LoadMultiple, FailureDomain: rt.domain, Settings: p.Settings}
	for e := range d.Engines {
		rt.candidates = append(rt.candidates, place.Candidate{
			Host: fmt.Sprintf("engine-%d", e), FailureDomain: fmt.Sprintf("domain-%d", e%d.Domains), Load: -1, Weight: 1,
		})
	}
	rt.picker = place.NewPicker(rt.options, rt.candidates)
	return rt
}

// refresh applies the engine list changes that are due and the load reports, which are
// delayed or lost, and builds a picker from the new snapshot.
func (rt *router) refresh(r *run, now float64) {
	remaining := rt.pendingChanges[:0]
	for _, c := range rt.pendingChanges {
		if c.at > now {
			remaining = append(remaining, c)
			continue
		}
		rt.candidates[c.engine].Weight = 0
		if c.up {
			rt.candidates[c.engine].Weight = 1
		}
	}
	rt.pendingChanges = remaining
	for i, e := range r.engines {
		lag := 1 + r.rng.IntN(maxReportLagSeconds)
		if !rt.noLoadReports && r.tick > lag && r.rng.Float64() >= reportLossShare {
			rt.candidates[i].Load = e.history[r.tick-lag]
		}
	}
	rt.picker = place.NewPicker(rt.options, append([]place.Candidate(nil), rt.candidates...))
}

// recordLoad stores the load that a reply carries; it takes effect with the next
// snapshot.
func (rt *router) recordLoad(i int, e *engine) {
	if e.up {
		rt.candidates[i].Load = float64(e.load)
	}
}
