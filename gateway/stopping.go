package gateway

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/routing"
	"github.com/cockroachdb/errors"
)

// errStopping is the cause with which a stopWatch ends the context of a request.
var errStopping = errors.New(reasonStopping)

// refusedStopping returns the end of a request that a graceful shutdown leaves too little time.
func refusedStopping() end { return refused(reasonStopping, retryAfterShort) }

// exceedsDrainTime reports whether a graceful shutdown leaves too little time for a request
// whose head has arrived.
func (g *Gateway) exceedsDrainTime(req *request) bool {
	drain := g.draining.Load()
	return drain != nil && !admit.FitsDrain(g.drainWork(req.route, req.deadline), time.Since(drain.started), drain.limit)
}

// latestInDrain returns in what time the end of a request to a route has to arrive, and in what time it
// has to be passed on, to be served in a graceful shutdown.
func (g *Gateway) latestInDrain(route *routing.Route, deadline time.Time) (arrival, send time.Duration) {
	drain := g.draining.Load()
	if drain == nil {
		return math.MaxInt64, math.MaxInt64
	}
	elapsed := time.Since(drain.started)
	arrival, send = admit.LatestInDrain(g.drainWork(route, deadline), elapsed, drain.limit)
	return arrival - elapsed, send - elapsed
}

func (g *Gateway) drainWork(route *routing.Route, deadline time.Time) admit.Work {
	slowest, answers := g.slowest.slowest(route.Name, time.Now())
	return admit.Work{Timeout: time.Until(deadline), Expected: slowest, Answers: answers, Streams: route.IsStream()}
}

// stopWatch refuses a request that has not been passed on once a graceful shutdown leaves too
// little time for it, whatever it waits for: the rest of its body, the version of its stream,
// its turn, or a permit. All methods may be called concurrently.
type stopWatch struct {
	gateway *Gateway
	cancel  context.CancelCauseFunc // ends the context of the request
	detach  func() bool             // from the beginning of the shutdown
	// interrupt ends the read of the body. The connection must be closed after the response.
	interrupt func()

	mu       sync.Mutex
	phase    stopPhase
	timer    *time.Timer    // nil before the shutdown
	route    *routing.Route // of the request
	deadline time.Time      // of the request
}

// stopPhase is the state of a stopWatch.
type stopPhase uint8

const (
	phaseArriving stopPhase = iota // the body is being read
	phaseArrived                   // the request waits to be passed on
	phasePassedOn                  // an upstream may run it, or it has ended
	phaseRefused
)

// watchStop begins to watch a request, and returns the context that ends if it is refused. The
// watch must be ended.
func (g *Gateway) watchStop(w http.ResponseWriter, req *request) context.Context {
	ctx, cancel := context.WithCancelCause(req.http.Context())
	watch := &stopWatch{gateway: g, cancel: cancel, route: req.route, deadline: req.deadline, interrupt: func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only for readers that cannot block
	}}
	req.stop = watch
	watch.detach = context.AfterFunc(g.drainBegun, func() {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		watch.check()
	})
	return ctx
}

// check refuses the request if it is too late for it, and otherwise schedules the next check.
// w.mu must be held.
func (w *stopWatch) check() {
	if w.phase >= phasePassedOn || w.gateway.draining.Load() == nil {
		return
	}
	left, send := w.gateway.latestInDrain(w.route, w.deadline)
	if w.phase == phaseArrived {
		left = send
	}
	switch {
	case left < 0:
		if w.phase == phaseArriving {
			w.interrupt()
		}
		w.phase = phaseRefused
		w.cancel(errStopping)
	case w.timer == nil:
		w.timer = time.AfterFunc(left+1, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.check()
		})
	default:
		w.timer.Reset(left + 1)
	}
}

// arrived tells the watch that the whole request has been read, and its route and deadline, which
// a newer configuration may have changed. It returns false if the request is refused.
func (w *stopWatch) arrived(route *routing.Route, deadline time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.route, w.deadline = route, deadline
	w.check()
	if w.phase == phaseArriving {
		w.phase = phaseArrived
		w.check()
	}
	return w.phase != phaseRefused
}

// passOn tells the watch that the request is about to be passed on. It returns false if the
// request is refused.
func (w *stopWatch) passOn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check()
	if w.phase != phaseRefused {
		w.phase = phasePassedOn
	}
	return w.phase != phaseRefused
}

// waitAgain tells the watch that no upstream has run the request, which is to be passed on
// again.
func (w *stopWatch) waitAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseArrived
	w.check()
}

// hasRefused reports whether the request is refused.
func (w *stopWatch) hasRefused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase == phaseRefused
}

// end ends the watch and the context of the request.
func (w *stopWatch) end() {
	w.detach()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase != phaseRefused {
		w.phase = phasePassedOn
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// recordBodyRead records that the body of a request has been read.
func (req *request) recordBodyRead() {
	if len(req.body) > 0 {
		req.bodyRead = time.Since(req.arrived)
	}
}

// recordDrainElapsed records for a request how long a graceful shutdown has lasted.
func (g *Gateway) recordDrainElapsed(req *request) {
	if drain := g.draining.Load(); drain != nil {
		req.drainElapsed = time.Since(drain.started)
	}
}
