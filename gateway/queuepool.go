package gateway

import (
	"cmp"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/window"
)

// smallQueueShare is the queue at each upstream for which a router still sends, as a share of
// the upstream's slots, if the policy names none: it keeps the slots busy although loads are
// known late.
const smallQueueShare = 0.5

// poolState is the pool of upstreams of a service.
type poolState struct {
	view        window.View
	available   bool          // there is an upstream to send to
	availableAt time.Duration // when there may be one, if there is none
	// unknown is true if nothing is known that a request could wait for: there is no ready
	// upstream, or they name no slots.
	unknown bool
}

// pool returns the pool of upstreams that take requests. s.mu must be held.
func (s *serviceQueue) pool(now time.Duration) poolState {
	g := s.gateway
	list := g.catalog.Load().Service(s.service)
	out := poolState{unknown: true, view: window.View{Routers: int(g.routerCount.Load())}}
	boardNow := g.board.now()
	records := make([]eject.Record, 0, len(list))
	statuses := make([]UpstreamStatus, 0, len(list))
	for _, u := range list {
		status := g.board.Status(u.Key())
		statuses = append(statuses, status)
		records = append(records, g.ejectionRecord(u.Key(), status, boardNow))
	}
	weights := eject.Weights(g.opts.Policy.Eject, boardNow, records)
	for i, u := range list {
		if u.Slots <= 0 || g.isLeaving(u) {
			continue
		}
		out.unknown = false
		until := max(s.full[u.Key()].until, now+statuses[i].Held)
		if until > now {
			if out.availableAt == 0 || until < out.availableAt {
				out.availableAt = until
			}
			continue
		}
		if weights[i] <= 0 {
			continue
		}
		out.available = true
		slots := weights[i] * float64(u.Slots)
		out.view.Slots += slots
		out.view.Capacity += slots * (1 + cmp.Or(g.policy.Load().QueueShare, smallQueueShare))
		out.view.PeerLoad += statuses[i].Load - float64(statuses[i].OwnLoad)
	}
	if out.available {
		out.availableAt = 0
	}
	return out
}

// spreads returns the requests in progress from this router and the slots of each candidate,
// and whether a request is to be spread over them rather than sent to the one with the lowest
// load: half of the slots are in use, and the loads of other routers are known too late.
func (g *Gateway) spreads(req *request, list []*catalog.Upstream, replicas []place.Replica) (own, slots []int, spread bool) {
	if req.turn == nil {
		return nil, nil, false
	}
	load, all := 0.0, 0.0
	for i, u := range list {
		own = append(own, g.board.Status(u.Key()).OwnLoad)
		slots = append(slots, max(1, u.Slots))
		if !replicas[i].Draining && replicas[i].Weight > 0 {
			load += replicas[i].Load
			all += float64(u.Slots)
		}
	}
	return own, slots, load >= all/2
}
