package agent

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/wire"
)

// gate admits work to the upstream: up to the load bound at once, the rest in
// bounded queues that customers share by weight.
type gate struct {
	mu       sync.Mutex
	bound    *admit.Bound
	queue    *fair.Queue[*waiter]
	held     map[string]int // running and queued requests by customer
	running  int
	tokens   int
	started  time.Time
	maxRun   int
	maxQueue int
	done     retry.Meter // requests that ran and ended
	refused  retry.Meter
}

// waiter is one request at the gate. ready is closed once it may run.
type waiter struct {
	customer string
	tokens   int
	ready    chan struct{}
	admitted bool
}

func newGate(bound *admit.Bound, queue *fair.Queue[*waiter], maxRun, maxQueue int) *gate {
	return &gate{
		bound:    bound,
		queue:    queue,
		held:     make(map[string]int),
		started:  time.Now(),
		maxRun:   maxRun,
		maxQueue: maxQueue,
	}
}

// enter admits or queues a request, or returns the reason of a refusal.
func (g *gate) enter(c *config.Customer, args *wire.SubmitArgs) (*waiter, wire.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.MaxInFlight > 0 && g.held[c.ID] >= c.MaxInFlight {
		return nil, wire.ReasonCustomerLimit
	}
	w := &waiter{customer: c.ID, tokens: args.PromptLoad, ready: make(chan struct{})}
	if g.queue.Len() == 0 && g.running < g.limit() {
		g.held[c.ID]++
		g.admit(w)
		return w, ""
	}
	if !args.MayQueue {
		return nil, wire.ReasonOverload
	}
	limit := c.MaxQueued
	if limit == 0 {
		limit = g.maxQueue
	}
	if err := g.queue.Push(c.ID, max(1, c.Weight), args.Priority, 1+args.PromptLoad, limit, w); err != nil {
		return nil, wire.ReasonQueueFull
	}
	g.held[c.ID]++
	g.dispatch()
	return w, ""
}

// leave gives up w's place, running or queued.
func (g *gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		g.running--
		g.tokens -= w.tokens
		g.done.Add(g.now())
	} else {
		g.queue.Remove(func(o *waiter) bool { return o == w })
	}
	if g.held[w.customer]--; g.held[w.customer] <= 0 {
		delete(g.held, w.customer)
	}
	g.dispatch()
}

// now returns the gate's monotonic time.
func (g *gate) now() time.Duration { return time.Since(g.started) }

// observeMean takes a report of the mean load of the service's upstreams, every
// part of which was true within age.
func (g *gate) observeMean(mean float64, replicas int, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound.ObserveMean(mean, replicas, g.now()-age)
	g.dispatch()
}

// setPool takes the number of the service's upstreams.
func (g *gate) setPool(replicas int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound.SetPool(replicas)
	g.dispatch()
}

// setMultiple takes the load multiple of the configuration in force.
func (g *gate) setMultiple(multiple float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound.SetMultiple(multiple)
}

// refuse counts a refusal and returns when the customer's caller should come
// back: its own queue counts, not those of others.
func (g *gate) refuse(customer string, random uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refused.Add(now)
	return retry.RetryAfter(retry.Pressure{
		Waiting:       g.queue.LenOf(customer),
		Refused:       g.refused.PerSecond(now),
		DonePerSecond: g.done.PerSecond(now),
	}, random)
}

// load returns what the agent reports of its upstream.
func (g *gate) load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{
		InFlight: g.running,
		Queued:   g.queue.Len(),
		Tokens:   g.tokens,
		Mean:     g.bound.Mean(),
		Bound:    g.limit(),
	}
}

// limit returns the most requests that may run now. The caller holds mu.
func (g *gate) limit() int {
	return min(g.maxRun, g.bound.Limit(g.now()))
}

// dispatch admits queued requests up to the limit. The caller holds mu.
func (g *gate) dispatch() {
	for g.running < g.limit() {
		w, ok := g.queue.Pop()
		if !ok {
			return
		}
		g.admit(w)
	}
}

// admit lets w run. The caller holds mu.
func (g *gate) admit(w *waiter) {
	g.running++
	g.tokens += w.tokens
	w.admitted = true
	close(w.ready)
}
