package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/place"
)

// Deployment describes a fleet and its traffic.
type Deployment struct {
	Name         string
	Engines      int
	Domains      int
	Routers      int
	Hours        float64
	LoadMultiple float64
	Shape        demandCurve
	Seeds        []uint64
}

// Result holds the measurements of one run, taken after the warm-up part of the trace.
type Result struct {
	Reuse                 float64 // share of prompt tokens that were cached
	SkewP99               float64 // 99th percentile of max load / mean load, sampled each second
	SkewMean              float64
	Refused               float64 // share of requests refused after all attempts
	Attempts              float64 // per placed request
	CrossDomain           float64 // share of requests placed outside the router's failure domain
	Displaced             float64 // share of returning requests placed on another engine than their last
	MovedBytesPerSecond   float64 // KV cache traffic of the whole pool if the cache of every displaced chat were moved
	ControlBytesPerSecond float64 // payload that each router receives
}

// Delays and losses of control messages, message sizes, and the number of attempts.
const (
	maxAttempts         = 3
	boundFloor          = 4
	reportLossShare     = 0.05
	maxReportLagSeconds = 3    // of loads at routers and of the mean at agents
	maxListLagSeconds   = 5.0  // of a router's list of engines
	eventLossShare      = 0.05 // share of cache events that are lost
	eventLagSeconds     = 5.0
	reportBytes         = 8
	eventBytes          = 24
	minMeanLoadForSkew  = 1.0 // the skew leaves out samples with a lower mean load
)

type run struct {
	deployment  Deployment
	policy      Policy
	rng         *rand.Rand
	engines     []*engine
	routers     []*router
	completions completionHeap
	homes       map[int32]int     // by chat, the engine that served it last
	previous    map[int32]int     // by chat, the engine before its home
	lastStart   map[int32]float64 // by chat, the start time of its latest request
	directory   map[int32]int     // by chat, the engine that routers know from cache events
	events      []cacheEvent
	hosts       map[string]int
	tick        int // seconds of the trace that have passed

	skews                                  []float64
	promptTokens, cachedTokens, movedBytes float64
	placed, refused, attempts, crossDomain int
	returning, displaced, eventCount       int
}

type cacheEvent struct {
	due    float64
	chat   int32
	engine int
	stored bool
}

// Run replays a trace under a policy and returns the measurements.
func Run(d Deployment, p Policy, seed uint64, turns []turn) Result {
	if p.LoadMultiple > 0 {
		d.LoadMultiple = p.LoadMultiple
	}
	p = p.resolve(d)
	r := &run{
		deployment: d, policy: p, rng: rand.New(rand.NewPCG(seed, 3)),
		homes: make(map[int32]int), previous: make(map[int32]int), lastStart: make(map[int32]float64),
		directory: make(map[int32]int), hosts: make(map[string]int),
	}
	for i := range d.Engines {
		r.engines = append(r.engines, r.newEngine(i))
		r.hosts[r.engines[i].host] = i
	}
	for i := range d.Routers {
		r.routers = append(r.routers, newRouter(i, d, p))
	}
	spanSeconds := d.Hours * secondsPerHour
	changes := newChurn(seed, d.Engines, spanSeconds)
	measuredFrom := r.measureStart()
	for _, t := range turns {
		r.advance(t.at, &changes)
		r.placeTurn(t, t.at >= measuredFrom)
	}
	return r.result(spanSeconds - measuredFrom)
}

func (r *run) measureStart() float64 {
	return min(warmupHours, r.deployment.Hours/3) * secondsPerHour
}

func (r *run) newEngine(i int) *engine {
	e := &engine{
		host:   fmt.Sprintf("engine-%d", i),
		domain: fmt.Sprintf("domain-%d", i%r.deployment.Domains),
		up:     true,
		bound:  admit.NewBound(admit.Options{Multiple: r.deployment.LoadMultiple, Floor: boundFloor}),
	}
	e.cache = newLRU(cacheTokens, func(chat int32) { r.publishCacheEvent(chat, i, false) })
	return e
}

// advance moves the time forward to at. It processes completed requests, state changes
// and the end of each second in order of time.
func (r *run) advance(at float64, changes *[]stateChange) {
	for {
		secondEnd, completionAt, changeAt := float64(r.tick+1), at, at
		if len(r.completions) > 0 {
			completionAt = r.completions[0].at
		}
		if len(*changes) > 0 {
			changeAt = (*changes)[0].at
		}
		switch {
		case completionAt <= min(at, secondEnd, changeAt) && len(r.completions) > 0:
			r.complete(heap.Pop(&r.completions).(completion))
		case changeAt <= min(at, secondEnd) && len(*changes) > 0:
			r.applyChange((*changes)[0])
			*changes = (*changes)[1:]
		case secondEnd <= at:
			r.tick++
			r.endSecond()
		default:
			return
		}
	}
}

func (r *run) complete(f completion) {
	e := r.engines[f.engine]
	if e.incarnation != f.incarnation {
		return
	}
	e.load--
	e.cache.store(f.turn.chat, f.turn.prompt+f.turn.answer, f.turn.at)
	r.publishCacheEvent(f.turn.chat, f.engine, true)
}

// applyChange applies a change of state. A failed engine loses its requests and its
// cache. Each router sees the change after a random delay of its own.
func (r *run) applyChange(c stateChange) {
	e := r.engines[c.engine]
	e.up = c.up
	if !c.up {
		e.load = 0
		e.incarnation++
		e.cache = newLRU(cacheTokens, e.cache.onEvict)
	}
	for _, rt := range r.routers {
		rt.pendingChanges = append(rt.pendingChanges, stateChange{c.at + r.rng.Float64()*maxListLagSeconds, c.engine, c.up})
	}
}

