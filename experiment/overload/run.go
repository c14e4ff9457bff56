package overload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
)

type event struct {
	at  float64
	seq int
	run func(now float64)
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type run struct {
	opts    Options
	rng     *rand.Rand
	events  events
	seq     int
	engines []*engine
	routers []*router

	attempts int
	answered int
	refused  int
	late     int
	born     int
	returns  map[int]int
	top      int
	tails    [2]tail
}

type tail struct {
	tokens []float64
	failed int
	all    int
}

type router struct {
	picker  *place.Picker
	budgets map[string]*retry.Budget
	streak  [engines]int
	openTil [engines]float64
}

// Run replays one seeded run.
func Run(opts Options) Result {
	if opts.QueueWait == 0 {
		opts.QueueWait = queueWait
	}
	if opts.Floor == 0 {
		opts.Floor = floor
	}
	r := &run{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 9)), returns: make(map[int]int)}
	for i := range engines {
		r.engines = append(r.engines, &engine{
			index: i, held: make(map[string]int), queue: fair.NewQueue[*job](fair.Options{PerCustomer: queueLimit}),
			bound: admit.NewBound(admit.Options{Multiple: multiple, Floor: opts.Floor, Ceiling: slots}),
		})
	}
	for range routers {
		r.routers = append(r.routers, &router{budgets: make(map[string]*retry.Budget)})
	}
	r.at(0, r.refresh)
	for c := range customers {
		r.arrivals(c)
	}
	r.loop()
	return r.result()
}

func (r *run) at(at float64, run func(float64)) {
	r.seq++
	heap.Push(&r.events, event{at, r.seq, run})
}

// loop runs events and ends of requests in order of time.
func (r *run) loop() {
	for len(r.events) > 0 && r.events[0].at < duration {
		first, end := -1, r.events[0].at
		for i, e := range r.engines {
			if next := e.next(); next <= end {
				first, end = i, next
			}
		}
		if first < 0 {
			e := heap.Pop(&r.events).(event)
			e.run(e.at)
			continue
		}
		e := r.engines[first]
		e.advance(end)
		r.answer(e.running[0].request, e.running[0], end)
	}
}

func (r *run) arrivals(c int) {
	rate := r.opts.Load * capacity / customers
	if c == 0 && r.opts.Surge > 0 {
		rate *= r.opts.Surge
	}
	var arrive func(now float64)
	arrive = func(now float64) {
		q := &request{customer: fmt.Sprint(c), born: now, work: meanWork * math.Exp(workSigma*r.rng.NormFloat64()-workSigma*workSigma/2)}
		if r.measured(q) {
			r.born++
		}
		r.try(q, now)
		r.at(now+r.rng.ExpFloat64()/rate, arrive)
	}
	r.at(r.rng.ExpFloat64()/rate, arrive)
}

func (r *run) measured(q *request) bool { return q.born >= measuredFrom }

// refresh gives routers the loads and agents the mean.
func (r *run) refresh(now float64) {
	var candidates []place.Candidate
	sum := 0
	for _, e := range r.engines {
		sum += len(e.running) + e.queue.Len()
		r.top = max(r.top, len(e.running))
		candidates = append(candidates, place.Candidate{Host: fmt.Sprint(e.index), Load: float64(len(e.running) + e.queue.Len()), Weight: 1})
	}
	for _, rt := range r.routers {
		view := slices.Clone(candidates)
		for i := range view {
			if rt.openTil[i] > now {
				view[i].Weight = 0
			}
		}
		rt.picker = place.NewPicker(place.Options{LoadMultiple: multiple, Settings: place.DefaultSettings()}, view)
	}
	for _, e := range r.engines {
		e.bound.ObserveMean(float64(sum)/engines, engines, clock(now))
		r.dispatch(e, now)
	}
	r.at(now+loadRefresh, r.refresh)
}

