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
	// maxFailedDials limits how many upstreams one request may fail to reach.
	maxFailedDials = 4
	// minAttemptTime is the least time left to the deadline for which another
	// attempt is worthwhile.
	minAttemptTime = 20 * time.Millisecond
	// refusalBackoff is how long an upstream that refused a request gets no new
	// ones.
	refusalBackoff = 100 * time.Millisecond
	// wrongAddressBackoff is how long an upstream whose address now belongs to
	// another one gets no requests; by then the catalog is up to date.
	wrongAddressBackoff = 10 * time.Second
)

// attempts tracks the sends of one request.
type attempts struct {
	tried       map[catalog.Key]bool
	sent        int // sends that reached an upstream
	failedDials int // upstreams that could not be reached
	// retryReserved is true if the next retry is already withdrawn from the
	// budget.
	retryReserved bool
	// reserved is the upstream for the next send; nil if it is not chosen yet.
	reserved *target
	// avoidsLimited excludes the upstreams that name a limit.
	avoidsLimited bool
	// avoidsCold excludes the upstreams that are cold.
	avoidsCold bool
	// permitWait is how long the request has waited for permits.
	permitWait time.Duration
}

// hasTried reports whether the request was sent to the upstream whose key has the short hash.
func (a *attempts) hasTried(upstream uint32) bool {
	for key := range a.tried {
		if key.Sum() == upstream {
			return true
		}
	}
	return false
}

// dispatch sends a request to one upstream after another until it has ended.
func (g *Gateway) dispatch(ctx context.Context, w http.ResponseWriter, req *request) end {
	g.depositRetry(req.service)
	a := &attempts{tried: make(map[catalog.Key]bool)}
	defer func() { req.turn.end(resultTurnUnused) }()
	for {
		if e, ok := g.awaitTurn(ctx, req); !ok {
			return e
		}
		chosen, ok := g.reserve(ctx, req, a)
		if !ok && req.turn.forgetRefusals(a.tried) {
			chosen, ok = g.reserve(ctx, req, a)
		}
		if !ok {
			if req.headWritten && g.awaitPermit(ctx, req, a) {
				continue
			}
			return g.endWithoutUpstream(req, a)
		}
		if !req.stop.passOn() {
			g.unreserve(&chosen)
			return refusedStopping()
		}
		if len(req.sends) == 0 {
			g.recordDrainElapsed(req)
		}
		e, failure := g.attempt(ctx, w, req, chosen, a)
		if failure == 0 {
			return e
		}
		if !g.allowRetry(req, a, failure) {
			return g.endWithoutRetry(ctx, req, e, failure)
		}
		if !req.headWritten && req.neverRan() {
			req.stop.waitAgain()
		}
	}
}

// afterDelivery returns the end of a request in view of what was delivered: an answer of
// which part was delivered is cut, since anything else would make it look complete.
func (req *request) afterDelivery(e end) end {
	if req.headWritten && e.kind != endAnswered && e.kind != endCallerLeft {
		return end{kind: endCut, reason: e.reason, cause: e.cause}
	}
	return e
}

// endWithoutUpstream returns the end of a request for which no upstream is left.
func (g *Gateway) endWithoutUpstream(req *request, a *attempts) end {
	switch {
	case req.headWritten:
		return end{kind: endCut, reason: "no other upstream to continue the stream"}
	case a.sent > 0 && !req.neverRan():
		return failed(http.StatusBadGateway, "no other upstream to try")
	}
	if id, blocked := g.blockedBy(req); blocked {
		return req.refuseBlocked(id)
	}
	if e, refuses := g.refusesExcluded(req); refuses {
		return e
	}
	if left, limited := g.limitEnd(req, a); limited {
		return g.refuseLimited(left)
	}
	if req.memoryFull {
		g.metrics.memoryFull.Add(1)
		return g.refuse(req, "the memory of the service's upstreams is full", retryAfterUnknown)
	}
	if req.version.bound {
		return g.versionGone(req)
	}
	return g.refuse(req, "no upstream of the service is available", retryAfterUnknown)
}

// neverRan reports whether no send of the request so far can have run.
func (req *request) neverRan() bool {
	for _, s := range req.sends {
		switch s.result {
		case resultRefused, resultUnwritable, forward.NotSent.String():
		default:
			return false
		}
	}
	return true
}

// allowRetry reports whether a request may be sent to another upstream. If so, it
// withdraws the retry from the budget, unless reserveRetry already has or no send
// has reached an upstream yet.
func (g *Gateway) allowRetry(req *request, a *attempts, failure retry.Failure) bool {
	made := a.sent
	if failure == retry.FailureNotSent {
		made = 0 // nothing was sent; failed dials have their own limit
		if a.failedDials >= maxFailedDials {
			return false
		}
	}
	decision := retry.Decide(retry.Attempt{
		Failure:      failure,
		Idempotent:   req.route.Repeatable(),
		Resumable:    req.route.IsStream() && req.route.Resumable,
		Attempts:     made,
		Limit:        req.route.MaxAttempts,
		Remaining:    time.Until(req.deadline),
		MinRemaining: minAttemptTime,
	})
	if decision != retry.DecisionRetry || !req.canContinue() || failure != retry.FailureNotSent && g.crashes.Suspected(req.ids, a.hasTried) {
		return false
	}
	if a.retryReserved || failure == retry.FailureNotSent && a.sent == 0 {
		a.retryReserved = false
		return true
	}
	req.retryDenied = !g.withdrawRetry(req.service)
	return !req.retryDenied
}

// endWithoutRetry returns the end of a request that is not retried.
func (g *Gateway) endWithoutRetry(ctx context.Context, req *request, e end, failure retry.Failure) end {
	switch {
	case req.headWritten:
		return end{kind: endCut, reason: e.reason, cause: e.cause}
	case req.http.Context().Err() != nil:
		return end{kind: endCallerLeft, reason: "caller left"}
	case failure == retry.FailureNotSent || failure == retry.FailureRefused:
		if !req.neverRan() {
			e.kind, e.status, e.retryAfter = endFailed, http.StatusBadGateway, 0
			return e
		}
		refusal := g.refuse(req, e.reason, retryAfterShort)
		refusal.cause = e.cause
		return refusal
	case ctx.Err() != nil:
		return g.interrupted()
	}
	return e
}
