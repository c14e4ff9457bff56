package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/queue"
	"dandelionrill.example/fleet/decide/window"
)

const (
	// maxWaiting and maxWaitingBytes bound the queue of one service. A router serves a few
	// hundred requests a second at most, and none waits for more than a few seconds.
	maxWaiting      = 2048
	maxWaitingBytes = 16 << 20
	// queueTick is how often a queue is looked at while requests wait: the loads of other
	// routers change without an event here.
	queueTick = 20 * time.Millisecond
	// fullPause is how long an upstream that refused a request since it is full gets no
	// others: several slots of it are free by then. The pause doubles up to maxFullPause while
	// it accepts none.
	fullPause    = 60 * time.Millisecond
	maxFullPause = 480 * time.Millisecond
)

// Reasons of refusals by the queue, also counted.
const (
	reasonPredictedWait = "the predicted wait exceeds the time of the request"
	reasonQueueFull     = "the queue of the service is full"
	reasonDisplaced     = "displaced from the queue by a more urgent request or a customer with fewer waiting"
	reasonWaitedTooLong = "waited for capacity until too little time was left"
	reasonStopping      = "router is stopping"
)

// queueCounts are the names in the counters of refusals.
var queueCounts = map[string]string{
	reasonPredictedWait: "refused_predicted", reasonQueueFull: "refused_length", reasonDisplaced: "refused_displaced",
	reasonWaitedTooLong: "refused_waited", reasonStopping: "refused_stopping",
}

// queues holds the queue of each service. All methods may be called concurrently.
type queues struct {
	start    time.Time
	mu       sync.Mutex
	services map[string]*serviceQueue
}

func newQueues() *queues {
	return &queues{start: time.Now(), services: make(map[string]*serviceQueue)}
}

// now returns the monotonic time since the start.
func (q *queues) now() time.Duration { return time.Since(q.start) }

// of returns the queue of a service.
func (q *queues) of(g *Gateway, service string) *serviceQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{
			gateway: g, service: service, full: make(map[catalog.Key]fullUpstream),
			waiting: queue.New[*turn](queue.Options{
				MaxLength: maxWaiting, MaxBytes: maxWaitingBytes, Use: func(customer string) (used, perRequest float64) {
					used, perRequest, _ = g.board.customerUse(customerKey(service, customer))
					return used, perRequest
				},
			}),
		}
		q.services[service] = s
	}
	return s
}

// serviceQueue holds the requests that wait at this router for capacity of one service.
type serviceQueue struct {
	gateway *Gateway
	service string

	choosing sync.Mutex // held while a request with a turn chooses its upstream

	mu      sync.Mutex
	waiting *queue.Queue[*turn]
	window  window.Window
	full    map[catalog.Key]fullUpstream
	ticking bool
}

// fullUpstream is an upstream that said that it is full, and has accepted nothing since.
type fullUpstream struct {
	until time.Duration // it gets nothing before
	pause time.Duration // the last one
}

// turn is the place of one request in the window of its service. Its methods are called by the
// goroutine that handles the request. A nil turn is that of a request that is not queued.
type turn struct {
	queue     *serviceQueue
	refusedBy []catalog.Key // upstreams that were full
	entry     queue.Entry[*turn]
	held      bool // counts in the window
	begun     time.Duration
	customer  uint32      // key of its use
	decided   chan string // receives the reason of a refusal, or nothing for a turn
	waited    time.Duration
}

// queued reports whether requests like this one wait in the queue of their service.
func (g *Gateway) queued(req *request) bool {
	return g.policy.Load().Queue && len(req.Parts) == 0 && !req.route.NamesPromptParts && !req.route.IsStream()
}

// awaitTurn waits until the request may be sent. ok is false if it was refused, or if it ended
// while it waited; e is its end then.
func (g *Gateway) awaitTurn(ctx context.Context, req *request) (e end, ok bool) {
	if req.turn == nil {
		if !g.queued(req) {
			return end{}, true
		}
		req.turn = g.newTurn(req)
	}
	t := req.turn
	switch {
	case t.held:
		return end{}, true
	case len(req.sends) > 0 && !req.neverRan():
		t.queue.take(t) // its retry does not wait: an end while it waits would be a failure
		return end{}, true
	}
	reason, decided := t.queue.enter(t, req)
	if !decided {
		reason = t.wait(ctx)
	}
	switch {
	case reason == "":
		return end{}, true
	case reason == reasonCallerLeft:
		g.metrics.queue.Add("caller_left", 1)
		return end{kind: endCallerLeft, reason: "caller left"}, false
	}
	g.metrics.queue.Add(queueCounts[reason], 1)
	req.queueRefusal = queueCounts[reason]
	return g.refuse(req, reason, t.queue.retryAfter(t, req)), false
}

// reasonCallerLeft is the end of a wait whose caller left.
const reasonCallerLeft = "caller left"

func (g *Gateway) newTurn(req *request) *turn {
	s := g.queues.of(g, req.service)
	t := &turn{queue: s, decided: make(chan string, 1)}
	t.entry = queue.Entry[*turn]{Item: t, Urgency: req.route.Priority, Bytes: int64(len(req.body))}
	if req.customer != nil {
		t.entry.Customer = req.customer.Name
		if req.customer.Priority != nil {
			t.entry.Urgency = *req.customer.Priority
		}
	}
	t.customer = customerKey(req.service, t.entry.Customer)
	return t
}

