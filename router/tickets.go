package router

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/problem"
	"dandelionrill.example/fleet/wire"
)

// HeaderOutcome tells a recorded answer from an answer of the router.
const HeaderOutcome = "Dandelionrill-Outcome"

const outcomeAnswered = "answered"

// TicketState tells what became of a ticket that has no answer yet.
type TicketState string

// The states.
const (
	StateNotStarted TicketState = "not-started" // it may still start: revoke it to be sure
	StateRunning    TicketState = "running"
)

// Errors of a ticket that a caller brings.
var (
	errBadTicket   = errors.New("router: not a ticket of this customer and service")
	errWrongDigest = errors.Mark(errors.New("router: the ticket was drawn for another request"), errDigestMismatch)
)

// broughtTicket returns the operation under the ticket that the caller brings,
// or nil if it brings none.
func (r *Router) broughtTicket(req *http.Request, q *request) (*operation, error) {
	sealed := req.Header.Get(HeaderTicket)
	if sealed == "" {
		return nil, nil
	}
	op, err := r.open(sealed)
	if err != nil || op.ticket.Customer != q.customer.ID || op.ticket.Service != q.service.ID {
		return nil, errBadTicket
	}
	digest := ticket.BodyDigest(q.method, q.path, q.query, q.body)
	if op.ticket.Digest != "" && op.ticket.Digest != digest {
		return nil, errWrongDigest
	}
	return op, nil
}

// onceFailed tells the caller how a non-idempotent call ended without answer.
func (r *Router) onceFailed(w http.ResponseWriter, op *operation, err error) {
	var refused *refusedError
	switch {
	case errors.Is(err, errBadTicket):
		r.fail(w, problem.Problem{Status: http.StatusBadRequest, Code: problem.CodeBadTicket, Outcome: problem.OutcomeNotRun, Detail: "header " + HeaderTicket + ": not a ticket of this customer and service"})
	case errors.Is(err, errDigestMismatch):
		r.fail(w, problem.Problem{Status: http.StatusUnprocessableEntity, Code: problem.CodeTicketMismatch, Outcome: problem.OutcomeNotRun, Detail: "this call was not run: its ticket belongs to a call with another method, path, query or body, which keeps its own outcome"})
	case errors.Is(err, claims.ErrMismatch):
		r.fail(w, problem.Problem{Status: http.StatusUnprocessableEntity, Code: problem.CodeTicketMismatch, Outcome: problem.OutcomeNotRun, Detail: "this call was not run: its idempotency key was first used for a call with another method, path, query or body, which keeps its own outcome"})
	case errors.Is(err, claims.ErrUnavailable):
		// An earlier call with the same key may have run, through any router.
		p := r.mayHaveRun(http.StatusServiceUnavailable, "", "this call was not run: the platform does not answer for its idempotency key; an earlier call with the key may have run. Repeat with the same key")
		p.Code = problem.CodePlatformDown
		r.fail(w, p)
	case errors.Is(err, errMayHaveRun):
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		r.fail(w, r.mayHaveRun(status, op.sealed, "the call was handed over and its outcome is not known"))
	case errors.As(err, &refused):
		r.fail(w, r.refusedProblem(refused))
	case errors.Is(err, errNoUpstream), errors.Is(err, errNeverSent):
		r.fail(w, r.unavailable("no upstream takes work now"))
	default:
		r.fail(w, r.mayHaveRun(http.StatusBadGateway, op.sealed, "the call failed in an unforeseen way"))
	}
}

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Service string `json:"service"`
}

// ticketReply is the answer to POST /v1/tickets.
type ticketReply struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
}

// drawTicket gives the caller a ticket for one later call.
func (r *Router) drawTicket(w http.ResponseWriter, req *http.Request, c caller) {
	body, ok := r.readBody(w, req)
	if !ok {
		return
	}
	var want ticketRequest
	if err := json.Unmarshal(body, &want); err != nil {
		r.badRequest(w, errors.Wrap(err, "body: not a JSON object with a service"))
		return
	}
	service, _, ok := r.plainService(w, c, want.Service)
	if !ok {
		return
	}
	q := &request{adopted: c.adopted, customer: c.customer, service: service, chat: randid.New()}
	op, err := r.drawAnywhere(req.Context(), q, r.newChooser(q, ""), "")
	if err != nil {
		r.fail(w, r.unavailable("no upstream takes work now"))
		return
	}
	w.Header().Set(HeaderTicket, op.sealed)
	writeJSON(w, http.StatusCreated, ticketReply{Ticket: op.sealed, Service: service.ID})
}

