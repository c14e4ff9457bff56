package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

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
