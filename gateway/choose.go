package gateway

import (
	"math/bits"
	"math/rand/v2"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"github.com/cespare/xxhash/v2"
)

// partKey identifies a prompt part in the caches of engines: they keep it by
// model and identifier.
func partKey(model, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model) // cannot fail
	_, _ = h.WriteString("\x00" + id)
	return h.Sum64()
}

// sharedParts returns the keys of a prompt's shared parts, in their order, and
// what places it; the last part belongs to the request itself. No keys mean that
// nothing is shared.
func sharedParts(m *Meta) ([]uint64, place.Prompt) {
	if len(m.Parts) < 2 {
		return nil, place.Prompt{}
	}
	keys := make([]uint64, 0, len(m.Parts)-1)
	var all uint64
	for _, part := range m.Parts[:len(m.Parts)-1] {
		key := partKey(m.Model, part.ID)
		keys = append(keys, key)
		all = bits.RotateLeft64(all, 1) ^ key
	}
	return keys, place.Prompt{Key: all, Parts: len(keys)}
}

// target is the upstream chosen for a send.
type target struct {
	upstream *catalog.Upstream
	load     int
	held     int               // shared parts of the prompt that it is known to have cached
	failing  float64           // its share of failed answers above that of its pool
	source   *catalog.Upstream // that has more of the prompt cached; nil if none is known
}

// choose returns the upstream for the next send.
func (g *Gateway) choose(req *request, a *attempts) (target, bool) {
	list := g.catalog.Load().Service(req.service)
	now := g.board.now()
	records := make([]eject.Record, 0, len(list))
	replicas := make([]place.Replica, 0, len(list))
	for _, u := range list {
		known := g.board.Known(u.Key())
		records = append(records, g.heldAgainst(u.Key(), known, now))
		replicas = append(replicas, place.Replica{
			Seed:   u.Hash,
			Load:   float64(known.Load),
			Tried:  a.tried[u.Key()],
			Local:  u.FailureDomain == g.opts.FailureDomain,
			Leaves: u.State != catalog.StateReady,

			Doubtful: !known.Unreachable && !tooSilent(known),
		})
	}
	for i, weight := range eject.Weights(g.opts.Policy.Eject, now, records) {
		replicas[i].Weight = weight
	}
	index, source := g.rank(req, list, replicas)
	if index < 0 {
		return target{}, false
	}
	t := target{upstream: list[index], load: int(replicas[index].Load), held: replicas[index].Held, failing: replicas[index].Failing}
	if source >= 0 {
		t.source = list[source]
	}
	return t, true
}

// rank applies the policy of the route to the candidates. source is the one to
// fetch the prompt from; -1 if none is needed or known.
func (g *Gateway) rank(req *request, list []*catalog.Upstream, replicas []place.Replica) (index, source int) {
	if len(req.parts) == 0 {
		g.markFailing(list, replicas)
		return place.ChooseLeast(g.policy.Load().Least, replicas, rand.Uint64()), -1
	}
	g.markHeld(req.parts, list, replicas)
	index = place.ChoosePrompt(g.policy.Load().Prompt, req.prompt, replicas).Index
	if index < 0 {
		return -1, -1
	}
	return index, place.Source(replicas, index)
}

// markHeld notes how much of a prompt's shared beginning each candidate has
// lately read. One that has read a part has read all parts before it.
func (g *Gateway) markHeld(parts []uint64, list []*catalog.Upstream, replicas []place.Replica) {
	for i, part := range parts {
		g.prompts.Holders(part, func(key catalog.Key) {
			for j, u := range list {
				if u.Key() == key {
					replicas[j].Held = i + 1
				}
			}
		})
	}
}

// markFailing notes which candidates fail more of their requests than the others,
// as far as all routers know.
func (g *Gateway) markFailing(list []*catalog.Upstream, replicas []place.Replica) {
	answers, failures := make([]float64, len(list)), make([]float64, len(list))
	for i, u := range list {
		tally := g.board.Tally(u.Key())
		answers[i], failures[i] = float64(tally.Answers), float64(tally.Failures)
	}
	for i, excess := range eject.Excess(answers, failures) {
		replicas[i].Failing = excess
	}
}