// pathTicket returns the operation under the ticket in the request's path.
func (r *Router) pathTicket(w http.ResponseWriter, req *http.Request, c caller) (*operation, bool) {
	op, err := r.open(req.PathValue("ticket"))
	if err == nil && op.ticket.Customer == c.customer.ID && op.ticket.Service != tokenService {
		return op, true
	}
	r.fail(w, problem.Problem{Status: http.StatusNotFound, Code: problem.CodeBadTicket, Detail: "not a ticket of this customer"})
	return nil, false
}

// ticketStatus is the answer about a ticket whose call has not been answered.
type ticketStatus struct {
	Ticket string      `json:"ticket"`
	State  TicketState `json:"state"`
}

// serveOutcome tells what became of a ticket: its recorded answer if there is
// one. It changes nothing.
func (r *Router) serveOutcome(w http.ResponseWriter, req *http.Request, c caller) {
	op, ok := r.pathTicket(w, req, c)
	if !ok {
		return
	}
	args := &wire.ReadArgs{
		Meta:     r.Meta(),
		Request:  op.ticket.Nonce,
		Ticket:   op.sealed,
		Customer: op.ticket.Customer,
		Holder:   op.ticket.Incarnation,
	}
	reply := new(wire.ReadReply)
	if err := r.call(req.Context(), op.ticket.Address, "Read", args, reply); err != nil {
		r.fail(w, r.mayHaveRun(http.StatusBadGateway, op.sealed, "the agent that holds the ticket does not answer"))
		return
	}
	r.observe(reply.Meta)
	r.giveOutcome(w, req, op, reply)
}

func (r *Router) giveOutcome(w http.ResponseWriter, req *http.Request, op *operation, reply *wire.ReadReply) {
	switch reply.Verdict {
	case wire.VerdictUnknown:
		writeJSON(w, http.StatusAccepted, ticketStatus{Ticket: op.sealed, State: StateNotStarted})
	case wire.VerdictRefused:
		r.fail(w, r.refusedProblem(&refusedError{reason: wire.ReasonRevoked}))
	case wire.VerdictKnown:
		if !reply.Done && !reply.Cut && len(reply.Data) == 0 {
			writeJSON(w, http.StatusAccepted, ticketStatus{Ticket: op.sealed, State: StateRunning})
			return
		}
		r.giveKept(w, req, op)
	default:
		r.fail(w, r.mayHaveRun(http.StatusBadGateway, op.sealed, "the agent that held the ticket is gone, or has forgotten it"))
	}
}

// giveKept reads a recorded answer to its end.
func (r *Router) giveKept(w http.ResponseWriter, req *http.Request, op *operation) {
	rd := r.newReader(op.handle())
	body, err := rd.collect(req.Context())
	if err != nil {
		r.fail(w, r.mayHaveRun(http.StatusBadGateway, op.sealed, "the call was run and its answer was lost"))
		return
	}
	r.giveRecorded(w, op, &answerWhole{status: rd.status, header: rd.header, body: body})
}

// revokeTicket makes sure that a ticket which has not started never does.
func (r *Router) revokeTicket(w http.ResponseWriter, req *http.Request, c caller) {
	op, ok := r.pathTicket(w, req, c)
	if !ok {
		return
	}
	switch r.revoke(req.Context(), op) {
	case wire.VerdictRevokedNotRun:
		w.WriteHeader(http.StatusNoContent)
	case wire.VerdictKnown:
		r.fail(w, problem.Problem{Status: http.StatusConflict, Code: problem.CodeConflict, Outcome: problem.OutcomeMayHaveRun, Ticket: op.sealed, Detail: "the call has started"})
	default:
		r.fail(w, r.mayHaveRun(http.StatusBadGateway, op.sealed, "the agent that held the ticket does not answer, is gone, or has forgotten it"))
	}
}

// writeJSON writes v as the answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
