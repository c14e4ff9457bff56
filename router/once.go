package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	revokeTimeout = time.Second
	revokePause   = 100 * time.Millisecond
)

// Ways in which a non-idempotent call ends without an answer, besides
// *refusedError.
var (
	errMayHaveRun     = errors.New("router: the call may have run")
	errDigestMismatch = errors.New("router: the ticket was first used for another request")
	errNeverSent      = errors.New("router: the ticket was never sent")
)

// operation is a non-idempotent call under one ticket.
type operation struct {
	ticket ticket.Ticket
	sealed string
	// sole says that this router drew the ticket for this request and has sent
	// it to nobody, so that it knows what was sent.
	sole bool
}

// answerWhole is a recorded answer.
type answerWhole struct {
	status int
	header http.Header
	body   []byte
}

func (op *operation) handle() handle {
	return handle{
		address:  op.ticket.Address,
		host:     op.ticket.Host,
		holder:   op.ticket.Incarnation,
		request:  op.ticket.Nonce,
		customer: op.ticket.Customer,
		ticket:   op.sealed,
	}
}

// serveOnce answers a call that runs at most once.
func (r *Router) serveOnce(w http.ResponseWriter, req *http.Request, q *request) {
	digest := ticket.BodyDigest(q.method, q.path, q.query, q.body)
	brought, err := r.broughtTicket(req, q)
	if err != nil {
		r.onceFailed(w, &operation{}, err)
		return
	}
	key := req.Header.Get(HeaderIdempotencyKey)
	if !validID(key) {
		r.badRequest(w, errors.Newf("header %s: printable ASCII of at most %d bytes", HeaderIdempotencyKey, maxIDBytes))
		return
	}
	ch := r.newChooser(q, "")
	var op *operation
	var answer *answerWhole
	switch {
	case key != "":
		id := claims.ID{Customer: q.customer.ID, Service: q.service.ID, Key: key, Digest: digest}
		op, answer, err = r.runKeyed(req.Context(), q, ch, id, brought)
	case brought != nil:
		op = brought
		answer, err = r.runTicket(req.Context(), q, op)
	default:
		op, answer, err = r.runDrawn(req.Context(), q, ch, digest)
	}
	if err != nil {
		r.onceFailed(w, op, err)
		return
	}
	r.giveRecorded(w, op, answer)
}

// giveRecorded gives the caller the recorded answer of op.
func (r *Router) giveRecorded(w http.ResponseWriter, op *operation, answer *answerWhole) {
	w.Header().Set(HeaderTicket, op.sealed)
	w.Header().Set(HeaderOutcome, outcomeAnswered)
	r.writeWhole(w, op.ticket.Nonce, answer)
}

// seal returns the operation for a fresh ticket.
func (r *Router) seal(t ticket.Ticket, sole bool) (*operation, error) {
	sealed, err := r.opts.Signer.Seal(t)
	if err != nil {
		return nil, errors.Wrap(err, "router: seal ticket")
	}
	return &operation{ticket: t, sealed: sealed, sole: sole}, nil
}

// open returns the operation for a ticket that others may have sent.
func (r *Router) open(sealed string) (*operation, error) {
	t, err := r.opts.Signer.Open(sealed)
	if err != nil {
		return nil, errors.Wrap(err, "router: open ticket")
	}
	return &operation{ticket: t, sealed: sealed}, nil
}

// runDrawn runs a call for a caller that brings no ticket and no key. A ticket
// that is known not to have run is replaced by one at another upstream.
func (r *Router) runDrawn(ctx context.Context, q *request, ch *chooser, digest string) (*operation, *answerWhole, error) {
	var op *operation
	var answer *answerWhole
	err := r.attempts(ctx, q, ch, func(c place.Candidate, mayQueue bool) error {
		p, err := r.known(ctx, c)
		if err != nil {
			return errors.Mark(err, errNeverSent)
		}
		t := r.draw(q, c, p, digest)
		if op, err = r.seal(t, true); err != nil {
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

// runTicket submits op to the agent that its ticket names and reads the answer.
func (r *Router) runTicket(ctx context.Context, q *request, op *operation) (*answerWhole, error) {
	c := place.Candidate{Host: op.ticket.Host, Address: op.ticket.Address}
	reply, err := r.submit(ctx, q, c, op.handle(), true)
	if err != nil {
		return r.settle(ctx, q, op, err)
	}
	switch reply.Verdict {
	case wire.VerdictAccepted, wire.VerdictKnown:
		return r.readTicket(ctx, q, op)
	case wire.VerdictRefused:
		return nil, &refusedError{reason: reply.Reason, retryAfter: reply.RetryAfter}
	case wire.VerdictRevokedNotRun:
		return nil, &refusedError{reason: wire.ReasonRevoked}
	case wire.VerdictDigestMismatch:
		return nil, errDigestMismatch
	}
	r.peers.forget(op.ticket.Address)
	if op.sole {
		return nil, errNeverSent
	}
	return nil, errMayHaveRun
}

// settle finds out what became of a submission that failed with err.
func (r *Router) settle(ctx context.Context, q *request, op *operation, err error) (*answerWhole, error) {
	if errors.Is(err, link.ErrNotSent) {
		if op.sole {
			return nil, errors.Mark(err, errNeverSent)
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
		return r.readTicket(ctx, q, op)
	default:
		return nil, errors.Mark(err, errMayHaveRun)
	}
}

// revoke makes sure that op never starts if it has not started, and returns
// the agent's verdict, or 0 if the agent cannot be reached in time.
func (r *Router) revoke(ctx context.Context, op *operation) wire.Verdict {
	ctx, cancel := context.WithTimeout(ctx, r.opts.LostAfter)
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
		case <-time.After(revokePause):
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
		Holder:   h.holder,
	}
	reply := new(wire.RequestReply)
	if err := r.call(ctx, h.address, "Revoke", args, reply); err != nil {
		return 0, err
	}
	r.observe(reply.Meta)
	return reply.Verdict, nil
}

// readTicket reads the answer of a ticket that its agent has taken.
func (r *Router) readTicket(ctx context.Context, q *request, op *operation) (*answerWhole, error) {
	rd := r.newReader(op.handle())
	body, err := rd.collect(ctx)
	if err == nil {
		go r.release(rd.handle, "Confirm")
		return &answerWhole{status: rd.status, header: rd.header, body: body}, nil
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		return nil, err
	}
	if ctx.Err() != nil {
		go r.revoke(context.Background(), op)
	}
	r.record(timeline.KindRequestOutcome, q, op.handle(), err.Error())
	return nil, errors.Mark(err, errMayHaveRun)
}