// wait waits until the turn is granted or refused. It returns the reason of a refusal.
func (t *turn) wait(ctx context.Context) string {
	begun := t.queue.gateway.queues.now()
	defer func() { t.waited += t.queue.gateway.queues.now() - begun }()
	select {
	case reason := <-t.decided:
		if reason != "" || ctx.Err() == nil && t.queue.gateway.running.Err() == nil {
			return reason
		}
		t.end(resultTurnUnused) // nothing is sent for a request that has ended
		return t.ended(ctx)
	case <-ctx.Done():
	}
	if !t.queue.leave(t) {
		if reason := <-t.decided; reason != "" {
			return reason
		}
		t.end(resultTurnUnused)
	}
	return t.ended(ctx)
}

// ended returns why a request has ended that waits.
func (t *turn) ended(ctx context.Context) string {
	switch {
	case t.queue.gateway.running.Err() != nil, context.Cause(ctx) == errStopping:
		return reasonStopping
	case context.Cause(ctx) == context.DeadlineExceeded:
		return reasonWaitedTooLong
	}
	return reasonCallerLeft
}

// enter gives the turn at once if there is room and nobody waits, refuses it, or puts it into
// the queue; decided is false then.
func (s *serviceQueue) enter(t *turn, req *request) (reason string, decided bool) {
	g := s.gateway
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.queues.now()
	pool := s.pool(now)
	returning := len(req.sends) > 0
	if pool.unknown || s.waiting.Len() == 0 && !returning && pool.available && s.window.Allows(now, pool.view, s.preferred(t)) {
		s.begin(t, now)
		g.metrics.queue.Add("at_once", 1)
		return "", true
	}
	s.setTimes(t, req, now)
	if returning {
		g.metrics.queue.Add("returned", 1)
		s.waiting.PushFront(&t.entry)
		s.tick(now)
		return "", false
	}
	admission := s.admit(t, now, pool)
	if !admission.Admitted {
		return reasonPredictedWait, true
	}
	displaced, ok := s.waiting.Push(&t.entry, admission.Late)
	for _, e := range displaced {
		e.Item.decided <- reasonDisplaced
	}
	if !ok {
		return reasonQueueFull, true
	}
	if admission.Late {
		g.metrics.queue.Add("waited_late", 1)
	}
	g.metrics.queue.Add("waited", 1)
	s.window.SetBacklog(now, true)
	s.tick(now)
	return "", false
}

// setTimes sets until when the turn is timely, and until when it is of use. s.mu must be held.
func (s *serviceQueue) setTimes(t *turn, req *request, now time.Duration) {
	took := s.window.Took()
	t.entry.Latest = now + s.gateway.longestWait(req) - took
	t.entry.Due = t.entry.Latest
	if target := req.route.LatencyTarget; target > 0 {
		t.entry.Due = min(t.entry.Due, now+target-time.Since(req.arrived)-took*3/2)
	}
}

// admit decides whether a turn that is not in the queue is admitted. s.mu must be held.
func (s *serviceQueue) admit(t *turn, now time.Duration, pool poolState) queue.Admission {
	rate := s.window.Rate(now, pool.view)
	if s.preferred(t) {
		rate *= window.PreferredFactor
	}
	return s.waiting.Admit(&t.entry, now, max(0, pool.availableAt-now), rate)
}

// preferred reports whether the customer of a turn uses less than its share of the service.
func (s *serviceQueue) preferred(t *turn) bool {
	_, _, low := s.gateway.board.customerUse(t.customer)
	return low
}

// longestWait returns how long a request may wait for its turn, until its deadline or until a
// stopping router refuses it.
func (g *Gateway) longestWait(req *request) time.Duration {
	_, send := g.latestInDrain(req.route, req.deadline)
	return min(time.Until(req.deadline), send) - minAttemptTime
}

// retryAfter returns the Retry-After of a refusal.
func (s *serviceQueue) retryAfter(t *turn, req *request) time.Duration {
	if s.gateway.draining.Load() != nil {
		return retryAfterShort // another router takes it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gateway.queues.now()
	return queue.RetryAfter(s.admit(t, now, s.pool(now)).Wait, time.Until(req.deadline), rand.Float64())
}

// take gives the turn whatever the window.
func (s *serviceQueue) take(t *turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(t, s.gateway.queues.now())
}

// begin counts the turn in the window. s.mu must be held.
func (s *serviceQueue) begin(t *turn, now time.Duration) {
	t.held, t.begun = true, now
	s.window.Begin(now)
	s.gateway.board.RecordCustomerUse(t.customer)
}

// leave removes the turn from the queue, and reports whether it was there.
func (s *serviceQueue) leave(t *turn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.waiting.Remove(&t.entry)
	s.grant(s.gateway.queues.now())
	return removed
}

// grant gives turns to the requests that wait, as far as the window allows, and refuses those
// that have waited too long. s.mu must be held.
func (s *serviceQueue) grant(now time.Duration) {
	if s.waiting.Len() == 0 {
		s.window.SetBacklog(now, false)
		return
	}
	for _, e := range s.waiting.Expire(now) {
		e.Item.decided <- reasonWaitedTooLong
	}
	pool := s.pool(now)
	for {
		e, ok := s.waiting.Pop(func(e *queue.Entry[*turn]) bool {
			return pool.unknown || pool.available && s.window.Allows(now, pool.view, s.preferred(e.Item))
		})
		if !ok {
			break
		}
		s.begin(e.Item, now)
		e.Item.decided <- ""
	}
	s.window.SetBacklog(now, s.waiting.Len() > 0)
}

// tick makes the queue be looked at again soon, until no request waits. s.mu must be held.
func (s *serviceQueue) tick(now time.Duration) {
	s.grant(now)
	if s.ticking || s.waiting.Len() == 0 {
		return
	}
	s.ticking = true
	time.AfterFunc(queueTick, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ticking = false
		s.tick(s.gateway.queues.now())
	})
}
