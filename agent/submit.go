package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// verdict is the agent's decision on a submitted request.
type verdict struct {
	verdict    wire.Verdict
	reason     wire.Reason
	retryAfter time.Duration
}

func refused(reason wire.Reason) verdict {
	return verdict{verdict: wire.VerdictRefused, reason: reason}
}

// submit decides on a request and starts it when it is admitted.
func (a *Agent) submit(args *wire.SubmitArgs) verdict {
	a.submitted.Store(int64(a.gate.now()))
	if args.Idempotent {
		return a.admit(args, "")
	}
	t, reason := a.checkTicket(args)
	if reason != "" {
		return refused(reason)
	}
	if v, held := a.hold(t, args); !held {
		return v
	}
	v := a.admit(args, t.Nonce)
	if v.verdict == wire.VerdictRefused {
		a.refuseHeld(t.Nonce)
	}
	return v
}

// checkTicket opens the ticket and compares it with the request.
func (a *Agent) checkTicket(args *wire.SubmitArgs) (ticket.Ticket, wire.Reason) {
	t, err := a.opts.Signer.Open(args.Ticket)
	if err != nil {
		return t, wire.ReasonForbidden
	}
	if t.Customer != args.Customer || t.Service != args.Service || t.Nonce != args.Request {
		return t, wire.ReasonForbidden
	}
	return t, ""
}

// hold enters the ticket into the ledger. It returns true if this submission
// is the ticket's first; then the ticket is held, not started.
func (a *Agent) hold(t ticket.Ticket, args *wire.SubmitArgs) (verdict, bool) {
	digest := ticket.BodyDigest(args.Method, args.Path, args.Query, args.Body)
	a.mu.Lock()
	decision := a.ledger.Submit(t, digest)
	a.mu.Unlock()
	switch decision {
	case ticket.DecisionHold:
		return verdict{}, true
	case ticket.DecisionKnown:
		counters.Add("tickets_repeated", 1)
		a.record(timeline.KindTicketRepeated, args, "")
		return verdict{verdict: wire.VerdictKnown}, false
	case ticket.DecisionDigestMismatch:
		return verdict{verdict: wire.VerdictDigestMismatch}, false
	case ticket.DecisionNotRun:
		return verdict{verdict: wire.VerdictRevokedNotRun}, false
	case ticket.DecisionFull:
		return refused(wire.ReasonKeptFull), false
	default:
		return verdict{verdict: wire.VerdictMayHaveRun}, false
	}
}

func (a *Agent) refuseHeld(nonce string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Refuse(nonce)
}

// admit passes the request through configuration, rules and gate, and starts
// it. nonce is empty for idempotent requests.
func (a *Agent) admit(args *wire.SubmitArgs, nonce string) verdict {
	a.admitting.Add(1)
	defer a.admitting.Add(-1)
	index, reason := a.checkRules(args)
	if reason != "" {
		return a.refuse(args, reason)
	}
	customer, ok := index.Customer(args.Customer)
	if !ok {
		return a.refuse(args, wire.ReasonForbidden)
	}
	if svc, ok := index.Service(args.Service); ok {
		a.gate.setMultiple(svc.LoadMultiple)
	}
	if !a.makeRoom() {
		return a.refuse(args, wire.ReasonKeptFull)
	}
	w, reason := a.gate.enter(customer, args)
	if reason != "" {
		return a.refuse(args, reason)
	}
	ctx, cancel := a.workContext(args, index, nonce)
	ans, first := a.answers.add(newAnswer(args.Request, args.Customer, nonce != "", cancel))
	if !first {
		cancel()
		a.gate.leave(w)
		return verdict{verdict: wire.VerdictKnown}
	}
	counters.Add("admitted", 1)
	a.record(timeline.KindRequestAdmitted, args, "")
	go a.run(ctx, w, ans, args, nonce)
	return verdict{verdict: wire.VerdictAccepted}
}

// keptTarget is the share of the kept bytes that eviction leaves, in tenths.
const keptTarget = 9

// makeRoom evicts recorded answers when the kept bytes are used up, and tells
// whether there is room now.
func (a *Agent) makeRoom() bool {
	if !a.answers.full() {
		return true
	}
	n := a.answers.evict(a.opts.KeptAnswerBytes / 10 * keptTarget)
	counters.Add("answers_evicted", int64(n))
	return !a.answers.full()
}

func (a *Agent) refuse(args *wire.SubmitArgs, reason wire.Reason) verdict {
	counters.Add("refused_"+string(reason), 1)
	a.record(timeline.KindRequestRefused, args, string(reason))
	v := refused(reason)
	switch reason {
	case wire.ReasonOverload, wire.ReasonQueueFull, wire.ReasonKeptFull, wire.ReasonCustomerLimit:
		v.retryAfter = a.gate.refuse(args.Customer, rand.Uint64())
	}
	return v
}

// checkRules tells why the configuration in force forbids the request, if so.
func (a *Agent) checkRules(args *wire.SubmitArgs) (*config.Index, wire.Reason) {
	if a.leaving.Load() {
		return nil, wire.ReasonLeaving
	}
	adopted := a.opts.Board.Configuration()
	if adopted == nil {
		return nil, wire.ReasonNoConfig
	}
	_, ok := adopted.Index.Allowed(args.Customer, args.Service, a.opts.Host, a.opts.FailureDomain)
	if ok && args.Service == a.opts.Service {
		return adopted.Index, ""
	}
	if adopted.Config.Version < args.ConfigVersion {
		return nil, wire.ReasonBehind
	}
	return nil, wire.ReasonForbidden
}

// workContext bounds the upstream call. Work under a ticket outlives the
// caller's deadline, so that its outcome can be asked for later.
func (a *Agent) workContext(args *wire.SubmitArgs, index *config.Index, nonce string) (context.Context, context.CancelFunc) {
	limit := a.opts.UpstreamTimeout
	if svc, ok := index.Service(args.Service); ok && svc.TimeoutSeconds > 0 {
		limit = time.Duration(svc.TimeoutSeconds) * time.Second
	}
	if nonce == "" && args.Timeout > 0 {
		limit = min(limit, args.Timeout)
	}
	return context.WithTimeout(context.Background(), limit)
}

// record adds an event to the time line.
func (a *Agent) record(kind timeline.Kind, args *wire.SubmitArgs, reason string) {
	a.opts.Timeline.Record(timeline.Event{
		Kind:     kind,
		Request:  args.Request,
		Customer: args.Customer,
		Service:  a.opts.Service,
		Upstream: a.opts.Host,
		Reason:   reason,
	})
}

// recordOutcome adds the end of an upstream call to the time line.
func (a *Agent) recordOutcome(args *wire.SubmitArgs, outcome string) {
	a.opts.Timeline.Record(timeline.Event{
		Kind:     timeline.KindRequestOutcome,
		Request:  args.Request,
		Customer: args.Customer,
		Service:  a.opts.Service,
		Upstream: a.opts.Host,
		Outcome:  outcome,
	})
}
