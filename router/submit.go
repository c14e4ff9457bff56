package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// request is one request of a caller, together with the configuration that
// applies to it.
type request struct {
	adopted    *board.Adopted
	customer   *config.Customer
	service    *config.Service
	chat       string
	priority   int
	method     string
	path       string
	query      string
	header     map[string][]string
	body       []byte
	idempotent bool
	resume     bool // the body ends with a partial answer that the engine continues
}

// promptBytesPerToken estimates a prompt's number of tokens from its size.
const promptBytesPerToken = 4

// submitArgs returns the message that submits q to an agent under the
// identifiers of h.
func (r *Router) submitArgs(ctx context.Context, q *request, h handle, mayQueue bool) *wire.SubmitArgs {
	args := &wire.SubmitArgs{
		Meta:       r.Meta(),
		Request:    h.request,
		Ticket:     h.ticket,
		Idempotent: h.ticket == "",
		Customer:   q.customer.ID,
		Service:    q.service.ID,
		Chat:       q.chat,
		Priority:   q.priority,
		Method:     q.method,
		Path:       q.path,
		Query:      q.query,
		Header:     q.header,
		Body:       q.body,
		PromptLoad: len(q.body) / promptBytesPerToken,
		MayQueue:   mayQueue,
		Resume:     q.resume,
	}
	// Instead of the version in force, which may be newer than the one of q.
	args.ConfigVersion = q.adopted.Config.Version
	if deadline, ok := ctx.Deadline(); ok {
		args.Timeout = time.Until(deadline)
	}
	return args
}

// submit sends q to the agent of c and returns the agent's reply.
func (r *Router) submit(ctx context.Context, q *request, c place.Candidate, h handle, mayQueue bool) (*wire.SubmitReply, error) {
	reply := new(wire.SubmitReply)
	args := r.submitArgs(ctx, q, h, mayQueue)
	if err := r.call(ctx, c.Address, "Submit", args, reply); err != nil {
		r.recordNoReply(c, err)
		return nil, err
	}
	r.observeMeta(reply.Meta)
	r.recordAlive(c, reply.Meta, reply.Load)
	if reply.Verdict == wire.VerdictRefused {
		r.recordRefusal(c, reply.Reason, reply.Meta)
	}
	return reply, nil
}

// recordRefusal updates the metrics, failure records and board from a refusal. The
// agent of c refuses in its reply to a Submit, or in the answer if it finds out later,
// as it does with an upstream that is down.
func (r *Router) recordRefusal(c place.Candidate, reason wire.Reason, m wire.Meta) {
	counters.Add("refused_"+string(reason), 1)
	switch reason {
	case wire.ReasonLeaving:
		r.opts.Board.ObservePeer(newEvidence(c, board.EvidenceLeaving, m))
	case wire.ReasonUpstreamDown:
		r.ejections.recordFailure(c.Address, r.opts.Board.Now())
		r.opts.Board.ObservePeer(newEvidence(c, board.EvidenceUpstreamDown, m))
	}
}

// recordAlive reports to the board that the agent of c replied.
func (r *Router) recordAlive(c place.Candidate, m wire.Meta, load wire.Load) {
	e := newEvidence(c, board.EvidenceAlive, m)
	e.Load = &load
	r.opts.Board.ObservePeer(e)
}

// recordNoReply records that the agent of c did not reply. Cancelled calls do
// not count as a failure.
func (r *Router) recordNoReply(c place.Candidate, err error) {
	r.peers.remove(c.Address)
	kind := board.EvidenceTimeout
	if errors.Is(err, link.ErrNotSent) {
		kind = board.EvidenceRefused
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	r.ejections.recordFailure(c.Address, r.opts.Board.Now())
	r.opts.Board.ObservePeer(board.Evidence{Host: c.Host, Address: c.Address, Kind: kind})
}

// refusalReason returns the reason of a refusal, or an empty reason if err is
// not a refusal.
func refusalReason(err error) wire.Reason {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.reason
	}
	return ""
}

// classifyFailure classifies err for the retry decision.
func classifyFailure(err error) retry.Failure {
	if reason := refusalReason(err); reason != "" {
		return classifyRefusal(reason)
	}
	switch {
	case errors.Is(err, errMayHaveRun):
		return retry.FailureMayHaveRun
	case errors.Is(err, errNotAccepted), errors.Is(err, link.ErrNotSent):
		return retry.FailureNotSent
	case errors.Is(err, errAnswerTooLarge), errors.Is(err, errDigestMismatch):
		return retry.FailureFinal
	default:
		return retry.FailureMayHaveRun
	}
}

