package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// run waits until the limiter admits the request, calls the upstream and records
// the outcome.
func (a *Agent) run(ctx context.Context, w *waiter, ans *answer, args *wire.SubmitArgs, nonce string) {
	defer ans.cancel()
	defer a.limiter.release(w)
	defer func() {
		if value := recover(); value != nil {
			panics.Report(a.opts.Log, "agent.run", value, log.Fields{"request": args.Request})
			a.finishTicket(nonce, false) // no effect unless it has started
			a.finish(ans, args, false)
		}
	}()
	if reason := a.waitForSlot(ctx, w, args); reason != "" {
		a.finishRefused(ans, args, nonce, reason)
		return
	}
	if nonce == "" {
		a.runIdempotent(ctx, ans, args)
		return
	}
	a.runTicketed(ctx, ans, args, nonce)
}

// waitForSlot waits until the limiter admits w. If the queue wait or ctx ends
// first, it returns the reason.
func (a *Agent) waitForSlot(ctx context.Context, w *waiter, args *wire.SubmitArgs) wire.Reason {
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

// finishRefused ends a request that was never sent to the upstream, or that the
// upstream refused for lack of capacity.
func (a *Agent) finishRefused(ans *answer, args *wire.SubmitArgs, nonce string, reason wire.Reason) {
	if nonce != "" {
		a.refuseTicket(nonce)
	}
	counters.Add("refused_"+string(reason), 1)
	a.recordEvent(timeline.KindRequestRefused, args, string(reason))
	ans.finish(endRefused, reason)
}

// answerSink is a sink that writes an upstream's answer into the stored answers.
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

// runIdempotent calls the upstream with a request that may be repeated.
func (a *Agent) runIdempotent(ctx context.Context, ans *answer, args *wire.SubmitArgs) {
	complete, err := a.upstream.call(ctx, a.upstream.client, args, answerSink{a.answers, ans})
	switch {
	case isNotSent(err):
		a.finishRefused(ans, args, "", wire.ReasonUpstreamDown)
	case errors.Is(err, errBusy):
		a.finishRefused(ans, args, "", wire.ReasonUpstreamBusy)
	default:
		a.finish(ans, args, complete)
	}
}

// runTicketed calls the upstream with a request that must not be repeated. It
// opens the connection before it starts the ticket, so that a request is known
// not to have run if the upstream refused the connection.
func (a *Agent) runTicketed(ctx context.Context, ans *answer, args *wire.SubmitArgs, nonce string) {
	conn, err := a.upstream.dial(ctx)
	if err != nil {
		a.finishRefused(ans, args, nonce, wire.ReasonUpstreamDown)
		return
	}
	defer conn.Close()
	if !a.startTicket(nonce) {
		ans.finish(endRefused, wire.ReasonRevoked)
		return
	}
	a.recordEvent(timeline.KindTicketRun, args, "")
	complete, _ := a.upstream.call(ctx, newSingleUseClient(conn), args, answerSink{a.answers, ans})
	a.finishTicket(nonce, complete)
	a.finish(ans, args, complete)
}

func (a *Agent) startTicket(nonce string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Start(nonce)
}

func (a *Agent) finishTicket(nonce string, complete bool) {
	outcome := ticket.OutcomeLost
	if complete {
		outcome = ticket.OutcomeAnswered
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Finish(nonce, outcome)
}

// finish ends the answer of a call that may have reached the upstream.
func (a *Agent) finish(ans *answer, args *wire.SubmitArgs, complete bool) {
	if complete {
		counters.Add("answered", 1)
		a.recordOutcome(args, "whole")
		ans.finish(endComplete, "")
		return
	}
	counters.Add("cut", 1)
	a.recordOutcome(args, "cut")
	ans.finish(endTruncated, "")
}
