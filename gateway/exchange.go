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

// attempt sends the request to one upstream and delivers its answer. failure is
// 0 if the request has its end.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure) {
	key := t.upstream.Key()
	a.tried[key] = true
	begin := time.Now()
	record := sendRecord{upstream: t.upstream.ID + "@" + t.upstream.FailureDomain, load: t.load, held: t.held, failing: t.failing}
	if t.source != nil {
		record.fetch = t.source.ID
	}
	g.board.Begin(key)
	e, failure, result := g.exchange(ctx, w, req, t, a)
	g.board.End(key)
	if failure == retry.FailureNotSent {
		a.dials++
	} else {
		a.made++
	}
	record.result, record.took = result, time.Since(begin)
	req.sends = append(req.sends, record)
	return e, failure
}

// Results of sends in logs, beside those of package forward.
const (
	resultRefused  = "refused"
	resultAnswered = "answered"
	resultSpoiled  = "spoiled-answer"
	resultCut      = "cut"
	resultFailure  = "upstream-failure"
	resultLeft     = "caller-left"
)

// exchange sends the request and handles the head of the answer.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure, string) {
	key := t.upstream.Key()
	out := g.upstreamRequest(req, t)
	for _, part := range req.parts {
		g.prompts.Placed(Placement{Part: part, At: key})
	}
	watched, stop := g.watchSilence(ctx, key, req, a)
	defer stop()
	response, err := g.pool.Send(watched, t.upstream.Address, out)
	if err != nil {
		return g.sendFailed(ctx, req, key, err)
	}
	g.heard(key)
	answer := g.opts.Protocol.ReadAnswer(response.Status, response.Header)
	if answer.Signed && len(req.parts) == 0 {
		g.board.Answered(key, response.Status >= http.StatusInternalServerError)
	}
	switch {
	case answer.NotRun:
		drained := drainBody(response)
		response.Close(drained)
		if answer.WrongHost {
			g.board.Hold(key, holdWrong)
			g.logHold(key, holdWrong, "another upstream has its address")
		} else {
			g.board.Hold(key, holdFull)
		}
		return refused("upstream refused", retrySoon), retry.FailureRefused, resultRefused
	case answer.Encoded, !answer.Signed && (response.Status < 300 || promisesNotRun(response.Status)):
		response.Close(false)
		return failed(http.StatusBadGateway, "upstream's answer is not usable"), retry.FailureMayHaveRun, resultSpoiled
	case response.Status >= http.StatusInternalServerError && !req.begun && g.spare(req, a):
		response.Close(drainBody(response))
		return failed(http.StatusBadGateway, "upstream failed"), retry.FailureMayHaveRun, resultFailure
	case req.begun && response.Status >= 300:
		response.Close(drainBody(response))
		return end{kind: endCut, reason: "upstream did not go on"}, retry.FailureMayHaveRun, resultFailure
	}
	return g.deliver(ctx, w, req, key, response)
}

// holdBack records a failure that speaks against an upstream, and whether the
// upstream was reached.
func (g *Gateway) holdBack(key catalog.Key, reached bool, cause error) {
	if out := g.board.Failed(key, reached); out > 0 {
		g.logHold(key, out, cause.Error())
	}
}

// logHold tells that an upstream is taken out of placement for a time.
func (g *Gateway) logHold(key catalog.Key, out time.Duration, cause string) {
	g.opts.Log.WithFields(log.Fields{
		"upstream": key.ID, "out_ms": out.Milliseconds(), "cause": cause, "catalog": g.catalog.Load().Revision,
	}).Info("upstream taken out of placement")
}

// spare tells whether an upstream's failure need not be the answer, since
// another upstream will be tried. It takes the repeat from the budget.
func (g *Gateway) spare(req *request, a *attempts) bool {
	if !req.route.Repeatable() || a.made+1 >= req.route.MaxAttempts {
		return false
	}
	a.reserved = g.withdraw(req.service)
	return a.reserved
}

// promisesNotRun tells whether the status says that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendFailed classifies a send without an answer.
func (g *Gateway) sendFailed(ctx context.Context, req *request, key catalog.Key, err error) (end, retry.Failure, string) {
	var failure *forward.Error
	if !errors.As(err, &failure) {
		return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, err.Error()
	}
	err = g.blame(ctx, key, err)
	if failure.Outcome == forward.MayHaveRun && ctx.Err() == nil && len(req.parts) == 0 {
		g.board.Answered(key, true)
	}
	if failure.Outcome == forward.NotSent {
		return refused(err.Error(), retrySoon), retry.FailureNotSent, failure.Outcome.String()
	}
	if ctx.Err() != nil {
		if req.http.Context().Err() != nil {
			return end{kind: endLeft, reason: "caller left"}, 0, resultLeft
		}
		return failed(http.StatusGatewayTimeout, "timeout"), 0, "timeout"
	}
	return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, failure.Outcome.String()
}

// upstreamRequest returns what is sent to the upstream.
func (g *Gateway) upstreamRequest(req *request, t target) *forward.Request {
	s := Send{
		UpstreamID:  t.upstream.ID,
		Deadline:    time.Until(req.deadline),
		LastEventID: req.LastEventID,
	}
	if req.lastID != "" {
		s.LastEventID = req.lastID
	}
	if req.customer != nil {
		s.Customer = req.customer.Name
		s.Priority = priority(req)
	}
	if t.source != nil {
		s.FetchFrom = t.source.Address
	}
	return &forward.Request{
		Method: req.http.Method,
		Target: req.http.RequestURI,
		Host:   req.http.Host,
		Header: g.opts.Protocol.UpstreamHeader(req.http.Header, s),
		Body:   req.body,
		ID:     req.AttemptID,
		Once:   !req.route.Repeatable(),

		MaxConnections: g.connections(req),
	}
}

// leastConnections to one upstream are open to each router, however many share
// what the upstream accepts.
const leastConnections = 4

// connections returns this router's part of the connections that an upstream of
// the service accepts; 0 means no limit.
func (g *Gateway) connections(req *request) int {
	service := req.table.Service(req.service)
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(leastConnections, service.MaxConnections/int(g.routers.Load()))
}

// priority returns the rank of a request at an engine; nil for plain services.
func priority(req *request) *int {
	if !req.route.Prompted {
		return nil
	}
	rank := req.route.Priority
	if req.customer != nil && req.customer.Priority != nil {
		rank = *req.customer.Priority
	}
	rank = min(max(rank, 0), lowestPriority)
	return &rank
}

// lowestPriority is the least urgent rank that engines know.
const lowestPriority = 9
