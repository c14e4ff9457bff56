package gateway

import (
	"context"
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// attempt sends the request to one upstream and delivers its answer, or that of a standby
// attempt that took over. failure is 0 if the request has ended.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure) {
	s := g.beginSend(ctx, t, a)
	for {
		watch := g.watchSilence(ctx, req, s, a)
		e, failure, result := g.exchange(ctx, w, req, s, a, watch)
		next := watch.stop(failure != 0)
		g.endSend(req, s, a, failure, result)
		switch {
		case next == nil:
			return e, failure
		case failure == 0: // the caller left, or the request timed out
			next.response.Close(false)
			g.endSend(req, next, a, retry.FailureMayHaveRun, resultNotNeeded)
			return e, failure
		}
		s = next
	}
}

// exchange sends the request, unless the send is already open, and acts on the answer.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, req *request, s *send, a *attempts, watch *standbyWatch) (e end, failure retry.Failure, result string) {
	defer g.recoverExchange(req, s, &e, &failure, &result)
	if s.response == nil {
		if e, failure, result := g.open(ctx, req, s); failure != 0 || e.kind != 0 {
			return e, failure, result
		}
		if e, failure, result := g.screen(req, s); failure != 0 {
			return e, failure, result
		}
		if s.response.Status >= http.StatusInternalServerError && watch.hasStandby() {
			s.drain()
			return failed(http.StatusBadGateway, "upstream failed"), retry.FailureMayHaveRun, resultUpstreamFailure
		}
	}
	if !watch.proceed() {
		s.response.Close(false)
		return g.superseded(req, s)
	}
	response := s.response
	switch {
	case response.Status >= http.StatusInternalServerError && !req.headWritten && g.reserveRetry(ctx, req, a):
		s.drain()
		return failed(http.StatusBadGateway, "upstream failed"), retry.FailureMayHaveRun, resultUpstreamFailure
	case req.headWritten && response.Status >= http.StatusMultipleChoices:
		s.drain()
		return end{kind: endCut, reason: "upstream did not continue the stream"}, retry.FailureMayHaveRun, resultUpstreamFailure
	}
	return g.deliver(ctx, w, req, s, watch)
}

// open sends the request and reads the head of the answer. If there is none, it returns
// how the send ended.
func (g *Gateway) open(ctx context.Context, req *request, s *send) (end, retry.Failure, string) {
	for _, part := range req.parts {
		g.prompts.RecordSend(Placement{Part: part, At: s.key()})
	}
	response, err := g.pool.Send(s.ctx, s.target.upstream.Address, g.upstreamRequest(req, s.target))
	if err != nil {
		return g.sendFailed(ctx, req, s, err)
	}
	g.recordActivity(s.key())
	s.response, s.body = response, response
	s.record.framing = response.Framing
	if req.route.IsStream() && response.Status < http.StatusMultipleChoices {
		s.events = newEventReader(response, &s.held)
		if req.headWritten {
			position := req.position()
			s.events.after = &position
		}
	}
	return end{}, 0, ""
}

// screen acts on an answer that is not the upstream's answer to the request: a refusal, or
// one that is not valid. failure is 0 for all others.
func (g *Gateway) screen(req *request, s *send) (end, retry.Failure, string) {
	key, response := s.key(), s.response
	answer := g.readAnswer(key, response)
	if !answer.WrongHost {
		g.crashes.RecordAlive(key.Sum(), time.Since(s.start))
	}
	if answer.Signed && len(req.parts) == 0 {
		g.board.RecordAnswer(key, response.Status >= http.StatusInternalServerError)
	}
	switch {
	case answer.NotRun:
		s.drain()
		if answer.WrongHost {
			g.board.BackOff(key, wrongAddressBackoff)
			g.logOutOfPlacement(key, wrongAddressBackoff, "its address belongs to another upstream")
		} else {
			g.board.BackOff(key, refusalBackoff)
			if response.Status == http.StatusServiceUnavailable && !answer.Leaving && !s.record.standby {
				req.turn.refusedAsFull(key)
			}
		}
		return refused("upstream refused", retryAfterShort), retry.FailureRefused, resultRefused
	case answer.Encoded, !answer.Signed && (response.Status < http.StatusMultipleChoices || impliesNotRun(response.Status)):
		response.Close(false)
		return failed(http.StatusBadGateway, "upstream's answer is not valid"), retry.FailureMayHaveRun, resultInvalidAnswer
	}
	return end{}, 0, ""
}

