package router

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	revokeTimeout    = time.Second
	revokeRetryDelay = 100 * time.Millisecond
)

// Errors of a non-idempotent call that ended without an answer. *refusedError
// is another.
var (
	errMayHaveRun     = errors.New("router: the call may have run")
	errDigestMismatch = errors.New("router: the ticket was already used for another request")
	errNotAccepted    = errors.New("router: no agent has accepted the ticket")
)

// operation is a non-idempotent call with its ticket.
type operation struct {
	ticket ticket.Ticket
	sealed string
	// unshared means that this router issued the ticket for this request and
	// has given it to nobody else. A call that was not sent, or whose ticket the
	// agent no longer accepts, is then known not to have run.
	unshared bool
}

// completeAnswer is an answer that has been read in full.
type completeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (op *operation) handle() handle {
	return handle{
		address:     op.ticket.Address,
		host:        op.ticket.Host,
		incarnation: op.ticket.Incarnation,
		request:     op.ticket.Nonce,
		customer:    op.ticket.Customer,
		ticket:      op.sealed,
	}
}

// serveNonIdempotent handles a call that must run at most once.
func (r *Router) serveNonIdempotent(w http.ResponseWriter, req *http.Request, q *request) {
	digest := ticket.BodyDigest(q.method, q.path, q.query, q.body)
	supplied, err := r.suppliedTicket(req, q)
	if err != nil {
		r.writeNonIdempotentProblem(w, &operation{}, err)
		return
	}
	key := req.Header.Get(HeaderIdempotencyKey)
	if !validID(key) {
		r.badRequest(w, errors.Newf("header %s: printable ASCII of at most %d bytes", HeaderIdempotencyKey, maxIDBytes))
		return
	}
	upstreams := r.newUpstreamIterator(q, "")
	var op *operation
	var answer *completeAnswer
	switch {
	case key != "":
		id := claims.ID{Customer: q.customer.ID, Service: q.service.ID, Key: key, Digest: digest}
		op, answer, err = r.runKeyed(req.Context(), q, upstreams, id, supplied)
	case supplied != nil:
		op = supplied
		answer, err = r.runTicket(req.Context(), q, op)
	default:
		op, answer, err = r.runNewTicket(req.Context(), q, upstreams, digest)
	}
	if err != nil {
		r.writeNonIdempotentProblem(w, op, err)
		return
	}
	r.writeRecordedAnswer(w, op, answer)
}

// writeRecordedAnswer writes the recorded answer of op to the caller.
func (r *Router) writeRecordedAnswer(w http.ResponseWriter, op *operation, answer *completeAnswer) {
	w.Header().Set(HeaderTicket, op.sealed)
	w.Header().Set(HeaderOutcome, outcomeAnswered)
	r.writeAnswer(w, op.ticket.Nonce, answer)
}

// sealTicket returns the operation for a new ticket.
func (r *Router) sealTicket(t ticket.Ticket, unshared bool) (*operation, error) {
	sealed, err := r.opts.Signer.Seal(t)
	if err != nil {
		return nil, errors.Wrap(err, "router: seal ticket")
	}
	return &operation{ticket: t, sealed: sealed, unshared: unshared}, nil
}

// openTicket returns the operation for a sealed ticket that others may have
// sent as well.
func (r *Router) openTicket(sealed string) (*operation, error) {
	t, err := r.opts.Signer.Open(sealed)
	if err != nil {
		return nil, errors.Wrap(err, "router: open ticket")
	}
	return &operation{ticket: t, sealed: sealed}, nil
}

// runNewTicket runs a call whose caller sent neither a ticket nor an
// idempotency key. If a ticket is known not to have run, it is replaced by a
// ticket at another upstream.
func (r *Router) runNewTicket(ctx context.Context, q *request, upstreams *upstreamIterator, digest string) (*operation, *completeAnswer, error) {
	var op *operation
	var answer *completeAnswer
	err := r.tryUpstreams(ctx, q, upstreams, func(c place.Candidate, mayQueue bool) error {
		p, err := r.cachedOrHello(ctx, c)
		if err != nil {
			return errors.Mark(err, errNotAccepted)
		}
		t := r.issueTicket(q, c, p, digest)
		if op, err = r.sealTicket(t, true); err != nil {
			return err
		}
		answer, err = r.runTicket(ctx, q, op)
		return err
	})
	if op == nil {
		op = &operation{}
	}
	return op, answer, err
}

