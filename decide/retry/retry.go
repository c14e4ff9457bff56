package retry

import (
	"math"
	"time"
)

// Failure classifies a failed attempt by what is known of it.
type Failure uint8

// The failures.
const (
	FailureNotSent    Failure = iota + 1 // the request never left: the connection was refused or not made
	FailureRefused                       // the agent refused it as not run for want of capacity, or because it leaves
	FailureFinal                         // refused for a reason that holds everywhere: forbidden, customer limit, deadline
	FailureMayHaveRun                    // sent, and the outcome is unknown
	FailureCut                           // the answer broke off after some bytes
	FailureRevoked                       // revoked before it started: it never ran and never will
)

// Attempt describes the attempts made of one request.
type Attempt struct {
	Failure    Failure       // of the last attempt
	Idempotent bool          // the request may be run more than once
	Resumes    bool          // the engine continues a partial answer
	Made       int           // attempts made
	Limit      int           // most attempts; 0 means DefaultAttempts
	Left       time.Duration // of the caller's deadline
	Need       time.Duration // shortest time in which another attempt can be of use
}

// DefaultAttempts is the most attempts of one request.
const DefaultAttempts = 3

// Decision says whether to try again.
type Decision uint8

// The decisions. Only DecisionRetry calls for a withdrawal from the budget.
const (
	DecisionRetry    Decision = iota + 1 // try another candidate
	DecisionFinal                        // no other attempt can end otherwise
	DecisionUnsafe                       // it may have run and may not be repeated
	DecisionAttempts                     // the attempts are used up
	DecisionDeadline                     // too little of the deadline is left
)

// Decide says whether a request whose last attempt failed may be tried on
// another candidate. The candidate that failed is not tried again.
func Decide(a Attempt) Decision {
	if a.Limit == 0 {
		a.Limit = DefaultAttempts
	}
	switch {
	case a.Failure == FailureFinal:
		return DecisionFinal
	case a.Failure == FailureMayHaveRun && !a.Idempotent:
		return DecisionUnsafe
	case a.Failure == FailureCut && (!a.Idempotent || !a.Resumes):
		return DecisionUnsafe
	case a.Made >= a.Limit:
		return DecisionAttempts
	case a.Left <= a.Need:
		return DecisionDeadline
	default:
		return DecisionRetry
	}
}

// Bounds of a computed Retry-After.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
)

// Pressure describes an upstream, or a service as a router sees it, that
// refuses work.
type Pressure struct {
	Waiting       int     // requests queued
	Refused       float64 // requests refused per second
	DonePerSecond float64 // rate of completion
}

// RetryAfter returns when a refused caller should come back: after the time in
// which the queue drains, plus a random part of the time in which the callers
// refused together could be served, so that they do not return together.
func RetryAfter(p Pressure, random uint64) time.Duration {
	rate := math.Max(p.DonePerSecond, 1/MaxRetryAfter.Seconds())
	drain := seconds(float64(p.Waiting) / rate)
	spread := max(drain, seconds(p.Refused/rate), MinRetryAfter)
	share := float64(random>>11) / (1 << 53)
	return min(max(drain, MinRetryAfter)+time.Duration(share*float64(spread)), 2*MaxRetryAfter)
}

// seconds converts s, at most MaxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Jitter returns a random delay before attempt number made, below base
// doubled for each attempt after the first and at most limit.
func Jitter(base, limit time.Duration, made int, random uint64) time.Duration {
	ceiling := base << min(max(made-1, 0), 16)
	if ceiling > limit || ceiling <= 0 {
		ceiling = limit
	}
	return time.Duration(float64(random>>11) / (1 << 53) * float64(ceiling))
}
