package gateway

import (
	"math/rand/v2"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"github.com/cespare/xxhash/v2"
)

// sharedPrefixes returns the keys of the prompt up to each of its shared parts;
// the last part belongs to the request itself. None means that nothing is
// shared.
func sharedPrefixes(m *Meta) []uint64 {
	if len(m.Parts) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(m.Parts)-1)
	h := xxhash.New()
	_, _ = h.WriteString(m.Model) // cannot fail
	for _, part := range m.Parts[:len(m.Parts)-1] {
		_, _ = h.WriteString("\x00" + part.ID)
		keys = append(keys, h.Sum64())
	}
	return keys
}

// target is the upstream chosen for a send.
type target struct {
	upstream *catalog.Upstream
	load     int
	source   *catalog.Upstream // that has the prompt cached; nil if none is needed
}

// choose returns the upstream for the next send.
func (g *Gateway) choose(req *request, a *attempts) (target, bool) {
	list := g.catalog.Load().Service(req.service)
	now := g.board.now()
	records := make([]eject.Record, 0, len(list))
	replicas := make([]place.Replica, 0, len(list))
	for _, u := range list {
		known := g.board.Known(u.Key())
		records = append(records, g.held(u.Key(), known, now))
		replicas = append(replicas, place.Replica{
			Seed:   u.Hash,
			Load:   float64(known.Load),
			Tried:  a.tried[u.Key()],
			Local:  u.FailureDomain == g.opts.FailureDomain,
			Leaves: u.State != catalog.StateReady,
		})
	}
	for i, weight := range eject.Weights(g.opts.Policy.Eject, now, records) {
		replicas[i].Weight = weight
	}
	index, source := g.rank(req, list, replicas)
	if index < 0 {
		return target{}, false
	}
	t := target{upstream: list[index], load: int(replicas[index].Load)}
	if source >= 0 {
		t.source = list[source]
	}
	return t, true
}

// rank applies the policy of the route to the candidates. source is the one to
// fetch the prompt from; -1 if none is needed or known.
func (g *Gateway) rank(req *request, list []*catalog.Upstream, replicas []place.Replica) (index, source int) {
	n := len(req.prefixes)
	if n == 0 {
		return place.ChooseLeast(replicas, g.policy.Load().RemoteLoad, rand.Uint64()), -1
	}
	g.markHolders(req.prefixes[n-1], list, replicas)
	index = place.ChoosePrompt(g.policy.Load().Prompt, req.prefixes[n-1], replicas).Index
	if index < 0 {
		return -1, -1
	}
	for i := n - 1; i >= 0; i-- {
		g.markHolders(req.prefixes[i], list, replicas)
		if replicas[index].Holds {
			return index, -1
		}
		if source = place.Source(replicas, index); source >= 0 {
			return index, source
		}
	}
	return index, -1
}

// markHolders marks the candidates that have lately read the prompt up to a
// shared part.
func (g *Gateway) markHolders(prefix uint64, list []*catalog.Upstream, replicas []place.Replica) {
	for i := range replicas {
		replicas[i].Holds = false
	}
	g.prompts.Holders(prefix, func(key catalog.Key) {
		for i, u := range list {
			if u.ID == key.ID && u.Born == key.Born {
				replicas[i].Holds = true
			}
		}
	})
}
