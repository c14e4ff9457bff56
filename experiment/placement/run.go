package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/place"
)

// Deployment is a fleet and its demand.
type Deployment struct {
	Name     string
	Engines  int
	Domains  int
	Routers  int
	Hours    float64
	Multiple float64
	Shape    loadShape
	Seeds    []uint64
}

// Result is what one run measured after the earlier part of the trace.
type Result struct {
	Reuse      float64 // cached prompt tokens over prompt tokens
	SkewP99    float64 // 99th percentile over seconds of max load over mean
	SkewMean   float64
	Refused    float64 // requests refused after all attempts, share
	Attempts   float64 // per request placed
	Crossing   float64 // requests placed outside the router's failure domain, share
	Displaced  float64 // returning requests placed away from their last engine, share
	MovedBytes float64 // KV bytes a second over the pool if every displaced chat's cache were moved
	Control    float64 // payload bytes a second that each router takes in
}

// Limits of knowledge and attempts.
const (
	attempts      = 3
	floor         = 4
	reportLoss    = 0.05
	maxReportLag  = 3    // seconds, of loads at routers and of the mean at agents
	maxListLag    = 5.0  // seconds, of a router's list of engines
	eventLoss     = 0.05 // cache events that are lost
	eventLag      = 5.0  // seconds
	reportBytes   = 8
	eventBytes    = 24
	minMeanOfSkew = 1.0 // seconds with a lower mean load are left out of the skew
)

type run struct {
	deployment    Deployment
	policy        Policy
	rng           *rand.Rand
	engines       []*engine
	routers       []*router
	ends          finishes
	homes         map[int32]int // chat to the engine that answered last
	previousHomes map[int32]int // chat to the engine before that
	last          map[int32]float64
	directory     map[int32]int // chat to engine as routers know it from cache events
	events        []cacheEvent
	hosts         map[string]int
	tick          int

	skews                            []float64
	prompts, hits, moved             float64
	placed, refused, tries, crossing int
	returning, displaced, eventCount int
}

type cacheEvent struct {
	due    float64
	chat   int32
	engine int
	stored bool
}

// Run replays a trace under a policy.
func Run(d Deployment, p Policy, seed uint64, turns []turn) Result {
	if p.Multiple > 0 {
		d.Multiple = p.Multiple
	}
	p = p.resolve(d)
	r := &run{
		deployment: d, policy: p, rng: rand.New(rand.NewPCG(seed, 3)),
		homes: make(map[int32]int), previousHomes: make(map[int32]int), last: make(map[int32]float64),
		directory: make(map[int32]int), hosts: make(map[string]int),
	}
	for i := range d.Engines {
		r.engines = append(r.engines, r.newEngine(i))
		r.hosts[r.engines[i].host] = i
	}
	for i := range d.Routers {
		r.routers = append(r.routers, newRouter(i, d, p))
	}
	span := d.Hours * secondsPerHour
	changes := newChurn(seed, d.Engines, span)
	after := r.measureFrom()
	for _, t := range turns {
		r.advance(t.at, &changes)
		r.request(t, t.at >= after)
	}
	return r.result(span - after)
}

func (r *run) measureFrom() float64 {
	return min(earlierHours, r.deployment.Hours/3) * secondsPerHour
}

func (r *run) newEngine(i int) *engine {
	e := &engine{
		host:   fmt.Sprintf("engine-%d", i),
		domain: fmt.Sprintf("domain-%d", i%r.deployment.Domains),
		up:     true,
		bound:  admit.NewBound(admit.Options{Multiple: r.deployment.Multiple, Floor: floor}),
	}
	e.cache = newLRU(cacheTokens, func(chat int32) { r.event(chat, i, false) })
	return e
}

// advance moves time on to at: ends of requests, changes of state and the
// seconds between, in order.
func (r *run) advance(at float64, changes *[]change) {
	for {
		second, end, next := float64(r.tick+1), at, at
		if len(r.ends) > 0 {
			end = r.ends[0].at
		}
		if len(*changes) > 0 {
			next = (*changes)[0].at
		}
		switch {
		case end <= min(at, second, next) && len(r.ends) > 0:
			r.finish(heap.Pop(&r.ends).(finish))
		case next <= min(at, second) && len(*changes) > 0:
			r.change((*changes)[0])
			*changes = (*changes)[1:]
		case second <= at:
			r.tick++
			r.second()
		default:
			return
		}
	}
}

func (r *run) finish(f finish) {
	e := r.engines[f.engine]
	if e.life != f.life {
		return
	}
	e.load--
	e.cache.store(f.turn.chat, f.turn.prompt+f.turn.answer, f.turn.at)
	r.event(f.turn.chat, f.engine, true)
}