func (r *run) publishCacheEvent(chat int32, engine int, stored bool) {
	if !r.policy.CacheDirectory {
		return
	}
	r.eventCount++
	if r.rng.Float64() >= eventLossShare {
		r.events = append(r.events, cacheEvent{float64(r.tick) + eventLagSeconds, chat, engine, stored})
	}
}

// endSecond records the skew, then delivers the means, cache events, engine lists and
// loads that are due to agents and routers.
func (r *run) endSecond() {
	now := float64(r.tick)
	sum, top, n := 0.0, 0.0, 0
	for _, e := range r.engines {
		e.history = append(e.history, float64(e.load))
		if e.up {
			sum += float64(e.load)
			top = max(top, float64(e.load))
			n++
		}
	}
	if mean := sum / float64(n); now >= r.measureStart() && mean >= minMeanLoadForSkew {
		r.skews = append(r.skews, top/mean)
	}
	r.observeMeans(now)
	for len(r.events) > 0 && r.events[0].due <= now {
		r.applyEvent(r.events[0])
		r.events = r.events[1:]
	}
	for _, rt := range r.routers {
		rt.refresh(r, now)
	}
}

func (r *run) applyEvent(ev cacheEvent) {
	if ev.stored {
		r.directory[ev.chat] = ev.engine
	} else if r.directory[ev.chat] == ev.engine {
		delete(r.directory, ev.chat)
	}
}

// observeMeans gives each agent a mean that is up to maxReportLagSeconds old, or none
// when the message is lost.
func (r *run) observeMeans(now float64) {
	for _, e := range r.engines {
		lag := 1 + r.rng.IntN(maxReportLagSeconds)
		if r.rng.Float64() < reportLossShare || r.tick < lag {
			continue
		}
		sum, n := 0.0, 0
		for _, other := range r.engines {
			if other.up {
				sum += other.history[r.tick-lag]
				n++
			}
		}
		e.bound.ObserveMean(sum/float64(n), n, duration(now-float64(lag)))
	}
}

// placeTurn places the request of one turn; measured tells whether it counts in the
// result.
func (r *run) placeTurn(t turn, measured bool) {
	rt := r.routers[r.rng.IntN(len(r.routers))]
	q := place.Query{Key: place.Key(fmt.Sprint(t.chat)), Rand: r.rng.Uint64()}
	home, returns := r.homes[t.chat]
	if returns && r.policy.TokenShare > 0 && r.rng.Float64() < r.policy.TokenShare {
		q.PreferredHost = r.engines[home].host
		if previous, ok := r.previous[t.chat]; ok && r.policy.PreviousEngine {
			q.PreviousHost = r.engines[previous].host
		}
		if r.policy.IgnoreStaleTokens && r.lastStart[t.chat] < r.engines[home].cache.oldest() {
			q.PreferredHost = ""
		}
	}
	if known, ok := r.directory[t.chat]; ok && r.policy.CacheDirectory {
		q.PreferredHost = r.engines[known].host
	}
	var tried [maxAttempts]int
	chosen, made := -1, 0
	for ; made < maxAttempts && chosen < 0; made++ {
		i, ok := rt.picker.Pick(q)
		if !ok {
			break
		}
		if r.admit(i, t.at) {
			chosen = i
		}
		rt.recordLoad(i, r.engines[i])
		tried[made] = i
		q.Tried = tried[:made+1]
		q.Rand++
	}
	if chosen >= 0 {
		r.start(chosen, t, measured)
	}
	if !measured {
		return
	}
	r.attempts += made
	if chosen < 0 {
		r.refused++
		return
	}
	r.placed++
	if r.engines[chosen].domain != rt.domain {
		r.crossDomain++
	}
	if returns {
		r.returning++
		if chosen != home {
			r.displaced++
			r.movedBytes += float64(r.engines[home].cache.cached(t.chat, t.prompt)) * kvBytesPerToken
		}
	}
}

func (r *run) admit(i int, at float64) bool {
	e := r.engines[i]
	return e.up && (r.policy.Unbounded || e.load+1 <= e.bound.Limit(duration(at)))
}

func (r *run) start(i int, t turn, measured bool) {
	e := r.engines[i]
	cached := e.cache.cached(t.chat, t.prompt)
	if measured {
		r.promptTokens += float64(t.prompt)
		r.cachedTokens += float64(cached)
	}
	e.load++
	if home, ok := r.homes[t.chat]; ok && home != i {
		r.previous[t.chat] = home
	}
	r.homes[t.chat] = i
	r.lastStart[t.chat] = t.at
	takes := float64(t.prompt-cached)*secondsPerPromptToken + float64(t.answer)*secondsPerAnswerToken
	heap.Push(&r.completions, completion{t.at + takes, i, e.incarnation, t})
}

func (r *run) result(measuredSeconds float64) Result {
	slices.Sort(r.skews)
	sum := 0.0
	for _, s := range r.skews {
		sum += s
	}
	n := float64(r.placed + r.refused)
	res := Result{
		Reuse:                 r.cachedTokens / r.promptTokens,
		SkewP99:               r.skews[len(r.skews)*99/100],
		SkewMean:              sum / float64(len(r.skews)),
		Refused:               float64(r.refused) / n,
		Attempts:              float64(r.attempts) / float64(r.placed),
		CrossDomain:           float64(r.crossDomain) / float64(r.placed),
		Displaced:             float64(r.displaced) / float64(r.returning),
		ControlBytesPerSecond: float64(r.eventCount*eventBytes) / (r.deployment.Hours * secondsPerHour),
	}
	res.MovedBytesPerSecond = r.movedBytes / measuredSeconds
	if !r.policy.Unbounded && !r.policy.NoLoadReports {
		res.ControlBytesPerSecond += float64(len(r.engines) * reportBytes)
	}
	return res
}
