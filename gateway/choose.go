package gateway

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"github.com/cespare/xxhash/v2"
)

// partKey identifies a prompt part in the caches of engines, which are keyed by
// model and part identifier.
func partKey(model, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model) // cannot fail
	_, _ = h.WriteString("\x00" + id)
	return h.Sum64()
}

// sharedParts returns the keys of a prompt's shared parts, in order, and the value
// that selects the prompt's home. The last part belongs to this request alone and
// is left out. Without shared parts, both are empty.
func sharedParts(m *Meta) ([]uint64, place.Prompt) {
	if len(m.Parts) < 2 {
		return nil, place.Prompt{}
	}
	keys := make([]uint64, 0, len(m.Parts)-1)
	var combined uint64
	for _, part := range m.Parts[:len(m.Parts)-1] {
		key := partKey(m.Model, part.ID)
		keys = append(keys, key)
		combined = bits.RotateLeft64(combined, 1) ^ key
	}
	return keys, place.Prompt{Key: combined, Parts: len(keys)}
}

// target is the upstream chosen for a send.
type target struct {
	upstream      *catalog.Upstream
	load          int
	cachedParts   int               // leading shared parts of the prompt that it is known to have cached
	failureExcess float64           // its failure rate in excess of its pool's
	fetchSource   *catalog.Upstream // upstream that has more of the prompt cached; nil if none is known
	cost          *sendCost         // nil if it is not predicted
	counted       bool              // it counts at the upstream already
	permitAsked   time.Time         // when the permit for a cold upstream was asked for; zero if there is none
}

// choose returns the upstream for the next send, for which a permit may be needed. There is
// none for a prompt with a part that crashes upstreams.
func (g *Gateway) choose(req *request, a *attempts) (target, bool) {
	if _, blocked := g.blockedBy(req); blocked {
		return target{}, false
	}
	// Upstreams to which the request may not be sent count in the mean load, as they do for the
	// platform's bound.
	list, restricts := g.catalog.Load().Service(req.service), g.restricts(req)
	now := g.board.now()
	records := make([]eject.Record, 0, len(list))
	replicas := make([]place.Replica, 0, len(list))
	limitsBind := false
	for _, u := range list {
		status := g.board.Status(u.Key())
		records = append(records, g.ejectionRecord(u.Key(), status, now))
		replicas = append(replicas, place.Replica{
			Seed:     u.Hash,
			Load:     status.Load,
			Tried:    status.Held > 0 || status.badEntry.is(u) || g.excludes(req, a, u),
			Local:    u.FailureDomain == g.opts.FailureDomain,
			Draining: g.isLeaving(u),

			Suspect: !status.Unreachable && !tooSilent(status),
		})
		limitsBind = limitsBind || g.limits.denied(u.Key()) > 0
	}
	if limitsBind {
		excludeFull(list, replicas)
	}
	for i, weight := range eject.Weights(g.opts.Policy.Eject, now, records) {
		replicas[i].Weight = weight
		if len(req.parts) > 0 {
			replicas[i].Weight *= g.homeWeight(list[i])
		}
		if restricts && !g.isCandidate(req, list[i]) {
			replicas[i].Weight, replicas[i].Tried, replicas[i].Suspect = 0, true, false
		}
	}
	index, source := g.rankPreferred(req, list, replicas)
	if index < 0 && req.version.bound && admitEjected(replicas) {
		index, source = g.rank(req, list, replicas)
	}
	if index < 0 {
		return target{}, false
	}
	t := target{upstream: list[index], load: int(replicas[index].Load), cachedParts: replicas[index].CachedParts, failureExcess: replicas[index].FailureExcess}
	if source >= 0 && !g.board.Status(list[source].Key()).badEntry.is(list[source]) {
		t.fetchSource = list[source]
	}
	t.cost = g.newSendCost(req, t.upstream, &replicas[index], t.fetchSource != nil)
	return t, true
}

// excludeFull excludes the upstreams whose slots are taken. What other upstreams do not take
// because of their limits must not pile up there.
func excludeFull(list []*catalog.Upstream, replicas []place.Replica) {
	for i, u := range list {
		if u.Slots > 0 && replicas[i].Load >= float64(u.Slots) {
			replicas[i].Tried = true
		}
	}
}

// excludes reports whether a request must not be sent to an upstream: it was sent there
// before, there is no permit for it, or the request goes on at another version.
func (g *Gateway) excludes(req *request, a *attempts, u *catalog.Upstream) bool {
	key := u.Key()
	return a.tried[key] || g.permitDenied(u) > 0 || a.avoidsLimited && g.needsPermit(u) || a.avoidsCold && g.isCold(u) ||
		req.version.excludes(u)
}

// rank selects among the candidates: by load and failures for requests without
// shared prompt parts, else by the prompt's home, its cached parts and load.
// source is the replica to fetch the cached prompt parts from; -1 if none is
// needed or known.
func (g *Gateway) rank(req *request, list []*catalog.Upstream, replicas []place.Replica) (index, source int) {
	if len(req.parts) == 0 {
		g.markFailureExcess(list, replicas)
		g.markCosts(req, list, replicas)
		if own, slots, spread := g.spreads(req, list, replicas); spread {
			return place.ChooseSpread(g.policy.Load().Least, replicas, own, slots, rand.Uint64()), -1
		}
		return place.ChooseLeast(g.policy.Load().Least, replicas, rand.Uint64()), -1
	}
	g.markCached(req.parts, list, replicas)
	g.markCosts(req, list, replicas)
	prompt := req.prompt
	prompt.CostEnough = enoughShare * float64(req.route.LatencyTarget.Milliseconds())
	index = place.ChoosePrompt(g.policy.Load().Prompt, prompt, replicas).Index
	if index < 0 {
		return -1, -1
	}
	return index, place.Source(replicas, index)
}

// enoughShare is the share of a route's latency objective up to which a predicted cost is good
// enough: the rest is for the way to the caller and for what is not predicted. Within it, to
// read a prompt again or to move it costs the engines more than the caller gains.
const enoughShare = 0.5

// markCached sets how many of a prompt's leading shared parts each candidate has
// recently read. A candidate that has read a part has read all parts before it.
func (g *Gateway) markCached(parts []uint64, list []*catalog.Upstream, replicas []place.Replica) {
	for i, part := range parts {
		g.prompts.CachedAt(part, func(key catalog.Key) {
			for j, u := range list {
				if u.Key() == key {
					replicas[j].CachedParts = i + 1
				}
			}
		})
	}
}

// markFailureExcess sets by how much the failure rate of each candidate exceeds
// that of the others, from the counts of all routers.
func (g *Gateway) markFailureExcess(list []*catalog.Upstream, replicas []place.Replica) {
	answers, failures := make([]float64, len(list)), make([]float64, len(list))
	for i, u := range list {
		counts := g.board.AnswerCounts(u.Key())
		answers[i], failures[i] = float64(counts.Answers), float64(counts.Failures)
	}
	for i, excess := range eject.Excess(answers, failures) {
		replicas[i].FailureExcess = excess
	}
}