// classifyRefusal classifies the reason of a refusal for the retry decision.
func classifyRefusal(reason wire.Reason) retry.Failure {
	switch reason {
	case wire.ReasonForbidden, wire.ReasonMalformed, wire.ReasonCustomerLimit, wire.ReasonDeadline:
		return retry.FailureFinal
	case wire.ReasonRevoked, wire.ReasonConnectionLost:
		return retry.FailureRevoked
	default:
		return retry.FailureRefused
	}
}

// minAttemptTime is the remaining time below which another attempt is not
// worthwhile.
const minAttemptTime = 20 * time.Millisecond

// shouldRetry decides whether q may be tried on another upstream after err. It
// takes a retry from the budget if one is needed.
func (r *Router) shouldRetry(ctx context.Context, q *request, err error, attempt int) bool {
	if ctx.Err() != nil {
		return false
	}
	a := retry.Attempt{
		Failure:      classifyFailure(err),
		Idempotent:   q.idempotent,
		Attempts:     attempt,
		Limit:        r.opts.MaxAttempts,
		Remaining:    r.opts.MaxTimeout,
		MinRemaining: minAttemptTime,
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.Remaining = time.Until(deadline)
	}
	if retry.Decide(a) != retry.DecisionRetry {
		return false
	}
	if addsNoWork(err) {
		counters.Add("retries_harmless", 1)
		return true
	}
	if !r.withdraw(q.service.ID) {
		counters.Add("retries_over_budget", 1)
		return false
	}
	counters.Add("retries", 1)
	return true
}

// addsNoWork reports whether a retry after err adds no work anywhere, because
// the request was not sent, its new ticket was not accepted, or the agent that
// refused it is leaving. Such retries need no budget; the maximum number of
// attempts bounds them.
func addsNoWork(err error) bool {
	return refusalReason(err) == wire.ReasonLeaving || classifyFailure(err) == retry.FailureNotSent
}

// errNoUpstream reports that no upstream is left to choose.
var errNoUpstream = errors.New("router: no upstream to choose")

// submitIdempotent submits idempotent work to the agent of c and returns a
// reader of its answer.
func (r *Router) submitIdempotent(ctx context.Context, q *request, c place.Candidate, mayQueue bool) (*answerReader, error) {
	h := handle{address: c.Address, host: c.Host, request: randid.New(), customer: q.customer.ID}
	reply, err := r.submit(ctx, q, c, h, mayQueue)
	if err != nil {
		r.cancelIfSent(h, err)
		return nil, err
	}
	if reply.Verdict != wire.VerdictAccepted && reply.Verdict != wire.VerdictKnown {
		return nil, &refusedError{reason: reply.Reason, retryAfter: reply.RetryAfter}
	}
	h.incarnation = reply.Incarnation
	r.recordEvent(timeline.KindRequestAdmitted, q, h, "")
	return r.newOwnAnswerReader(h), nil
}

// cancelIfSent cancels a request whose submission failed with err, unless it
// is certain that it was not sent.
func (r *Router) cancelIfSent(h handle, err error) {
	if !errors.Is(err, link.ErrNotSent) {
		go r.release(h, "Cancel")
	}
}

// recordEvent records an event in the timeline.
func (r *Router) recordEvent(kind timeline.Kind, q *request, h handle, reason string) {
	r.opts.Timeline.Record(timeline.Event{
		Kind:     kind,
		Request:  h.request,
		Customer: q.customer.ID,
		Service:  q.service.ID,
		Upstream: h.host,
		Chat:     q.chat,
		Reason:   reason,
	})
}

// tryUpstreams calls try on one upstream after another until it succeeds, or
// the retry decision or the budget allows no further attempt. An attempt that
// no other can follow may queue at the agent.
func (r *Router) tryUpstreams(ctx context.Context, q *request, upstreams *upstreamIterator, try func(c place.Candidate, mayQueue bool) error) error {
	r.deposit(q.service.ID)
	err := errNoUpstream
	for attempt := 1; ; attempt++ {
		c, ok := upstreams.next()
		if !ok {
			return err
		}
		last := attempt == r.opts.MaxAttempts || upstreams.exhausted() || !r.retryLeft(q.service.ID)
		err = try(c, last)
		if err == nil || !r.shouldRetry(ctx, q, err, attempt) {
			return err
		}
		if isConnectionLost(err) {
			upstreams.retryLast()
		}
	}
}

// isConnectionLost reports whether only the connection failed: the agent has
// answered a revoke on a new connection.
func isConnectionLost(err error) bool {
	return refusalReason(err) == wire.ReasonConnectionLost
}
