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

// attempt sends the request to one upstream and delivers its answer. failure is 0
// if the request has ended.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure) {
	key := t.upstream.Key()
	a.tried[key] = true
	start := time.Now()
	record := sendRecord{upstream: t.upstream.ID + "@" + t.upstream.FailureDomain, version: t.upstream.Version, load: t.load, cachedParts: t.cachedParts, failureExcess: t.failureExcess}
	if t.fetchSource != nil {
		record.fetchSource = t.fetchSource.ID
	}
	g.board.BeginRequest(key)
	e, failure, result := g.exchange(ctx, w, req, t, a)
	g.board.EndRequest(key)
	if failure == retry.FailureNotSent {
		a.failedDials++
	} else {
		a.sent++
	}
	record.result, record.took = result, time.Since(start)
	req.sends = append(req.sends, record)
	return e, failure
}

// Results of sends as logged and counted, in addition to the outcomes of package
// forward.
const (
	resultRefused         = "refused"
	resultAnswered        = "answered"
	resultInvalidAnswer   = "spoiled-answer"
	resultCut             = "cut"
	resultUpstreamFailure = "upstream-failure"
	resultCallerLeft      = "caller-left"
)

// exchange sends the request and acts on the status and headers of the answer.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure, string) {
	key := t.upstream.Key()
	out := g.upstreamRequest(req, t)
	for _, part := range req.parts {
		g.prompts.RecordSend(Placement{Part: part, At: key})
	}
	watched, stop := g.watchSilence(ctx, key, req, a)
	defer stop()
	response, err := g.pool.Send(watched, t.upstream.Address, out)
	if err != nil {
		return g.sendFailed(ctx, req, key, err)
	}
	g.recordActivity(key)
	answer := g.opts.Protocol.ReadAnswer(response.Status, response.Header)
	if answer.Signed && len(req.parts) == 0 {
		g.board.RecordAnswer(key, response.Status >= http.StatusInternalServerError)
	}
	switch {
	case answer.NotRun:
		drained := drainBody(response)
		response.Close(drained)
		if answer.WrongHost {
			g.board.BackOff(key, wrongAddressBackoff)
			g.logOutOfPlacement(key, wrongAddressBackoff, "its address belongs to another upstream")
		} else {
			g.board.BackOff(key, refusalBackoff)
		}
		return refused("upstream refused", retryAfterShort), retry.FailureRefused, resultRefused
	case answer.Encoded, !answer.Signed && (response.Status < 300 || impliesNotRun(response.Status)):
		response.Close(false)
		return failed(http.StatusBadGateway, "upstream's answer is not valid"), retry.FailureMayHaveRun, resultInvalidAnswer
	case response.Status >= http.StatusInternalServerError && !req.headWritten && g.reserveRetry(req, a):
		response.Close(drainBody(response))
		return failed(http.StatusBadGateway, "upstream failed"), retry.FailureMayHaveRun, resultUpstreamFailure
	case req.headWritten && response.Status >= 300:
		response.Close(drainBody(response))
		return end{kind: endCut, reason: "upstream did not continue the stream"}, retry.FailureMayHaveRun, resultUpstreamFailure
	}
	return g.deliver(ctx, w, req, t.upstream, response)
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
// from the budget.
func (g *Gateway) reserveRetry(req *request, a *attempts) bool {
	if !req.route.Repeatable() || a.sent+1 >= req.route.MaxAttempts {
		return false
	}
	a.retryReserved = g.withdrawRetry(req.service)
	return a.retryReserved
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
func (g *Gateway) sendFailed(ctx context.Context, req *request, key catalog.Key, err error) (end, retry.Failure, string) {
	var failure *forward.Error
	if !errors.As(err, &failure) {
		return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, err.Error()
	}
	err = g.attributeFailure(ctx, key, err)
	if failure.Outcome == forward.MayHaveRun && ctx.Err() == nil && len(req.parts) == 0 {
		g.board.RecordAnswer(key, true)
	}
	if failure.Outcome == forward.NotSent {
		return refused(err.Error(), retryAfterShort), retry.FailureNotSent, failure.Outcome.String()
	}
	if ctx.Err() != nil {
		if req.http.Context().Err() != nil {
			return end{kind: endCallerLeft, reason: "caller left"}, 0, resultCallerLeft
		}
		return failed(http.StatusGatewayTimeout, "timeout"), 0, "timeout"
	}
	return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, failure.Outcome.String()
}

// upstreamRequest builds the request to send to the upstream.
func (g *Gateway) upstreamRequest(req *request, t target) *forward.Request {
	s := Send{
		UpstreamID:  t.upstream.ID,
		Deadline:    time.Until(req.deadline),
		LastEventID: req.LastEventID,
	}
	if req.deliveredEventID != "" {
		s.LastEventID = req.deliveredEventID
	}
	if req.customer != nil {
		s.Customer = req.customer.Name
		s.Priority = priority(req)
	}
	if t.fetchSource != nil {
		s.FetchFrom = t.fetchSource.Address
	}
	return &forward.Request{
		Method:        req.http.Method,
		Target:        req.http.RequestURI,
		Host:          req.http.Host,
		Header:        g.opts.Protocol.UpstreamHeader(req.http.Header, s),
		Body:          req.body,
		ID:            req.AttemptID,
		NonRepeatable: !req.route.Repeatable(),

		MaxConnections: g.connectionLimit(req),
	}
}

// minConnectionsPerRouter is the number of connections to one upstream that each
// router may open at least, however many routers share the upstream's limit.
const minConnectionsPerRouter = 4

// connectionLimit returns this router's part of the connections that an upstream
// of the service accepts; 0 means no limit.
func (g *Gateway) connectionLimit(req *request) int {
	service := req.table.Service(req.service)
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnectionsPerRouter, service.MaxConnections/int(g.routerCount.Load()))
}

// priority returns the priority of a request at an engine; nil for routes without
// prompts.
func priority(req *request) *int {
	if !req.route.NamesPromptParts {
		return nil
	}
	rank := req.route.Priority
	if req.customer != nil && req.customer.Priority != nil {
		rank = *req.customer.Priority
	}
	rank = min(max(rank, 0), lowestPriority)
	return &rank
}

// lowestPriority is the least urgent priority that engines accept.
const lowestPriority = 9