// runTicket submits op to the agent that its ticket names and reads the
// answer.
func (r *Router) runTicket(ctx context.Context, q *request, op *operation) (*completeAnswer, error) {
	c := place.Candidate{Host: op.ticket.Host, Address: op.ticket.Address}
	reply, err := r.submit(ctx, q, c, op.handle(), true)
	if err != nil {
		return r.resolveFailedSubmit(ctx, q, op, err)
	}
	switch reply.Verdict {
	case wire.VerdictAccepted, wire.VerdictKnown:
		return r.readTicketAnswer(ctx, q, op)
	case wire.VerdictRefused:
		return nil, &refusedError{reason: reply.Reason, retryAfter: reply.RetryAfter}
	case wire.VerdictRevokedNotRun:
		return nil, &refusedError{reason: wire.ReasonRevoked}
	case wire.VerdictDigestMismatch:
		return nil, errDigestMismatch
	}
	// The ticket's incarnation or window is no longer current, or an earlier
	// submission of the ticket was lost. This submission started nothing; an
	// earlier one of a shared ticket may have run.
	r.peers.remove(op.ticket.Address)
	if op.unshared {
		return nil, errNotAccepted
	}
	return nil, errMayHaveRun
}

// resolveFailedSubmit determines the outcome of a submission that failed with
// err. It revokes the ticket unless the submission was not sent.
func (r *Router) resolveFailedSubmit(ctx context.Context, q *request, op *operation, err error) (*completeAnswer, error) {
	if errors.Is(err, link.ErrNotSent) {
		if op.unshared {
			return nil, errors.Mark(err, errNotAccepted)
		}
		return nil, errors.Mark(err, errMayHaveRun)
	}
	if ctx.Err() != nil {
		go r.revoke(context.Background(), op)
		return nil, errors.Mark(ctx.Err(), errMayHaveRun)
	}
	switch r.revoke(ctx, op) {
	case wire.VerdictRevokedNotRun:
		return nil, &refusedError{reason: wire.ReasonConnectionLost}
	case wire.VerdictKnown:
		return r.readTicketAnswer(ctx, q, op)
	default:
		return nil, errors.Mark(err, errMayHaveRun)
	}
}

// revoke prevents op from starting if it has not started yet. It retries until
// the agent replies, and returns the agent's verdict, or 0 if the agent cannot
// be reached in time.
func (r *Router) revoke(ctx context.Context, op *operation) wire.Verdict {
	defer panics.Recover(r.opts.Log, "router.revoke", log.Fields{"request": op.handle().request})
	ctx, cancel := context.WithTimeout(ctx, r.opts.AgentLostAfter)
	defer cancel()
	h := op.handle()
	for {
		verdict, err := r.revokeOnce(ctx, h)
		if err == nil {
			return verdict
		}
		if errors.Is(err, link.ErrNotSent) {
			return 0
		}
		select {
		case <-ctx.Done():
			return 0
		case <-time.After(revokeRetryDelay):
		}
	}
}

func (r *Router) revokeOnce(ctx context.Context, h handle) (wire.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	args := &wire.RequestArgs{
		Meta:     r.Meta(),
		Request:  h.request,
		Ticket:   h.ticket,
		Customer: h.customer,
		Holder:   h.incarnation,
	}
	reply := new(wire.RequestReply)
	if err := r.call(ctx, h.address, "Revoke", args, reply); err != nil {
		return 0, err
	}
	r.observeMeta(reply.Meta)
	return reply.Verdict, nil
}

// readTicketAnswer reads the answer to a ticket that its agent has accepted.
func (r *Router) readTicketAnswer(ctx context.Context, q *request, op *operation) (*completeAnswer, error) {
	rd := r.newOwnAnswerReader(op.handle())
	body, err := rd.readAll(ctx)
	if err == nil {
		go r.release(rd.handle, "Confirm")
		return &completeAnswer{status: rd.status, header: rd.header, body: body}, nil
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		return nil, err
	}
	if ctx.Err() != nil {
		go r.revoke(context.Background(), op)
	}
	r.recordEvent(timeline.KindRequestOutcome, q, op.handle(), err.Error())
	return nil, errors.Mark(err, errMayHaveRun)
}
