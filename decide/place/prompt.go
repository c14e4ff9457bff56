package place

import "math"

// PromptOptions is the policy for requests that name the parts of their prompt.
// A replica is full once its load reaches Multiple*mean + Slack, with the mean
// over the replicas that accept work, or Ceiling*mean + CeilingSlack, with the
// lower of the means over all replicas and over those that are not draining.
type PromptOptions struct {
	Multiple     float64 // multiple of the mean load from which a prompt avoids its home
	Slack        float64 // requests allowed beyond Multiple; keeps prompts at their home in a lightly loaded pool
	Ceiling      float64 // multiple of the mean load that all routers together must not exceed; 0 means none
	CeilingSlack float64 // requests allowed beyond Ceiling
}

// Replica is a candidate for a request that names the parts of its prompt.
type Replica struct {
	Seed        uint64  // hash of its identity
	Load        float64 // requests in progress from all routers, as far as known
	Weight      float64 // 1 normal, between 0 and 1 while ramping up after an ejection, 0 ejected
	CachedParts int     // leading shared parts of the prompt that it has recently processed
	Tried       bool    // must not be chosen again
	Draining    bool    // accepts no new work, but cached parts can be fetched from it
	Local       bool    // in the failure domain of the router
	// Suspect is true if the replica is reachable. It matters only while the
	// replica is ejected: some of its answers failed, but others may succeed.
	Suspect bool
	// FailureExcess is the amount by which its failure rate exceeds that of the
	// pool, 0 to 1.
	FailureExcess float64
	// Cost is the predicted time of the request there in ms, for ChoosePrompt, or the work
	// there in requests of its kind, for ChooseLeast; 0 if it is not predicted.
	Cost float64
}

// PromptChoice is the replica chosen for a request.
type PromptChoice struct {
	Index int  // -1 if no replica can be chosen
	Full  bool // all replicas are full; this one is the least loaded
}

// loadLimit returns the load from which a replica is full.
func (o PromptOptions) loadLimit(replicas []Replica) float64 {
	limit := o.Multiple*meanOf(replicas, acceptsWork) + o.Slack
	if o.Ceiling > 0 {
		limit = min(limit, o.Ceiling*minMean(replicas)+o.CeilingSlack)
	}
	return limit
}

// IsFull reports whether a replica would be full with one more request.
func (o PromptOptions) IsFull(replicas []Replica, index int) bool {
	return replicas[index].Load >= o.loadLimit(replicas)
}

// acceptsWork reports whether a replica is neither ejected nor draining.
func acceptsWork(r *Replica) bool { return r.Weight > 0 && !r.Draining }

// minMean returns the lower of the mean loads with and without draining replicas,
// because a draining replica may or may not count as part of the pool. Ejected
// replicas always count: they are idle, and the others must not exceed the ceiling
// to compensate for them.
func minMean(replicas []Replica) float64 {
	return min(
		meanOf(replicas, func(*Replica) bool { return true }),
		meanOf(replicas, func(r *Replica) bool { return !r.Draining }),
	)
}

// Prompt is the shared part of a request's prompt.
type Prompt struct {
	Key   uint64 // hash of all shared parts
	Parts int    // number of shared parts; more than 0
	// CostEnough is the predicted cost, in ms, up to which callers are served well: lower
	// costs are no reason to leave cached parts behind.
	CostEnough float64
}

// ChoosePrompt returns the replica for a request with the prompt. In order of
// preference it is the first in the prompt's hash order that has all shared parts
// cached and is not full; the first that is not full; the least loaded ejected one
// that is reachable and not full, rather than load the others beyond their limit;
// the least loaded one. If costs are predicted, they decide among those that are not full,
// in place of the cached parts: see nearCheapest.
func ChoosePrompt(opts PromptOptions, prompt Prompt, replicas []Replica) PromptChoice {
	limit := opts.loadLimit(replicas)
	cached, available, suspect, least, cheapest := -1, -1, -1, -1, -1
	var cachedScore, availableScore uint64
	for i := range replicas {
		r := &replicas[i]
		if r.Tried || r.Draining {
			continue
		}
		if r.Weight <= 0 {
			if r.Suspect && r.Load < limit && (suspect < 0 || r.Load < replicas[suspect].Load) {
				suspect = i
			}
			continue
		}
		if least < 0 || r.Load/r.Weight < replicas[least].Load/replicas[least].Weight {
			least = i
		}
		if r.Load >= limit || !acceptsKey(r, prompt.Key) {
			continue
		}
		if r.Cost > 0 && (cheapest < 0 || r.Cost < replicas[cheapest].Cost) {
			cheapest = i
		}
		score := mix(prompt.Key ^ r.Seed)
		if available < 0 || score > availableScore {
			available, availableScore = i, score
		}
		if r.CachedParts >= prompt.Parts && (cached < 0 || score > cachedScore) {
			cached, cachedScore = i, score
		}
	}
	switch {
	case cheapest >= 0:
		return PromptChoice{Index: nearCheapest(prompt, limit, replicas, cheapest)}
	case cached >= 0:
		return PromptChoice{Index: cached}
	case available >= 0:
		return PromptChoice{Index: available}
	case suspect >= 0:
		return PromptChoice{Index: suspect}
	}
	return PromptChoice{Index: least, Full: least >= 0}
}