// change applies a change of state. An engine that comes back is empty. Routers
// learn of it late and not together.
func (r *run) change(c change) {
	e := r.engines[c.engine]
	e.up = c.up
	if !c.up {
		e.load = 0
		e.life++
		e.cache = newLRU(cacheTokens, e.cache.evicted)
	}
	for _, rt := range r.routers {
		rt.pending = append(rt.pending, change{c.at + r.rng.Float64()*maxListLag, c.engine, c.up})
	}
}

func (r *run) event(chat int32, engine int, stored bool) {
	if !r.policy.Directory {
		return
	}
	r.eventCount++
	if r.rng.Float64() >= eventLoss {
		r.events = append(r.events, cacheEvent{float64(r.tick) + eventLag, chat, engine, stored})
	}
}

// second records the skew, then lets agents and routers learn what is due.
func (r *run) second() {
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
	if mean := sum / float64(n); now >= r.measureFrom() && mean >= minMeanOfSkew {
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

// observeMeans gives each agent a mean that lags by up to maxReportLag, or
// none when the message is lost.
func (r *run) observeMeans(now float64) {
	for _, e := range r.engines {
		lag := 1 + r.rng.IntN(maxReportLag)
		if r.rng.Float64() < reportLoss || r.tick < lag {
			continue
		}
		sum, n := 0.0, 0
		for _, other := range r.engines {
			if other.up {
				sum += other.history[r.tick-lag]
				n++
			}
		}
		e.bound.ObserveMean(sum/float64(n), n, seconds(now-float64(lag)))
	}
}

// request places one turn.
func (r *run) request(t turn, measured bool) {
	rt := r.routers[r.rng.IntN(len(r.routers))]
	q := place.Query{Key: place.Key(fmt.Sprint(t.chat)), Rand: r.rng.Uint64()}
	home, returns := r.homes[t.chat]
	if returns && r.policy.TokenShare > 0 && r.rng.Float64() < r.policy.TokenShare {
		q.Prefer = r.engines[home].host
		if previous, ok := r.previousHomes[t.chat]; ok && r.policy.PreviousHost {
			q.PreviousHost = r.engines[previous].host
		}
		if r.policy.Horizon && r.last[t.chat] < r.engines[home].cache.oldest() {
			q.Prefer = ""
		}
	}
	if known, ok := r.directory[t.chat]; ok && r.policy.Directory {
		q.Prefer = r.engines[known].host
	}
	var tried [attempts]int
	chosen, made := -1, 0
	for ; made < attempts && chosen < 0; made++ {
		i, ok := rt.picker.Pick(q)
		if !ok {
			break
		}
		if r.admit(i, t.at) {
			chosen = i
		}
		rt.learn(i, r.engines[i])
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
	r.tries += made
	if chosen < 0 {
		r.refused++
		return
	}
	r.placed++
	if r.engines[chosen].domain != rt.domain {
		r.crossing++
	}
	if returns {
		r.returning++
		if chosen != home {
			r.displaced++
			r.moved += float64(r.engines[home].cache.cached(t.chat, t.prompt)) * kvBytesPerToken
		}
	}
}

func (r *run) admit(i int, at float64) bool {
	e := r.engines[i]
	return e.up && (r.policy.NoBound || e.load+1 <= e.bound.Limit(seconds(at)))
}

func (r *run) start(i int, t turn, measured bool) {
	e := r.engines[i]
	cached := e.cache.cached(t.chat, t.prompt)
	if measured {
		r.prompts += float64(t.prompt)
		r.hits += float64(cached)
	}
	e.load++
	if home, ok := r.homes[t.chat]; ok && home != i {
		r.previousHomes[t.chat] = home
	}
	r.homes[t.chat] = i
	r.last[t.chat] = t.at
	takes := float64(t.prompt-cached)*prefillSeconds + float64(t.answer)*tokenSeconds
	heap.Push(&r.ends, finish{t.at + takes, i, e.life, t})
}

func (r *run) result(span float64) Result {
	slices.Sort(r.skews)
	sum := 0.0
	for _, s := range r.skews {
		sum += s
	}
	n := float64(r.placed + r.refused)
	res := Result{
		Reuse:     r.hits / r.prompts,
		SkewP99:   r.skews[len(r.skews)*99/100],
		SkewMean:  sum / float64(len(r.skews)),
		Refused:   float64(r.refused) / n,
		Attempts:  float64(r.tries) / float64(r.placed),
		Crossing:  float64(r.crossing) / float64(r.placed),
		Displaced: float64(r.displaced) / float64(r.returning),
		Control:   float64(r.eventCount*eventBytes) / (r.deployment.Hours * secondsPerHour),
	}
	res.MovedBytes = r.moved / span
	if !r.policy.NoBound && !r.policy.NoLoads {
		res.Control += float64(len(r.engines) * reportBytes)
	}
	return res
}
