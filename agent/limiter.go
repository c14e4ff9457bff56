package agent

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/wire"
)

// limiter limits the requests that run on the upstream at once to the load bound.
// Further requests wait in bounded queues, one per customer, which are served by
// weight. Requests beyond the rate that the upstream names are refused.
type limiter struct {
	mu          sync.Mutex
	bound       *admit.Bound
	queue       *fair.Queue[*waiter]
	outstanding map[string]int // running and queued requests by customer
	running     int
	tokens      int
	started     time.Time
	maxRunning  int
	maxQueued   int
	completions retry.Meter // requests that ran and ended
	refusals    retry.Meter
	named       limit.Statement // on the requests a second that the upstream takes
	permits     limit.Bucket
}

// waiter is one request at the limiter. ready is closed when it may run.
type waiter struct {
	customer string
	tokens   int
	ready    chan struct{}
	admitted bool
}

func newLimiter(bound *admit.Bound, queue *fair.Queue[*waiter], maxRun, maxQueue int) *limiter {
	return &limiter{
		bound:       bound,
		queue:       queue,
		outstanding: make(map[string]int),
		started:     time.Now(),
		maxRunning:  maxRun,
		maxQueued:   maxQueue,
	}
}

// acquire admits or queues a request, or returns the reason for refusing it.
func (l *limiter) acquire(c *config.Customer, args *wire.SubmitArgs) (*waiter, wire.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.MaxInFlight > 0 && l.outstanding[c.ID] >= c.MaxInFlight {
		return nil, wire.ReasonCustomerLimit
	}
	w := &waiter{customer: c.ID, tokens: args.PromptLoad, ready: make(chan struct{})}
	mayRun := l.queue.Len() == 0 && l.running < l.limit()
	if !mayRun && !args.MayQueue || !l.takePermit() {
		return nil, wire.ReasonOverload
	}
	if mayRun {
		l.outstanding[c.ID]++
		l.admit(w)
		return w, ""
	}
	maxQueued := c.MaxQueued
	if maxQueued == 0 {
		maxQueued = l.maxQueued
	}
	if err := l.queue.Push(c.ID, max(1, c.Weight), args.Priority, 1+args.PromptLoad, maxQueued, w); err != nil {
		return nil, wire.ReasonQueueFull
	}
	l.outstanding[c.ID]++
	l.dispatch()
	return w, ""
}

// takePermit reports whether the rate that the upstream names allows another request, and
// counts it. The caller holds mu.
func (l *limiter) takePermit() bool {
	if !l.named.Limited {
		return true
	}
	granted, _ := l.permits.Take(l.now(), l.named.Rate)
	return granted
}

// observeLimit records what an answer says of the upstream's limit, and reports whether a
// limit begins or ends by it.
func (l *limiter) observeLimit(named limit.Named) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, _ := l.named.After(l.now(), named)
	changed = next.Limited != l.named.Limited
	l.named = next
	return changed
}

// release frees the slot of w, or removes w from the queue if it was not
// admitted.
func (l *limiter) release(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.admitted {
		l.running--
		l.tokens -= w.tokens
		l.completions.Add(l.now())
	} else {
		l.queue.Remove(func(o *waiter) bool { return o == w })
	}
	if l.outstanding[w.customer]--; l.outstanding[w.customer] <= 0 {
		delete(l.outstanding, w.customer)
	}
	l.dispatch()
}

// now returns the monotonic time since the limiter was created.
func (l *limiter) now() time.Duration { return time.Since(l.started) }

// observeMean records a report of the mean load of the service's upstreams. No
// part of the report is older than age.
func (l *limiter) observeMean(mean float64, replicas int, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound.ObserveMean(mean, replicas, l.now()-age)
	l.dispatch()
}

// setReplicas sets the number of the service's upstreams.
func (l *limiter) setReplicas(replicas int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound.SetPool(replicas)
	l.dispatch()
}

// setMultiple sets the load multiple from the configuration in force.
func (l *limiter) setMultiple(multiple float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound.SetMultiple(multiple)
}

// recordRefusal counts a refusal and returns the delay after which the caller
// should retry. Of the queues, only the customer's own affects the delay.
func (l *limiter) recordRefusal(customer string, random uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.refusals.Add(now)
	return retry.RetryAfter(retry.Pressure{
		Waiting:       l.queue.LenOf(customer),
		Refused:       l.refusals.PerSecond(now),
		DonePerSecond: l.completions.PerSecond(now),
	}, random)
}

// load returns the load that the agent reports for its upstream.
func (l *limiter) load() wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return wire.Load{
		InFlight: l.running,
		Queued:   l.queue.Len(),
		Tokens:   l.tokens,
		Mean:     l.bound.Mean(),
		Bound:    l.limit(),
	}
}

// limit returns how many requests may run at once now. The caller holds mu.
func (l *limiter) limit() int {
	return min(l.maxRunning, l.bound.Limit(l.now()))
}

// dispatch admits queued requests up to the limit. The caller holds mu.
func (l *limiter) dispatch() {
	for l.running < l.limit() {
		w, ok := l.queue.Pop()
		if !ok {
			return
		}
		l.admit(w)
	}
}

// admit counts w as running and signals that it may run. The caller holds mu.
func (l *limiter) admit(w *waiter) {
	l.running++
	l.tokens += w.tokens
	w.admitted = true
	close(w.ready)
}
