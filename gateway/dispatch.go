package gateway

import (
	"context"
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
)

const (
	// maxDials bounds the upstreams that one request tries to reach.
	maxDials = 4
	// leastUseful is the shortest time in which another attempt can be of use.
	leastUseful = 20 * time.Millisecond
	// holdFull is how long an upstream that is full takes no new work.
	holdFull = 100 * time.Millisecond
	// holdWrong is how long an address that another upstream has is left out; by
	// then the catalog shows it.
	holdWrong = 10 * time.Second
)

// attempts is the state of a request over its sends.
type attempts struct {
	tried map[catalog.Key]bool
	made  int // sends that reached an upstream
	dials int // upstreams that could not be reached
	// reserved tells that the next repeat is already taken from the budget.
	reserved bool
}

// dispatch sends a request to upstreams until it has an end.
func (g *Gateway) dispatch(ctx context.Context, w http.ResponseWriter, req *request) end {
	g.deposit(req.service)
	a := &attempts{tried: make(map[catalog.Key]bool)}
	for {
		chosen, ok := g.choose(req, a)
		if !ok {
			return g.unreachable(req, a)
		}
		e, failure := g.attempt(ctx, w, req, chosen, a)
		if failure == 0 {
			return e
		}
		if !g.again(req, a, failure) {
			return g.giveUp(ctx, req, e, failure)
		}
	}
}

// unreachable is the end of a request for which no upstream is left.
func (g *Gateway) unreachable(req *request, a *attempts) end {
	switch {
	case req.begun:
		return end{kind: endCut, reason: "no other upstream to go on at"}
	case a.made > 0 && !req.neverRan():
		return failed(http.StatusBadGateway, "no other upstream to try")
	}
	return refused("no upstream of the service is available", retryUnknown)
}

// neverRan tells whether no send of the request can have run so far.
func (req *request) neverRan() bool {
	for _, s := range req.sends {
		if s.result != resultRefused && s.result != forward.NotSent.String() {
			return false
		}
	}
	return true
}

// again tells whether a request may be sent to another upstream, and takes it
// from the budget of repeats.
func (g *Gateway) again(req *request, a *attempts, failure retry.Failure) bool {
	made := a.made
	if failure == retry.FailureNotSent {
		made = 0 // nothing arrived anywhere; the dials are bounded by themselves
		if a.dials >= maxDials {
			return false
		}
	}
	decision := retry.Decide(retry.Attempt{
		Failure:    failure,
		Idempotent: req.route.Repeatable(),
		Resumes:    req.route.Streams() && req.route.Resumable,
		Made:       made,
		Limit:      req.route.MaxAttempts,
		Left:       time.Until(req.deadline),
		Need:       leastUseful,
	})
	if decision != retry.DecisionRetry {
		return false
	}
	if a.reserved || failure == retry.FailureNotSent && a.made == 0 {
		a.reserved = false
		return true
	}
	return g.withdraw(req.service)
}

// giveUp is the end of a request that is not sent again.
func (g *Gateway) giveUp(ctx context.Context, req *request, e end, failure retry.Failure) end {
	switch {
	case req.begun:
		return end{kind: endCut, reason: e.reason}
	case req.http.Context().Err() != nil:
		return end{kind: endLeft, reason: "caller left"}
	case failure == retry.FailureNotSent || failure == retry.FailureRefused:
		if !req.neverRan() {
			return failed(http.StatusBadGateway, e.reason)
		}
		return refused(e.reason, retrySoon)
	case ctx.Err() != nil:
		return failed(http.StatusGatewayTimeout, "timeout")
	}
	return e
}