// readAnswer decodes an answer and records what the upstream says of itself in it.
func (g *Gateway) readAnswer(key catalog.Key, response *forward.Response) Answer {
	answer := g.opts.Protocol.ReadAnswer(response.Status, response.Header)
	if answer.WrongHost {
		return answer // it is another upstream that speaks
	}
	if answer.Leaving {
		g.MarkLeaving(key, LeavingAnswer, 0)
	}
	if answer.RetryAfter > 0 {
		g.hold(key, answer.RetryAfter)
	}
	g.recordLimit(key, answer.Limit)
	if answer.Load != nil {
		g.loads.Record(key, *answer.Load)
	}
	g.recordCold(key, &answer)
	return answer
}

// superseded returns how a send ends when a standby attempt has taken over.
func (g *Gateway) superseded(req *request, s *send) (end, retry.Failure, string) {
	cause := errSilent
	switch {
	case tooSilent(g.board.Status(s.key())):
		g.recordFailure(s.key(), false, errSilent)
	case s.undelivered() > silenceLimit:
		cause = errEndless
		g.recordFailure(s.key(), true, errEndless)
	}
	failure := retry.FailureMayHaveRun
	if req.headWritten {
		failure = retry.FailureCut
	}
	return failed(http.StatusBadGateway, cause.Error()), failure, resultSuperseded
}

// recordFailure records a failure attributed to an upstream, and whether the
// upstream was reached, and logs an ejection that follows from it.
func (g *Gateway) recordFailure(key catalog.Key, reached bool, err error) {
	if out := g.board.RecordFailure(key, reached); out > 0 {
		g.logOutOfPlacement(key, out, err.Error())
	}
}

// logOutOfPlacement logs that an upstream gets no requests for a time.
func (g *Gateway) logOutOfPlacement(key catalog.Key, out time.Duration, cause string) {
	g.opts.Log.WithFields(log.Fields{
		"upstream": key.ID, "out_ms": out.Milliseconds(), "cause": cause, "catalog": g.catalog.Load().Revision,
	}).Info("upstream taken out of placement")
}

// reserveRetry reports whether a failure answer of an upstream can be dropped
// because the request will be retried elsewhere. If so, the retry is withdrawn
// from the budget, and its upstream is chosen.
func (g *Gateway) reserveRetry(ctx context.Context, req *request, a *attempts) bool {
	if !req.route.Repeatable() || a.sent+1 >= req.route.MaxAttempts {
		return false
	}
	t, ok := g.reserve(ctx, req, a)
	if !ok {
		return false
	}
	g.uncount(&t) // its send begins once the turn has come again
	if a.retryReserved = g.withdrawRetry(req.service); !a.retryReserved {
		g.limits.putStash(t.upstream.Key())
		return false
	}
	a.reserved = &t
	return true
}

// impliesNotRun reports whether a caller would take the status to mean that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendFailed classifies a send that got no answer.
func (g *Gateway) sendFailed(ctx context.Context, req *request, s *send, err error) (end, retry.Failure, string) {
	var failure *forward.Error
	if !errors.As(err, &failure) {
		return failed(http.StatusBadGateway, reasonNoAnswer).because(err), retry.FailureMayHaveRun, err.Error()
	}
	switch cause := s.canceled(); {
	case cause == errSuperseded:
		return g.superseded(req, s)
	case cause == errNotNeeded && failure.Outcome == forward.MayHaveRun:
		return end{}, retry.FailureMayHaveRun, resultNotNeeded
	case cause == errNotNeeded:
		return end{}, retry.FailureNotSent, failure.Outcome.String()
	}
	if errors.Is(err, forward.ErrHead) {
		return g.headRefused(s, err)
	}
	if isWithdrawn(err) {
		g.metrics.withdrawnSends.Add(failure.Cause.Error(), 1)
		return refused("request was not sent to an upstream", retryAfterShort).because(err), retry.FailureNotSent, failure.Outcome.String()
	}
	err = g.attributeFailure(ctx, s.key(), err)
	if failure.Outcome == forward.MayHaveRun && ctx.Err() == nil {
		if len(req.parts) == 0 {
			g.board.RecordAnswer(s.key(), true)
		}
		g.recordBrokenOff(req, s, err)
	}
	if failure.Outcome == forward.NotSent {
		return refused("upstream cannot be reached", retryAfterShort).because(err), retry.FailureNotSent, failure.Outcome.String()
	}
	if ctx.Err() != nil {
		if req.http.Context().Err() != nil {
			return end{kind: endCallerLeft, reason: "caller left"}, 0, resultCallerLeft
		}
		e := g.interrupted()
		return e, 0, e.reason
	}
	return failed(http.StatusBadGateway, reasonNoAnswer).because(err), retry.FailureMayHaveRun, failure.Outcome.String()
}

// reasonNoAnswer is the reason of a failure without an answer of the upstream.
const reasonNoAnswer = "upstream gave no answer"
