package prompts

import (
	"math"
	"slices"

	"dandelionrill.example/fleet/decide/place"
)

// Policy is what is compared.
type Policy struct {
	Name   string
	Prompt place.PromptOptions
	Fetch  bool // parts are fetched from where they were read
}

// Scenario is the fleet and its traffic.
type Scenario struct {
	Engines, Routers int
	Seconds          float64
	Traffic          float64 // multiple of the usual
	Seeds            []uint64
}

// Result is the outcome of one policy, over all seeds.
type Result struct {
	Requests  int
	LateFirst int       // first events after the aim
	LatePause int       // a pause over the aim, the first event in time
	First     []float64 // seconds to the first events, sorted
	Shared    float64   // shared tokens asked for
	Reread    float64   // of these read although another engine held them
	Skew      float64   // mean over time of the largest load over the mean load
}

// Late returns the share of requests that are late.
func (r *Result) Late() float64 { return float64(r.LateFirst+r.LatePause) / float64(r.Requests) }

// FirstP99 returns the 99th percentile of the time to the first event, in
// seconds.
func (r *Result) FirstP99() float64 { return r.First[len(r.First)*99/100] }

// lag is how old a router's knowledge of the others' loads is, in seconds: the
// time between two exchanges of a pair of routers.
const lag = 0.2

// world is a run.
type world struct {
	scenario Scenario
	policy   Policy
	engines  []*engine
	seeds    []uint64 // of the engines, for the hash order
	own      [][]int  // requests in progress by router and engine
	told     [][]int  // the same, as of the last exchange
	result   *Result
	skews    []float64
}

// Run plays a scenario under a policy.
func Run(s Scenario, p Policy) *Result {
	result := &Result{}
	var skews []float64
	for _, seed := range s.Seeds {
		w := &world{scenario: s, policy: p, result: result}
		for i := range s.Engines {
			w.engines = append(w.engines, &engine{cached: make(map[uint64]float64)})
			w.seeds = append(w.seeds, place.Key(string(rune('a'+i))+"engine"))
		}
		w.own, w.told = grid(s.Routers, s.Engines), grid(s.Routers, s.Engines)
		w.play(newTrace(seed, s.Seconds, s.Traffic, s.Routers))
		skews = append(skews, w.skews...)
	}
	slices.Sort(result.First)
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

// play runs the arrivals until all requests are complete.
func (w *world) play(arrivals []arrival) {
	exchange := lag
	for next := 0; ; {
		i, at := w.nextStep()
		arrivalAt := math.Inf(1)
		if next < len(arrivals) {
			arrivalAt = arrivals[next].at
		}
		switch now := min(at, arrivalAt); {
		case math.IsInf(now, 1):
			return
		case exchange <= now:
			w.exchange()
			exchange += lag
		case at <= arrivalAt:
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

// nextStep returns the engine whose step ends first.
func (w *world) nextStep() (index int, at float64) {
	at = math.Inf(1)
	for i, e := range w.engines {
		if e.stepEnd > 0 && e.stepEnd < at {
			index, at = i, e.stepEnd
		}
	}
	return index, at
}

// exchange makes all loads known to all routers.
func (w *world) exchange() {
	loads := make([]float64, 0, len(w.engines))
	total := 0.0
	for i, e := range w.engines {
		for r := range w.own {
			w.told[r][i] = w.own[r][i]
		}
		loads = append(loads, float64(e.load()))
		total += float64(e.load())
	}
	if mean := total / float64(len(loads)); mean >= 1 {
		w.skews = append(w.skews, slices.Max(loads)/mean)
	}
}

// place sends a request to the engine that the policy chooses.
func (w *world) place(a *arrival) {
	replicas := make([]place.Replica, len(w.engines))
	key := uint64(0)
	for _, p := range a.shared {
		key = key*31 + p.key
	}
	for i, e := range w.engines {
		load := w.own[a.router][i]
		for r := range w.told {
			if r != a.router {
				load += w.told[r][i]
			}
		}
		replicas[i] = place.Replica{Seed: w.seeds[i], Load: float64(load), Weight: 1, Held: e.held(a.shared, a.at)}
	}
	chosen := place.ChoosePrompt(w.policy.Prompt, place.Prompt{Key: key, Parts: len(a.shared)}, replicas).Index
	source := -1
	if w.policy.Fetch {
		source = place.Source(replicas, chosen)
	}
	w.send(a, replicas, chosen, source)
}

// send starts a request at an engine.
func (w *world) send(a *arrival, replicas []place.Replica, chosen, source int) {
	e := w.engines[chosen]
	held := replicas[chosen].Held
	fetched := 0.0
	if source >= 0 {
		for _, p := range a.shared[held:replicas[source].Held] {
			fetched += p.tokens
			e.cached[p.key] = a.at
		}
		held = replicas[source].Held
	}
	r := &running{arrival: a, unread: a.own, parts: a.shared[held:]}
	for i, p := range a.shared {
		w.result.Shared += p.tokens
		r.context += p.tokens
		if i < held {
			continue
		}
		r.unread += p.tokens
		if slices.ContainsFunc(replicas, func(o place.Replica) bool { return o.Held > i }) {
			w.result.Reread += p.tokens
		}
	}
	if fetched > 0 { // the time of a fetch counts like reading
		r.unread += (fetchSetup + fetched*fetchPerToken) * readPerSecond
	}
	r.context += a.own
	w.own[a.router][chosen]++
	e.queue = append(e.queue, r)
	e.admit(a.at)
}

// complete records a request that has ended.
func (w *world) complete(r *running) {
	w.result.Requests++
	w.result.First = append(w.result.First, r.first)
	switch {
	case r.first > classes[r.class].firstAim:
		w.result.LateFirst++
	case r.pauseMax > pauseAim:
		w.result.LatePause++
	}
}
