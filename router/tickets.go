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

// HeaderOutcome distinguishes a recorded answer from a response of the router
// itself.
const HeaderOutcome = "Dandelionrill-Outcome"

const outcomeAnswered = "answered"

// TicketState is the state of a ticket that has no answer yet.
type TicketState string

// States of a ticket.
const (
	StateNotStarted TicketState = "not-started" // may still start unless it is revoked
	StateRunning    TicketState = "running"
)

// Errors of a ticket that the caller sent.
var (
	errInvalidTicket         = errors.New("router: not a ticket of this customer and service")
	errIssuedForOtherRequest = errors.Mark(errors.New("router: the ticket was issued for another request"), errDigestMismatch)
)

// suppliedTicket returns the operation for the ticket that the caller sent, or
// nil if it sent none.
func (r *Router) suppliedTicket(req *http.Request, q *request) (*operation, error) {
	sealed := req.Header.Get(HeaderTicket)
	if sealed == "" {
		return nil, nil
	}
	op, err := r.openTicket(sealed)
	if err != nil || op.ticket.Customer != q.customer.ID || op.ticket.Service != q.service.ID {
		return nil, errInvalidTicket
	}
	digest := ticket.BodyDigest(q.method, q.path, q.query, q.body)
	if op.ticket.Digest != "" && op.ticket.Digest != digest {
		return nil, errIssuedForOtherRequest
	}
	return op, nil
}

// writeNonIdempotentProblem writes the problem response for a non-idempotent
// call that ended with err.
func (r *Router) writeNonIdempotentProblem(w http.ResponseWriter, op *operation, err error) {
	var refused *refusedError
	switch {
	case errors.Is(err, errInvalidTicket):
		r.writeProblem(w, problem.Problem{Status: http.StatusBadRequest, Code: problem.CodeBadTicket, Outcome: problem.OutcomeNotRun, Detail: "header " + HeaderTicket + ": not a ticket of this customer and service"})
	case errors.Is(err, errDigestMismatch):
		r.writeProblem(w, problem.Problem{Status: http.StatusUnprocessableEntity, Code: problem.CodeTicketMismatch, Outcome: problem.OutcomeNotRun, Detail: "this call was not run: its ticket belongs to a call with another method, path, query or body, which keeps its own outcome"})
	case errors.Is(err, claims.ErrMismatch):
		r.writeProblem(w, problem.Problem{Status: http.StatusUnprocessableEntity, Code: problem.CodeTicketMismatch, Outcome: problem.OutcomeNotRun, Detail: "this call was not run: its idempotency key was first used for a call with another method, path, query or body, which keeps its own outcome"})
	case errors.Is(err, claims.ErrUnavailable):
		// An earlier call with the same key may have run through any router.
		p := r.mayHaveRunProblem(http.StatusServiceUnavailable, "", "this call was not run: the platform did not confirm its idempotency key; an earlier call with the key may have run. Repeat with the same key")
		p.Code = problem.CodePlatformDown
		r.writeProblem(w, p)
	case errors.Is(err, errMayHaveRun):
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		r.writeProblem(w, r.mayHaveRunProblem(status, op.sealed, "the call was submitted, but its outcome is not known"))
	case errors.As(err, &refused):
		r.writeProblem(w, r.refusedProblem(refused))
	case errors.Is(err, errNoUpstream), errors.Is(err, errNotAccepted):
		r.writeProblem(w, r.unavailableProblem("no upstream is available now"))
	default:
		r.writeProblem(w, r.mayHaveRunProblem(http.StatusBadGateway, op.sealed, "the call failed unexpectedly"))
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

// serveIssueTicket issues a ticket for one later call of the caller.
func (r *Router) serveIssueTicket(w http.ResponseWriter, req *http.Request, c caller) {
	body, ok := r.readBody(w, req)
	if !ok {
		return
	}
	defer body.Release()
	var want ticketRequest
	if err := json.Unmarshal(body.Bytes(), &want); err != nil {
		r.badRequest(w, errors.Wrap(err, "body: not a JSON object with a service"))
		return
	}
	service, _, ok := r.plainService(w, c, want.Service)
	if !ok {
		return
	}
	q := &request{adopted: c.adopted, customer: c.customer, service: service, chat: randid.New()}
	op, err := r.issueAtNextUpstream(req.Context(), q, r.newUpstreamIterator(q, ""), "")
	if err != nil {
		r.writeProblem(w, r.unavailableProblem("no upstream is available now"))
		return
	}
	w.Header().Set(HeaderTicket, op.sealed)
	writeJSON(w, http.StatusCreated, ticketReply{Ticket: op.sealed, Service: service.ID})
}

// pathTicket returns the operation for the ticket in the request's path. On
// failure it writes the problem response and returns false.
func (r *Router) pathTicket(w http.ResponseWriter, req *http.Request, c caller) (*operation, bool) {
	op, err := r.openTicket(req.PathValue("ticket"))
	if err == nil && op.ticket.Customer == c.customer.ID && op.ticket.Service != tokenService {
		return op, true
	}
	r.writeProblem(w, problem.Problem{Status: http.StatusNotFound, Code: problem.CodeBadTicket, Detail: "not a ticket of this customer"})
	return nil, false
}

// ticketStatus is the answer for a ticket whose call has no answer yet.
type ticketStatus struct {
	Ticket string      `json:"ticket"`
	State  TicketState `json:"state"`
}

// serveOutcome returns the outcome of a ticket: its recorded answer if there
// is one, its state otherwise. It changes nothing.
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
		r.writeProblem(w, r.mayHaveRunProblem(http.StatusBadGateway, op.sealed, "the agent that holds the ticket does not answer"))
		return
	}
	r.observeMeta(reply.Meta)
	r.writeOutcome(w, req, op, reply)
}