const (
	// costMargin and costMarginMs are the difference of predicted costs that does not decide:
	// routers that know the same would all send to the same replica, and each prompt that
	// leaves its home is read again. Cached parts are kept while the cost there is acceptable,
	// which bounds that more than a wider margin.
	costMargin   = 0.1
	costMarginMs = 2
)

// nearCheapest returns the replica among those that are not full. It has the most parts cached
// of those that cost about as little as the cheapest, or little enough; of several with as many
// it costs about as little as the cheapest of them, and is the first in the prompt's hash order.
func nearCheapest(prompt Prompt, limit float64, replicas []Replica, cheapest int) int {
	bound := max(costBound(replicas[cheapest].Cost), prompt.CostEnough)
	allowed := func(r *Replica) bool {
		return !r.Tried && !r.Draining && r.Weight > 0 && r.Load < limit && r.Cost <= bound && acceptsKey(r, prompt.Key)
	}
	best := cheapest
	for i := range replicas {
		r, b := &replicas[i], &replicas[best]
		if allowed(r) && (r.CachedParts > b.CachedParts || r.CachedParts == b.CachedParts && r.Cost < b.Cost) {
			best = i
		}
	}
	parts := replicas[best].CachedParts
	bound = costBound(replicas[best].Cost)
	bestScore := mix(prompt.Key ^ replicas[best].Seed)
	for i := range replicas {
		r := &replicas[i]
		if !allowed(r) || r.CachedParts != parts {
			continue
		}
		if score := mix(prompt.Key ^ r.Seed); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// costBound returns the cost up to which a replica costs about as little as one with that cost.
func costBound(cost float64) float64 { return cost*(1+costMargin) + costMarginMs }

// acceptsKey reports whether a replica accepts the key at its weight. The keys
// accepted at a lower weight are a subset of those accepted at a higher one.
func acceptsKey(r *Replica, key uint64) bool {
	return r.Weight >= 1 || mix(key+r.Seed) < keyShare(r.Weight)
}

// Source returns the replica from which the chosen one can fetch prompt parts that
// it has not cached: the one with the most cached parts, and among several the
// least loaded; -1 if none has more than the chosen one. Tried and draining
// replicas can still be sources.
func Source(replicas []Replica, chosen int) int {
	source := -1
	for i := range replicas {
		r := &replicas[i]
		if i == chosen || r.Weight <= 0 || r.CachedParts <= replicas[chosen].CachedParts {
			continue
		}
		if source < 0 || r.CachedParts > replicas[source].CachedParts || r.CachedParts == replicas[source].CachedParts && r.Load < replicas[source].Load {
			source = i
		}
	}
	return source
}

// meanOf averages the loads of the replicas that include accepts; 0 if there are none.
func meanOf(replicas []Replica, include func(*Replica) bool) float64 {
	sum, n := 0.0, 0
	for i := range replicas {
		if include(&replicas[i]) {
			sum += replicas[i].Load
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// LeastOptions is the policy for requests that name no parts of a prompt.
type LeastOptions struct {
	RemoteCost  float64 // requests added to the load of a replica in another failure domain
	FailureCost float64 // requests added to the load of a replica, times its excess failure rate
}

// ChooseLeast returns the replica with the lowest load, or predicted cost, including the
// additions of opts. The scan starts at a random index, so that routers that know the same
// loads do not all choose the same of several equally loaded replicas. It returns
// -1 if all replicas are tried, draining or ejected.
func ChooseLeast(opts LeastOptions, replicas []Replica, random uint64) int {
	n := len(replicas)
	if n == 0 {
		return -1
	}
	best, bestCost := -1, math.Inf(1)
	i := int(mix(random) >> 32 * uint64(n) >> 32)
	for range n {
		r := &replicas[i]
		if !r.Tried && !r.Draining && r.Weight > 0 {
			requests := r.Load + 1
			if r.Cost > 0 {
				requests = r.Cost
			}
			cost := requests/r.Weight + opts.FailureCost*r.FailureExcess
			if !r.Local {
				cost += opts.RemoteCost
			}
			if cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}
