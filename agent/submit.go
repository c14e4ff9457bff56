package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/headtext"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
	"github.com/apex/log"
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

// submit decides on a request and starts it if it is admitted.
func (a *Agent) submit(args *wire.SubmitArgs) verdict {
	a.lastSubmit.Store(int64(a.limiter.now()))
	if args.Idempotent {
		return a.admit(args, "")
	}
	t, reason := a.checkTicket(args)
	if reason != "" {
		return refused(reason)
	}
	if v, first := a.registerTicket(t, args); !first {
		return v
	}
	v := a.admit(args, t.Nonce)
	if v.verdict == wire.VerdictRefused {
		a.refuseTicket(t.Nonce)
	}
	return v
}

// checkTicket verifies the ticket's signature and that the ticket belongs to the
// request. The returned reason is empty if both hold.
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

// registerTicket records the ticket in the ledger. It returns true if this is
// the ticket's first submission; the ticket is then registered but not started.
// Otherwise the verdict is the reply to the submission.
func (a *Agent) registerTicket(t ticket.Ticket, args *wire.SubmitArgs) (verdict, bool) {
	digest := ticket.BodyDigest(args.Method, args.Path, args.Query, args.Body)
	a.mu.Lock()
	decision := a.ledger.Submit(t, digest)
	a.mu.Unlock()
	switch decision {
	case ticket.DecisionAccepted:
		return verdict{}, true
	case ticket.DecisionKnown:
		counters.Add("tickets_repeated", 1)
		a.recordEvent(timeline.KindTicketRepeated, args, "")
		return verdict{verdict: wire.VerdictKnown}, false
	case ticket.DecisionDigestMismatch:
		return verdict{verdict: wire.VerdictDigestMismatch}, false
	case ticket.DecisionNotRun:
		return verdict{verdict: wire.VerdictRevokedNotRun}, false
	case ticket.DecisionFull:
		return refused(wire.ReasonKeptAnswersFull), false
	default:
		return verdict{verdict: wire.VerdictMayHaveRun}, false
	}
}

func (a *Agent) refuseTicket(nonce string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Refuse(nonce)
}

// admit checks the request against the configuration, the rules and the limiter,
// and starts it if all allow it. nonce is empty for idempotent requests.
func (a *Agent) admit(args *wire.SubmitArgs, nonce string) verdict {
	a.admitting.Add(1)
	defer a.admitting.Add(-1)
	if part := unwritablePart(args); part != "" {
		a.opts.Log.WithFields(log.Fields{"request": args.Request, "router": args.From, "part": part}).
			Warn("request cannot be written into a head; it is refused")
		return a.refuse(args, wire.ReasonMalformed)
	}
	index, reason := a.checkRules(args)
	if reason != "" {
		return a.refuse(args, reason)
	}
	customer, ok := index.Customer(args.Customer)
	if !ok {
		return a.refuse(args, wire.ReasonForbidden)
	}
	if svc, ok := index.Service(args.Service); ok {
		a.limiter.setMultiple(svc.LoadMultiple)
	}
	if !a.makeRoom() {
		return a.refuse(args, wire.ReasonKeptAnswersFull)
	}
	w, reason := a.limiter.acquire(customer, args)
	if reason != "" {
		return a.refuse(args, reason)
	}
	ctx, cancel := a.workContext(args, index, nonce)
	ans, first := a.answers.add(newAnswer(args.Request, args.Customer, nonce != "", cancel))
	if !first {
		cancel()
		a.limiter.release(w)
		return verdict{verdict: wire.VerdictKnown}
	}
	counters.Add("admitted", 1)
	a.recordEvent(timeline.KindRequestAdmitted, args, "")
	go a.run(ctx, w, ans, args, nonce)
	return verdict{verdict: wire.VerdictAccepted}
}

// unwritablePart returns the name of a part of a request that cannot be written into the head of a
// message to the upstream, or would be read as another one there; empty if all can. A path is
// written escaped.
func unwritablePart(args *wire.SubmitArgs) string {
	switch {
	case !headtext.IsName(args.Method):
		return "method"
	case args.Query != "" && !headtext.IsTarget(args.Query):
		return "query"
	case !headtext.AreFields(args.Header):
		return "header"
	}
	return ""
}

// evictionTargetTenths is the share of Options.KeptAnswerBytes, in tenths, that
// may remain in use after an eviction.
const evictionTargetTenths = 9

// makeRoom evicts ended answers to ticketed requests if the byte limit on
// answers is reached. It reports whether there is room afterwards.
func (a *Agent) makeRoom() bool {
	if !a.answers.full() {
		return true
	}
	n := a.answers.evict(a.opts.KeptAnswerBytes / 10 * evictionTargetTenths)
	counters.Add("answers_evicted", int64(n))
	return !a.answers.full()
}

func (a *Agent) refuse(args *wire.SubmitArgs, reason wire.Reason) verdict {
	counters.Add("refused_"+string(reason), 1)
	a.recordEvent(timeline.KindRequestRefused, args, string(reason))
	v := refused(reason)
	switch reason {
	case wire.ReasonOverload, wire.ReasonQueueFull, wire.ReasonKeptAnswersFull, wire.ReasonCustomerLimit:
		v.retryAfter = a.limiter.recordRefusal(args.Customer, rand.Uint64())
	}
	return v
}

// observeLimit records what an answer says of the upstream's limit.
func (a *Agent) observeLimit(named limit.Named) {
	if a.limiter.observeLimit(named) {
		a.opts.Log.WithFields(log.Fields{"host": a.opts.Host, "limited": named.Kind == limit.PerSecond, "per_second": named.Rate}).
			Info("limit that the upstream names has begun or ended")
	}
}

// checkRules returns the index of the configuration in force if that
// configuration allows the request, and otherwise the reason for a refusal.
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

// workContext returns the context of the upstream call, with its timeout. A
// ticketed request may run past the caller's deadline, because the caller can
// ask for its outcome later.
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

// recordEvent adds an event about a request to the timeline.
func (a *Agent) recordEvent(kind timeline.Kind, args *wire.SubmitArgs, reason string) {
	a.opts.Timeline.Record(timeline.Event{
		Kind:     kind,
		Request:  args.Request,
		Customer: args.Customer,
		Service:  a.opts.Service,
		Upstream: a.opts.Host,
		Reason:   reason,
	})
}

// recordOutcome adds the outcome of an upstream call to the timeline.
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
