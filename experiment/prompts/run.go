package prompts

import (
	"math"
	"slices"

	"dandelionrill.example/fleet/decide/place"
)

// Policy is a placement policy under comparison.
type Policy struct {
	Name   string
	Prompt place.PromptOptions
	Fetch  bool // missing parts are fetched from an engine that has them cached
}

// Scenario describes a fleet and its traffic.
type Scenario struct {
	Engines, Routers int
	Seconds          float64
	Traffic          float64 // multiple of the usual traffic
	Seeds            []uint64
}

// Result is the result of one policy over all seeds.
type Result struct {
	Requests         int
	LateFirstEvent   int       // requests whose first event came after the target time
	LatePause        int       // requests with the first event in time but a pause above the target
	FirstEvents      []float64 // seconds to the first event of each request, sorted
	SharedTokens     float64   // shared prompt tokens in all requests
	RecomputedTokens float64   // of these, prefilled although some engine had them cached
	Skew             float64   // largest load / mean load, averaged over time
}

// LateShare returns the share of requests that are late.
func (r *Result) LateShare() float64 {
	return float64(r.LateFirstEvent+r.LatePause) / float64(r.Requests)
}

// FirstEventP99 returns the 99th percentile of the time to the first event, in seconds.
func (r *Result) FirstEventP99() float64 { return r.FirstEvents[len(r.FirstEvents)*99/100] }

// exchangeSeconds is the time between two load exchanges of a pair of routers, and so the
// greatest age of what a router knows of the others' loads.
const exchangeSeconds = 0.2

// simulation is the state of one run.
type simulation struct {
	scenario   Scenario
	policy     Policy
	engines    []*engine
	engineKeys []uint64 // hash keys of the engines, which fix their order for a prompt
	own        [][]int  // requests in progress, by router and engine
	reported   [][]int  // the same as of the last exchange
	result     *Result
	skews      []float64
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy) *Result {
	result := &Result{}
	var skews []float64
	for _, seed := range s.Seeds {
		w := &simulation{scenario: s, policy: p, result: result}
		for i := range s.Engines {
			w.engines = append(w.engines, &engine{cached: make(map[uint64]float64)})
			w.engineKeys = append(w.engineKeys, place.Key(string(rune('a'+i))+"engine"))
		}
		w.own, w.reported = grid(s.Routers, s.Engines), grid(s.Routers, s.Engines)
		w.run(newTrace(seed, s.Seconds, s.Traffic, s.Routers))
		skews = append(skews, w.skews...)
	}
	slices.Sort(result.FirstEvents)
	for _, v := range skews {
		result.Skew += v / float64(len(skews))
	}
	return result
}

func grid(rows, columns int) [][]int {
	out := make([][]int, rows)
	for i := range out {
		out[i] = make([]int, columns)
	}
	return out
}

// run processes the arrivals until all requests are complete.
func (w *simulation) run(arrivals []arrival) {
	exchangeAt := exchangeSeconds
	for next := 0; ; {
		i, stepEnd := w.nextStep()
		arrivalAt := math.Inf(1)
		if next < len(arrivals) {
			arrivalAt = arrivals[next].at
		}
		switch now := min(stepEnd, arrivalAt); {
		case math.IsInf(now, 1):
			return
		case exchangeAt <= now:
			w.exchange()
			exchangeAt += exchangeSeconds
		case stepEnd <= arrivalAt:
			for _, r := range w.engines[i].endStep() {
				w.own[r.router][i]--
				w.complete(r)
			}
		default:
			w.place(&arrivals[next])
			next++
		}
	}
}

// nextStep returns the engine whose step ends first and the end of that step, which is
// infinite if all engines are idle.
func (w *simulation) nextStep() (index int, at float64) {
	at = math.Inf(1)
	for i, e := range w.engines {
		if e.stepEnd > 0 && e.stepEnd < at {
			index, at = i, e.stepEnd
		}
	}
	return index, at
}

// exchange makes all loads known to all routers and samples the skew.
func (w *simulation) exchange() {
	loads := make([]float64, 0, len(w.engines))
	total := 0.0
	for i, e := range w.engines {
		for r := range w.own {
			w.reported[r][i] = w.own[r][i]
		}
		loads = append(loads, float64(e.load()))
		total += float64(e.load())
	}
	if mean := total / float64(len(loads)); mean >= 1 {
		w.skews = append(w.skews, slices.Max(loads)/mean)
	}
}

// place sends a request to the engine chosen by the policy.
func (w *simulation) place(a *arrival) {
	replicas := make([]place.Replica, len(w.engines))
	key := uint64(0)
	for _, p := range a.shared {
		key = key*31 + p.key
	}
	for i, e := range w.engines {
		load := w.own[a.router][i]
		for r := range w.reported {
			if r != a.router {
				load += w.reported[r][i]
			}
		}
		replicas[i] = place.Replica{Seed: w.engineKeys[i], Load: float64(load), Weight: 1, CachedParts: e.cachedParts(a.shared, a.at)}
	}
	chosen := place.ChoosePrompt(w.policy.Prompt, place.Prompt{Key: key, Parts: len(a.shared)}, replicas).Index
	source := -1
	if w.policy.Fetch {
		source = place.Source(replicas, chosen)
	}
	w.send(a, replicas, chosen, source)
}

// send queues a request at an engine. A source of 0 or more is the engine from which the
// missing parts are fetched.
func (w *simulation) send(a *arrival, replicas []place.Replica, chosen, source int) {
	e := w.engines[chosen]
	cached := replicas[chosen].CachedParts
	fetched := 0.0
	if source >= 0 {
		for _, p := range a.shared[cached:replicas[source].CachedParts] {
			fetched += p.tokens
			e.cached[p.key] = a.at
		}
		cached = replicas[source].CachedParts
	}
	r := &running{arrival: a, prefillLeft: a.ownTokens, parts: a.shared[cached:]}
	for i, p := range a.shared {
		w.result.SharedTokens += p.tokens
		r.context += p.tokens
		if i < cached {
			continue
		}
		r.prefillLeft += p.tokens
		if slices.ContainsFunc(replicas, func(o place.Replica) bool { return o.CachedParts > i }) {
			w.result.RecomputedTokens += p.tokens
		}
	}
	if fetched > 0 { // the fetch is charged as the prefill of as many tokens as fit into its time
		r.prefillLeft += (fetchSetupSeconds + fetched*fetchSecondsPerToken) * prefillTokensPerSecond
	}
	r.context += a.ownTokens
	w.own[a.router][chosen]++
	e.queue = append(e.queue, r)
	e.admit(a.at)
}

// complete records a request that has ended.
func (w *simulation) complete(r *running) {
	w.result.Requests++
	w.result.FirstEvents = append(w.result.FirstEvents, r.firstAfter)
	switch {
	case r.firstAfter > classes[r.class].maxFirstSeconds:
		w.result.LateFirstEvent++
	case r.longestPause > maxPauseSeconds:
		w.result.LatePause++
	}
}
