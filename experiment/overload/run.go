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

	attempts        int
	answered        int
	refused         int
	expired         int
	created         int
	retriesPer100ms map[int]int
	maxRunning      int
	tails           [2]tail
}

type tail struct {
	firstTokens []float64
	failed      int
	all         int
}

type router struct {
	picker        *place.Picker
	budgets       map[string]*retry.Budget
	refusalsInRow [engines]int
	openUntil     [engines]float64
}

// Run simulates one seeded run.
func Run(opts Options) Result {
	if opts.QueueWait == 0 {
		opts.QueueWait = queueWaitSeconds
	}
	if opts.Floor == 0 {
		opts.Floor = boundFloor
	}
	r := &run{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 9)), retriesPer100ms: make(map[int]int)}
	for i := range engines {
		r.engines = append(r.engines, &engine{
			index: i, inProgress: make(map[string]int), queue: fair.NewQueue[*job](fair.Options{PerCustomer: queueLimit}),
			bound: admit.NewBound(admit.Options{Multiple: loadMultiple, Floor: opts.Floor, Ceiling: slots}),
		})
	}
	for range routers {
		r.routers = append(r.routers, &router{budgets: make(map[string]*retry.Budget)})
	}
	r.schedule(0, r.refresh)
	for c := range customers {
		r.arrivals(c)
	}
	r.loop()
	return r.result()
}

func (r *run) schedule(at float64, run func(float64)) {
	r.seq++
	heap.Push(&r.events, event{at, r.seq, run})
}

// loop processes events and completed requests in order of time.
func (r *run) loop() {
	for len(r.events) > 0 && r.events[0].at < durationSeconds {
		first, end := -1, r.events[0].at
		for i, e := range r.engines {
			if next := e.nextCompletion(); next <= end {
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
		q := &request{customer: fmt.Sprint(c), createdAt: now, workSeconds: meanWorkSeconds * math.Exp(workSigma*r.rng.NormFloat64()-workSigma*workSigma/2)}
		if r.measured(q) {
			r.created++
		}
		r.try(q, now)
		r.schedule(now+r.rng.ExpFloat64()/rate, arrive)
	}
	r.schedule(r.rng.ExpFloat64()/rate, arrive)
}

func (r *run) measured(q *request) bool { return q.createdAt >= warmUpSeconds }

// refresh gives routers the current loads and agents the mean, and schedules itself again.
func (r *run) refresh(now float64) {
	var candidates []place.Candidate
	sum := 0
	for _, e := range r.engines {
		sum += len(e.running) + e.queue.Len()
		r.maxRunning = max(r.maxRunning, len(e.running))
		candidates = append(candidates, place.Candidate{Host: fmt.Sprint(e.index), Load: float64(len(e.running) + e.queue.Len()), Weight: 1})
	}
	for _, rt := range r.routers {
		view := slices.Clone(candidates)
		for i := range view {
			if rt.openUntil[i] > now {
				view[i].Weight = 0
			}
		}
		rt.picker = place.NewPicker(place.Options{LoadMultiple: loadMultiple, Settings: place.DefaultSettings()}, view)
	}
	for _, e := range r.engines {
		e.bound.ObserveMean(float64(sum)/engines, engines, toDuration(now))
		r.dispatch(e, now)
	}
	r.schedule(now+loadRefreshSeconds, r.refresh)
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// budget returns the retry budget for q.
func (rt *router) budget(opts Options, q *request) *retry.Budget {
	key := ""
	if opts.CustomerBudget {
		key = q.customer
	}
	if rt.budgets[key] == nil {
		rt.budgets[key] = retry.NewBudget(retry.Options{})
	}
	return rt.budgets[key]
}

// try sends one try of the caller: a router makes attempts at agents until one accepts it.
func (r *run) try(q *request, now float64) {
	q.tries++
	q.sentAt = now
	q.job, q.hedge = nil, nil
	rt := r.routers[r.rng.IntN(routers)]
	budget := rt.budget(r.opts, q)
	budget.RecordFirstAttempt()
	var tried []int
	var retryAfter time.Duration
	for made := 1; ; made++ {
		i, ok := rt.picker.Pick(place.Query{Key: r.rng.Uint64(), Tried: tried, Rand: r.rng.Uint64()})
		if !ok {
			break
		}
		last := made == retry.DefaultAttempts || !r.opts.QueueOnLastOnly && !r.opts.NoBudget && !budget.Available()
		j, after := r.submit(r.engines[i], q, now, last)
		rt.recordAttempt(r.opts, i, j != nil, now)
		if j != nil {
			q.job = j
			break
		}
		retryAfter = after
		tried = append(tried, i)
		if made == retry.DefaultAttempts || !r.opts.NoBudget && !budget.Withdraw() {
			break
		}
	}
	if q.job == nil {
		r.refuse(q, retryAfter, now)
		return
	}
	tries := q.tries
	r.schedule(now+deadlineSeconds, func(now float64) { r.expire(q, tries, now) })
	if r.opts.Hedge > 0 {
		r.schedule(now+r.opts.Hedge, func(now float64) { r.hedge(q, tries, rt, now) })
	}
}

// Settings of the breaker: the consecutive refusals that open it, and the seconds for
// which it stays open.
const (
	breakerRefusals    = 5
	breakerOpenSeconds = 5.0
)

func (rt *router) recordAttempt(opts Options, i int, ok bool, now float64) {
	if ok || !opts.Breaker {
		rt.refusalsInRow[i] = 0
		return
	}
	if rt.refusalsInRow[i]++; rt.refusalsInRow[i] >= breakerRefusals {
		rt.refusalsInRow[i], rt.openUntil[i] = 0, now+breakerOpenSeconds
	}
}

// submit sends q to an agent, which runs, queues or refuses it.
func (r *run) submit(e *engine, q *request, now float64, mayQueue bool) (*job, time.Duration) {
	if r.measured(q) {
		r.attempts++
	}
	j := &job{request: q, engine: e, index: -1}
	limit := e.bound.Limit(toDuration(now))
	switch {
	case r.opts.MaxInFlight > 0 && e.inProgress[q.customer] >= r.opts.MaxInFlight:
	case r.opts.Unbounded || e.queue.Len() == 0 && len(e.running) < limit:
		e.inProgress[q.customer]++
		e.start(j, now)
		return j, 0
	case mayQueue:
		id := q.customer
		if r.opts.FIFO {
			id = "all"
		}
		if e.queue.Push(id, 1, 0, 1, 0, j) == nil {
			e.inProgress[q.customer]++
			j.queued = true
			r.schedule(now+r.opts.QueueWait, func(now float64) { r.queueTimeout(j, now) })
			return j, 0
		}
	}
	return nil, r.retryAfter(e, q, now)
}

// retryAfter counts a refusal and computes after which time the caller should retry.
func (r *run) retryAfter(e *engine, q *request, now float64) time.Duration {
	e.refused.Add(toDuration(now))
	waiting := e.queue.LenOf(q.customer)
	if r.opts.CountAllQueues || r.opts.FIFO {
		waiting = e.queue.Len()
	}
	return retry.RetryAfter(retry.Pressure{
		Waiting: waiting, Refused: e.refused.PerSecond(toDuration(now)), DonePerSecond: e.done.PerSecond(toDuration(now)),
	}, r.rng.Uint64())
}

// dispatch starts queued requests up to the load bound.
func (r *run) dispatch(e *engine, now float64) {
	for len(e.running) < e.bound.Limit(toDuration(now)) {
		j, ok := e.queue.Pop()
		if !ok {
			return
		}
		j.queued = false
		e.start(j, now)
	}
}