func clock(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// budget returns the retry budget that q draws on.
func (rt *router) budget(opts Options, q *request) *retry.Budget {
	key := ""
	if opts.OwnBudget {
		key = q.customer
	}
	if rt.budgets[key] == nil {
		rt.budgets[key] = retry.NewBudget(retry.Options{})
	}
	return rt.budgets[key]
}

// try is one try of the caller: the router's attempts at agents.
func (r *run) try(q *request, now float64) {
	q.tries++
	q.sent = now
	q.job, q.hedge = nil, nil
	rt := r.routers[r.rng.IntN(routers)]
	budget := rt.budget(r.opts, q)
	budget.Deposit()
	var tried []int
	var comeBack time.Duration
	for made := 1; ; made++ {
		i, ok := rt.picker.Pick(place.Query{Key: r.rng.Uint64(), Tried: tried, Rand: r.rng.Uint64()})
		if !ok {
			break
		}
		last := made == retry.DefaultAttempts || !r.opts.LateQueue && !r.opts.NoBudget && !budget.Left()
		j, after := r.submit(r.engines[i], q, now, last)
		rt.note(r.opts, i, j != nil, now)
		if j != nil {
			q.job = j
			break
		}
		comeBack = after
		tried = append(tried, i)
		if made == retry.DefaultAttempts || !r.opts.NoBudget && !budget.Withdraw() {
			break
		}
	}
	if q.job == nil {
		r.refuse(q, comeBack, now)
		return
	}
	tries := q.tries
	r.at(now+deadline, func(now float64) { r.expire(q, tries, now) })
	if r.opts.Hedge > 0 {
		r.at(now+r.opts.Hedge, func(now float64) { r.hedge(q, tries, rt, now) })
	}
}

// Breaker settings: refusals in a row, and seconds without requests.
const (
	breakerStreak = 5
	breakerOpen   = 5.0
)

func (rt *router) note(opts Options, i int, ok bool, now float64) {
	if ok || !opts.Breaker {
		rt.streak[i] = 0
		return
	}
	if rt.streak[i]++; rt.streak[i] >= breakerStreak {
		rt.streak[i], rt.openTil[i] = 0, now+breakerOpen
	}
}

// submit hands q to an agent: it runs, waits, or is refused.
func (r *run) submit(e *engine, q *request, now float64, mayQueue bool) (*job, time.Duration) {
	if r.measured(q) {
		r.attempts++
	}
	j := &job{request: q, engine: e, index: -1}
	limit := e.bound.Limit(clock(now))
	switch {
	case r.opts.InFlight > 0 && e.held[q.customer] >= r.opts.InFlight:
	case r.opts.Unbounded || e.queue.Len() == 0 && len(e.running) < limit:
		e.held[q.customer]++
		e.start(j, now)
		return j, 0
	case mayQueue:
		id := q.customer
		if r.opts.FIFO {
			id = "all"
		}
		if e.queue.Push(id, 1, 0, 1, 0, j) == nil {
			e.held[q.customer]++
			j.queued = true
			r.at(now+r.opts.QueueWait, func(now float64) { r.giveUp(j, now) })
			return j, 0
		}
	}
	return nil, r.comeBack(e, q, now)
}

// comeBack counts a refusal and computes when its caller is to come back.
func (r *run) comeBack(e *engine, q *request, now float64) time.Duration {
	e.refused.Add(clock(now))
	waiting := e.queue.LenOf(q.customer)
	if r.opts.WholeQueue || r.opts.FIFO {
		waiting = e.queue.Len()
	}
	return retry.RetryAfter(retry.Pressure{
		Waiting: waiting, Refused: e.refused.PerSecond(clock(now)), DonePerSecond: e.done.PerSecond(clock(now)),
	}, r.rng.Uint64())
}

// dispatch starts what waits, up to the bound.
func (r *run) dispatch(e *engine, now float64) {
	for len(e.running) < e.bound.Limit(clock(now)) {
		j, ok := e.queue.Pop()
		if !ok {
			return
		}
		j.queued = false
		e.start(j, now)
	}
}
