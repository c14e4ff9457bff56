package place

import "math"

// PromptOptions is the policy for requests that name the parts of their prompt.
// A replica is full for a request once its load reaches Multiple*mean + Slack, of
// the replicas that take work, or Ceiling*mean + CeilingSlack, of all replicas.
type PromptOptions struct {
	Multiple     float64 // of the mean load, from which a prompt is led away from its home
	Slack        float64 // requests beyond Multiple, which keeps prompts home in a quiet pool
	Ceiling      float64 // bound that the routers together must hold, of the mean; 0 means none
	CeilingSlack float64 // requests beyond Ceiling
}

// Replica is a candidate for a request that names the parts of its prompt.
type Replica struct {
	Seed   uint64  // hash of its identity
	Load   float64 // requests in progress, of all routers as far as known
	Weight float64 // 1 normal, between 0 and 1 while it returns gradually, 0 ejected
	Held   int     // shared parts at the prompt's beginning that it has lately read
	Tried  bool    // not to be chosen again
	Leaves bool    // takes no new work, but can be fetched from
	Local  bool    // in the failure domain of the router
	// Doubtful tells that an ejected replica can be reached: answers of it failed,
	// but others may come.
	Doubtful bool
	// Failing is by how much its share of failed answers is above that of the
	// pool, 0 to 1.
	Failing float64
}

// PromptChoice is the replica for a request.
type PromptChoice struct {
	Index int  // -1 if no replica can be chosen
	Full  bool // all replicas are full; this one is the least loaded
}

// full returns the load from which a replica takes no further request.
func (o PromptOptions) full(replicas []Replica) float64 {
	limit := o.Multiple*meanOf(replicas, takesWork) + o.Slack
	if o.Ceiling > 0 {
		limit = min(limit, o.Ceiling*lowestMean(replicas)+o.CeilingSlack)
	}
	return limit
}

// takesWork tells whether a replica is neither ejected nor leaving.
func takesWork(r *Replica) bool { return r.Weight > 0 && !r.Leaves }

// lowestMean averages the loads of all replicas, with or without those that
// leave: ejected ones are idle, which others must not make up for beyond the
// ceiling, and one that leaves may or may not count as part of the pool.
func lowestMean(replicas []Replica) float64 {
	return min(
		meanOf(replicas, func(*Replica) bool { return true }),
		meanOf(replicas, func(r *Replica) bool { return !r.Leaves }),
	)
}

// Prompt is the shared part of a request's prompt.
type Prompt struct {
	Key   uint64 // hash of all shared parts
	Parts int    // number of shared parts; more than 0
}

// ChoosePrompt returns the replica for a request with the prompt: the first of
// its hash order that holds all of it and is not full, else the first that is not
// full, else an ejected one that can be reached and is not full, rather than
// load the others beyond their bound, else the least loaded.
func ChoosePrompt(opts PromptOptions, prompt Prompt, replicas []Replica) PromptChoice {
	limit := opts.full(replicas)
	holder, open, doubtful, least := -1, -1, -1, -1
	var holderScore, openScore uint64
	for i := range replicas {
		r := &replicas[i]
		if r.Tried || r.Leaves {
			continue
		}
		if r.Weight <= 0 {
			if r.Doubtful && r.Load < limit && (doubtful < 0 || r.Load < replicas[doubtful].Load) {
				doubtful = i
			}
			continue
		}
		if least < 0 || r.Load/r.Weight < replicas[least].Load/replicas[least].Weight {
			least = i
		}
		if r.Load >= limit || !takesShare(r, prompt.Key) {
			continue
		}
		score := mix(prompt.Key ^ r.Seed)
		if open < 0 || score > openScore {
			open, openScore = i, score
		}
		if r.Held >= prompt.Parts && (holder < 0 || score > holderScore) {
			holder, holderScore = i, score
		}
	}
	switch {
	case holder >= 0:
		return PromptChoice{Index: holder}
	case open >= 0:
		return PromptChoice{Index: open}
	case doubtful >= 0:
		return PromptChoice{Index: doubtful}
	}
	return PromptChoice{Index: least, Full: least >= 0}
}

// takesShare tells whether a replica that returns gradually takes the key. The
// keys it takes at a lower weight are a subset of those at a higher one.
func takesShare(r *Replica, key uint64) bool {
	return r.Weight >= 1 || mix(key+r.Seed) < keyShare(r.Weight)
}

// Source returns the replica from which the chosen one can fetch what it does
// not hold itself: the one that holds most of the prompt, and of several the
// least loaded; -1 if none holds more than the chosen one. One that was tried or
// leaves may still be read from.
func Source(replicas []Replica, chosen int) int {
	source := -1
	for i := range replicas {
		r := &replicas[i]
		if i == chosen || r.Weight <= 0 || r.Held <= replicas[chosen].Held {
			continue
		}
		if source < 0 || r.Held > replicas[source].Held || r.Held == replicas[source].Held && r.Load < replicas[source].Load {
			source = i
		}
	}
	return source
}

// meanOf averages the loads of the replicas that count; 0 if none does.
func meanOf(replicas []Replica, counts func(*Replica) bool) float64 {
	sum, n := 0.0, 0
	for i := range replicas {
		if counts(&replicas[i]) {
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
	Remote  float64 // requests that a replica of another failure domain counts more
	Failing float64 // requests that a replica counts more of which all answers fail beyond the pool's
}

// ChooseLeast returns the replica with the lowest load, with what opts add to it.
// The scan starts at a random place, so that routers which know the same loads do
// not all choose the same of several equal ones. It returns -1 if all are tried
// or ejected.
func ChooseLeast(opts LeastOptions, replicas []Replica, random uint64) int {
	n := len(replicas)
	if n == 0 {
		return -1
	}
	best, bestCost := -1, math.Inf(1)
	i := int(mix(random) >> 32 * uint64(n) >> 32)
	for range n {
		r := &replicas[i]
		if !r.Tried && !r.Leaves && r.Weight > 0 {
			cost := (r.Load+1)/r.Weight + opts.Failing*r.Failing
			if !r.Local {
				cost += opts.Remote
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