func (r *Router) writeOutcome(w http.ResponseWriter, req *http.Request, op *operation, reply *wire.ReadReply) {
	switch reply.Verdict {
	case wire.VerdictUnknown:
		writeJSON(w, http.StatusAccepted, ticketStatus{Ticket: op.sealed, State: StateNotStarted})
	case wire.VerdictRefused:
		r.writeProblem(w, r.refusedProblem(&refusedError{reason: wire.ReasonRevoked}))
	case wire.VerdictKnown:
		if !reply.Done && !reply.Cut && len(reply.Data) == 0 {
			writeJSON(w, http.StatusAccepted, ticketStatus{Ticket: op.sealed, State: StateRunning})
			return
		}
		r.forwardRecordedAnswer(w, req, op)
	default:
		r.writeProblem(w, r.mayHaveRunProblem(http.StatusBadGateway, op.sealed, "the agent that held the ticket was replaced, or no longer has a record of it"))
	}
}

// forwardRecordedAnswer reads a recorded answer in full and writes it to the
// caller.
func (r *Router) forwardRecordedAnswer(w http.ResponseWriter, req *http.Request, op *operation) {
	rd := r.newAnswerReader(op.handle())
	body, err := rd.readAll(req.Context())
	if err != nil {
		r.writeProblem(w, r.mayHaveRunProblem(http.StatusBadGateway, op.sealed, "the call was run and its answer was lost"))
		return
	}
	r.writeRecordedAnswer(w, op, &completeAnswer{status: rd.status, header: rd.header, body: body})
}

// revokeTicket revokes a ticket on behalf of the caller, so that it never
// starts if it has not started yet.
func (r *Router) revokeTicket(w http.ResponseWriter, req *http.Request, c caller) {
	op, ok := r.pathTicket(w, req, c)
	if !ok {
		return
	}
	switch r.revoke(req.Context(), op) {
	case wire.VerdictRevokedNotRun:
		w.WriteHeader(http.StatusNoContent)
	case wire.VerdictKnown:
		r.writeProblem(w, problem.Problem{Status: http.StatusConflict, Code: problem.CodeConflict, Outcome: problem.OutcomeMayHaveRun, Ticket: op.sealed, Detail: "the call has started"})
	default:
		r.writeProblem(w, r.mayHaveRunProblem(http.StatusBadGateway, op.sealed, "the agent that held the ticket does not answer, was replaced, or no longer has a record of it"))
	}
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
