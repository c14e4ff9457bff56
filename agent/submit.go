package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	maxReadWait = 5 * time.Second
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

// run waits for the gate, calls the upstream and records the outcome.
func (a *Agent) run(ctx context.Context, w *waiter, ans *answer, args *wire.SubmitArgs, nonce string) {
	defer ans.cancel()
	defer a.gate.leave(w)
	if reason := a.await(ctx, w, args); reason != "" {
		a.giveUp(ans, args, nonce, reason)
		return
	}
	if nonce == "" {
		a.runIdempotent(ctx, ans, args)
		return
	}
	a.runOnce(ctx, ans, args, nonce)
}

// await waits until the gate admits w, or returns why it was given up.
func (a *Agent) await(ctx context.Context, w *waiter, args *wire.SubmitArgs) wire.Reason {
	wait := a.opts.MaxQueueWait
	if args.Timeout > 0 {
		wait = min(wait, args.Timeout)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return ""
	case <-timer.C:
		return wire.ReasonOverload
	case <-ctx.Done():
		return wire.ReasonDeadline
	}
}

// giveUp ends a request that never reached the upstream.
func (a *Agent) giveUp(ans *answer, args *wire.SubmitArgs, nonce string, reason wire.Reason) {
	if nonce != "" {
		a.refuseHeld(nonce)
	}
	counters.Add("refused_"+string(reason), 1)
	a.record(timeline.KindRequestRefused, args, string(reason))
	ans.finish(endRefused, reason)
}

// answerSink writes an upstream's answer where its readers find it.
type answerSink struct {
	answers *answers
	answer  *answer
}

func (s answerSink) start(status int, header http.Header) {
	s.answer.start(status, header)
}

func (s answerSink) write(p []byte) bool {
	return s.answers.write(s.answer, p)
}

// runIdempotent calls the upstream for work that may repeat.
func (a *Agent) runIdempotent(ctx context.Context, ans *answer, args *wire.SubmitArgs) {
	whole, err := a.upstream.call(ctx, a.upstream.client, args, answerSink{a.answers, ans})
	switch {
	case isNotSent(err):
		a.giveUp(ans, args, "", wire.ReasonUpstreamDown)
	case errors.Is(err, errBusy):
		a.giveUp(ans, args, "", wire.ReasonUpstreamBusy)
	default:
		a.finish(ans, args, whole)
	}
}

// runOnce calls the upstream for work that may not repeat. The connection is
// open before the ticket starts, so that an upstream that refuses connections
// is known not to have run anything.
func (a *Agent) runOnce(ctx context.Context, ans *answer, args *wire.SubmitArgs, nonce string) {
	conn, err := a.upstream.dial(ctx)
	if err != nil {
		a.giveUp(ans, args, nonce, wire.ReasonUpstreamDown)
		return
	}
	defer conn.Close()
	if !a.startTicket(nonce) {
		ans.finish(endRefused, wire.ReasonRevoked)
		return
	}
	a.record(timeline.KindTicketRun, args, "")
	whole, _ := a.upstream.call(ctx, once(conn), args, answerSink{a.answers, ans})
	a.finishTicket(nonce, whole)
	a.finish(ans, args, whole)
}

func (a *Agent) startTicket(nonce string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Start(nonce)
}

func (a *Agent) finishTicket(nonce string, whole bool) {
	outcome := ticket.OutcomeLost
	if whole {
		outcome = ticket.OutcomeAnswered
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Finish(nonce, outcome)
}

// finish ends an answer whose call reached the upstream.
func (a *Agent) finish(ans *answer, args *wire.SubmitArgs, whole bool) {
	if whole {
		counters.Add("answered", 1)
		a.recordOutcome(args, "whole")
		ans.finish(endWhole, "")
		return
	}
	counters.Add("cut", 1)
	a.recordOutcome(args, "cut")
	ans.finish(endCut, "")
}

// Revoke makes sure that a ticket which has not started never does.
func (s *Service) Revoke(args *wire.RequestArgs, reply *wire.RequestReply) error {
	a := s.agent
	a.observe(args.Meta)
	reply.Verdict = a.revoke(args)
	reply.Meta = a.Meta()
	counters.Add("revoked", 1)
	return nil
}

func (a *Agent) revoke(args *wire.RequestArgs) wire.Verdict {
	t, err := a.opts.Signer.Open(args.Ticket)
	if err != nil || t.Customer != args.Customer {
		return wire.VerdictUnknown
	}
	a.mu.Lock()
	decision := a.ledger.Revoke(t)
	a.mu.Unlock()
	switch decision {
	case ticket.DecisionNotRun:
		return wire.VerdictRevokedNotRun
	case ticket.DecisionKnown:
		return wire.VerdictKnown
	default:
		return wire.VerdictMayHaveRun
	}
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
