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

// request is one request of a caller under one configuration.
type request struct {
	adopted   *board.Adopted
	customer  *config.Customer
	service   *config.Service
	chat      string
	priority  int
	method    string
	path      string
	query     string
	header    map[string][]string
	body      []byte
	mayRepeat bool // idempotent
	resume    bool // the body ends with a partial answer to continue
}

// promptBytesPerToken estimates the tokens of a prompt from its bytes.
const promptBytesPerToken = 4

// submitArgs returns the message that hands q to an agent as h.
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
	args.ConfigVersion = q.adopted.Config.Version
	if deadline, ok := ctx.Deadline(); ok {
		args.Timeout = time.Until(deadline)
	}
	return args
}

// submit hands q to the agent of c and returns its reply.
func (r *Router) submit(ctx context.Context, q *request, c place.Candidate, h handle, mayQueue bool) (*wire.SubmitReply, error) {
	reply := new(wire.SubmitReply)
	args := r.submitArgs(ctx, q, h, mayQueue)
	if err := r.call(ctx, c.Address, "Submit", args, reply); err != nil {
		r.blame(c, err)
		return nil, err
	}
	r.observe(reply.Meta)
	r.credit(c, reply.Meta, reply.Load)
	r.note(c, reply)
	return reply, nil
}

// note takes what a refusal says of the upstream.
func (r *Router) note(c place.Candidate, reply *wire.SubmitReply) {
	if reply.Verdict != wire.VerdictRefused {
		return
	}
	counters.Add("refused_"+string(reply.Reason), 1)
	switch reply.Reason {
	case wire.ReasonLeaving:
		r.opts.Board.ObservePeer(evidence(c, board.EvidenceLeaving, reply.Meta))
	case wire.ReasonUpstreamDown:
		r.ejections.fail(c.Address, r.opts.Board.Now())
		r.opts.Board.ObservePeer(evidence(c, board.EvidenceUpstreamDown, reply.Meta))
	}
}

// credit records that the agent of c answered.
func (r *Router) credit(c place.Candidate, m wire.Meta, load wire.Load) {
	e := evidence(c, board.EvidenceAlive, m)
	e.Load = &load
	r.opts.Board.ObservePeer(e)
}

// blame records that the agent of c did not answer.
func (r *Router) blame(c place.Candidate, err error) {
	r.peers.forget(c.Address)
	kind := board.EvidenceTimeout
	if errors.Is(err, link.ErrNotSent) {
		kind = board.EvidenceRefused
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	r.ejections.fail(c.Address, r.opts.Board.Now())
	r.opts.Board.ObservePeer(board.Evidence{Host: c.Host, Address: c.Address, Kind: kind})
}

// reasonOf returns the reason of a refusal, empty if err is none.
func reasonOf(err error) wire.Reason {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.reason
	}
	return ""
}

// failure classifies err for the retry decision.
func failure(err error) retry.Failure {
	if reason := reasonOf(err); reason != "" {
		return refusal(reason)
	}
	switch {
	case errors.Is(err, errMayHaveRun):
		return retry.FailureMayHaveRun
	case errors.Is(err, errNeverSent), errors.Is(err, link.ErrNotSent):
		return retry.FailureNotSent
	case errors.Is(err, errAnswerLarge), errors.Is(err, errDigestMismatch):
		return retry.FailureFinal
	default:
		return retry.FailureMayHaveRun
	}
}

// refusal classifies the reason of a refusal.
func refusal(reason wire.Reason) retry.Failure {
	switch reason {
	case wire.ReasonForbidden, wire.ReasonCustomerLimit, wire.ReasonDeadline:
		return retry.FailureFinal
	case wire.ReasonRevoked, wire.ReasonConnectionLost:
		return retry.FailureRevoked
	default:
		return retry.FailureRefused
	}
}

// shortestUse is the least time in which another attempt can be of use.
const shortestUse = 20 * time.Millisecond

// again decides whether q may be tried on another upstream after err.
func (r *Router) again(ctx context.Context, q *request, err error, made int) bool {
	if ctx.Err() != nil {
		return false
	}
	a := retry.Attempt{
		Failure:    failure(err),
		Idempotent: q.mayRepeat,
		Made:       made,
		Limit:      r.opts.MaxAttempts,
		Left:       r.opts.MaxTimeout,
		Need:       shortestUse,
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.Left = time.Until(deadline)
	}
	if retry.Decide(a) != retry.DecisionRetry {
		return false
	}
	if isHarmless(err) {
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

// isHarmless tells whether a retry after err adds no work anywhere: the request
// never left, or met an agent that is leaving. Such retries need no budget; the
// number of attempts bounds them.
func isHarmless(err error) bool {
	return reasonOf(err) == wire.ReasonLeaving || failure(err) == retry.FailureNotSent
}

// errNoUpstream says that no upstream may be chosen.
var errNoUpstream = errors.New("router: no upstream to choose")

// handOver submits idempotent work to the agent of c and returns the reader of
// its answer.
func (r *Router) handOver(ctx context.Context, q *request, c place.Candidate, mayQueue bool) (*reader, error) {
	h := handle{address: c.Address, host: c.Host, request: randid.New(), customer: q.customer.ID}
	reply, err := r.submit(ctx, q, c, h, mayQueue)
	if err != nil {
		r.abandon(h, err)
		return nil, err
	}
	if reply.Verdict != wire.VerdictAccepted && reply.Verdict != wire.VerdictKnown {
		return nil, &refusedError{reason: reply.Reason, retryAfter: reply.RetryAfter}
	}
	h.holder = reply.Incarnation
	r.record(timeline.KindRequestAdmitted, q, h, "")
	return r.newReader(h), nil
}

// abandon cancels a request whose submission failed with err and may have
// arrived all the same.
func (r *Router) abandon(h handle, err error) {
	if !errors.Is(err, link.ErrNotSent) {
		go r.release(h, "Cancel")
	}
}

// record adds an event to the time line.
func (r *Router) record(kind timeline.Kind, q *request, h handle, reason string) {
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

// attempts runs try on one upstream after another, as far as the retry
// decision and the budget allow, until it succeeds. An attempt after which no
// other can follow may queue at the agent.
func (r *Router) attempts(ctx context.Context, q *request, ch *chooser, try func(c place.Candidate, mayQueue bool) error) error {
	r.deposit(q.service.ID)
	err := errNoUpstream
	for made := 1; ; made++ {
		c, ok := ch.next()
		if !ok {
			return err
		}
		last := made == r.opts.MaxAttempts || ch.exhausted() || !r.retryLeft(q.service.ID)
		err = try(c, last)
		if err == nil || !r.again(ctx, q, err, made) {
			return err
		}
		if isConnectionLost(err) {
			ch.forgive()
		}
	}
}

// isConnectionLost tells whether only the connection was at fault: the agent
// has answered a revoke on a fresh one.
func isConnectionLost(err error) bool {
	return reasonOf(err) == wire.ReasonConnectionLost
}
