package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/problem"
	"dandelionrill.example/fleet/wire"
)

// defaultRetryAfter returns a randomized Retry-After delay, so that callers
// rejected together do not retry together.
func (r *Router) defaultRetryAfter() time.Duration {
	return retry.RetryAfter(retry.Pressure{DonePerSecond: 1}, rand.Uint64())
}

// retryAfterRefusal returns the delay that the agent computed from its load
// and rates, or the default if it sent none.
func (r *Router) retryAfterRefusal(e *refusedError) time.Duration {
	if e.retryAfter > 0 {
		return e.retryAfter
	}
	return r.defaultRetryAfter()
}

// idempotentProblem returns the problem for idempotent work that ended without
// an answer. delivered means that the caller has received part of one.
func (r *Router) idempotentProblem(err error, delivered bool) problem.Problem {
	if delivered {
		return problem.Problem{
			Status: http.StatusBadGateway, Code: problem.CodeUpstreamLost, Outcome: problem.OutcomeIncomplete,
			Detail: "the answer was interrupted and could not be continued", RetryAfter: r.defaultRetryAfter(),
		}
	}
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		return r.refusedProblem(refused)
	case errors.Is(err, errNoUpstream), errors.Is(err, link.ErrNotSent):
		return r.unavailableProblem("no upstream is available now")
	case errors.Is(err, context.DeadlineExceeded):
		return problem.Problem{
			Status: http.StatusGatewayTimeout, Code: problem.CodeDeadline, Outcome: problem.OutcomeIncomplete,
			Detail: "the deadline passed before the answer was complete",
		}
	default:
		return problem.Problem{
			Status: http.StatusBadGateway, Code: problem.CodeUpstreamLost, Outcome: problem.OutcomeIncomplete,
			Detail: "the upstream did not return a complete answer", RetryAfter: r.defaultRetryAfter(),
		}
	}
}

func (r *Router) unavailableProblem(detail string) problem.Problem {
	return problem.Problem{
		Status: http.StatusServiceUnavailable, Code: problem.CodeNoUpstream, Outcome: problem.OutcomeNotRun,
		Detail: detail, RetryAfter: r.defaultRetryAfter(),
	}
}

// refusedProblem returns the problem for a request that was not run and never
// will be.
func (r *Router) refusedProblem(e *refusedError) problem.Problem {
	p := problem.Problem{Outcome: problem.OutcomeNotRun, Detail: "refused: " + string(e.reason)}
	switch e.reason {
	case wire.ReasonForbidden:
		p.Status, p.Code = http.StatusForbidden, problem.CodeForbidden
	case wire.ReasonMalformed:
		p.Status, p.Code = http.StatusBadRequest, problem.CodeBadRequest
	case wire.ReasonCustomerLimit, wire.ReasonQueueFull:
		p.Status, p.Code, p.RetryAfter = http.StatusTooManyRequests, problem.CodeCustomerLimit, r.retryAfterRefusal(e)
	case wire.ReasonOverload, wire.ReasonKeptAnswersFull, wire.ReasonUpstreamBusy:
		p.Status, p.Code, p.RetryAfter = http.StatusServiceUnavailable, problem.CodeOverload, r.retryAfterRefusal(e)
	case wire.ReasonDeadline:
		p.Status, p.Code = http.StatusGatewayTimeout, problem.CodeDeadline
	case wire.ReasonRevoked:
		p.Status, p.Code = http.StatusConflict, problem.CodeConflict
	default:
		p.Status, p.Code, p.RetryAfter = http.StatusServiceUnavailable, problem.CodeNoUpstream, r.defaultRetryAfter()
	}
	return p
}

// mayHaveRunProblem returns the problem for a call whose outcome is unknown.
// encoded is its sealed ticket, with which the caller can ask for the outcome
// later.
func (r *Router) mayHaveRunProblem(status int, encoded, detail string) problem.Problem {
	if encoded != "" {
		detail += "; query it with GET /v1/tickets/{ticket}"
	}
	return problem.Problem{
		Status: status, Code: problem.CodeResultUnknown, Outcome: problem.OutcomeMayHaveRun,
		Detail: detail, RetryAfter: r.defaultRetryAfter(), Ticket: encoded,
	}
}
