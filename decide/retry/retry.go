package retry

import (
	"math"
	"time"
)

// Failure classifies a failed attempt by what is known about its execution.
type Failure uint8

// Kinds of failures.
const (
	FailureNotSent    Failure = iota + 1 // the request was not sent: the connection was refused or could not be made
	FailureRefused                       // the agent did not run it for lack of capacity, or because it is draining
	FailureFinal                         // refused for a reason that holds on every upstream: forbidden, customer limit, deadline
	FailureMayHaveRun                    // sent, and the outcome is unknown
	FailureCut                           // the answer broke off after part of it had arrived
	FailureRevoked                       // revoked before it started: it did not run and never will
)

// Attempt describes the attempts made for one request.
type Attempt struct {
	Failure      Failure       // of the last attempt
	Idempotent   bool          // the request may be run more than once
	Resumable    bool          // the engine can continue a partial answer
	Attempts     int           // attempts made so far
	Limit        int           // most attempts; 0 means DefaultAttempts
	Remaining    time.Duration // time until the caller's deadline
	MinRemaining time.Duration // shortest time in which another attempt can be useful
}

// DefaultAttempts is the most attempts of one request.
const DefaultAttempts = 3

// Decision is whether a request is retried, and why not.
type Decision uint8

// Possible decisions. Only DecisionRetry requires a withdrawal from the budget.
const (
	DecisionRetry    Decision = iota + 1 // try another candidate
	DecisionFinal                        // another attempt would fail the same way
	DecisionUnsafe                       // it may have run and must not be repeated
	DecisionAttempts                     // the attempts are used up
	DecisionDeadline                     // too little of the deadline is left
)

// Decide decides whether a request whose last attempt failed is retried on another
// candidate. The candidate that failed must not be tried again.
func Decide(a Attempt) Decision {
	if a.Limit == 0 {
		a.Limit = DefaultAttempts
	}
	switch {
	case a.Failure == FailureFinal:
		return DecisionFinal
	case a.Failure == FailureMayHaveRun && !a.Idempotent:
		return DecisionUnsafe
	case a.Failure == FailureCut && (!a.Idempotent || !a.Resumable):
		return DecisionUnsafe
	case a.Attempts >= a.Limit:
		return DecisionAttempts
	case a.Remaining <= a.MinRemaining:
		return DecisionDeadline
	default:
		return DecisionRetry
	}
}

// Bounds of the parts of a Retry-After time; see RetryAfter.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
)

// Pressure is the load of an upstream that refuses work, or of a service as one
// router sees it.
type Pressure struct {
	Waiting       int     // requests queued
	Refused       float64 // requests refused per second
	DonePerSecond float64 // rate of completion
}

// RetryAfter returns the time after which a refused caller should retry: the time
// needed to drain the queue, plus a random part of that time or, if longer, of the
// time needed to serve the callers refused in one second, so that they do not
// retry together. The result is at least MinRetryAfter and at most twice
// MaxRetryAfter.
func RetryAfter(p Pressure, random uint64) time.Duration {
	rate := math.Max(p.DonePerSecond, 1/MaxRetryAfter.Seconds())
	drain := cappedSeconds(float64(p.Waiting) / rate)
	jitterRange := max(drain, cappedSeconds(p.Refused/rate), MinRetryAfter)
	fraction := float64(random>>11) / (1 << 53)
	return min(max(drain, MinRetryAfter)+time.Duration(fraction*float64(jitterRange)), 2*MaxRetryAfter)
}

// cappedSeconds converts s to a duration of at most MaxRetryAfter.
func cappedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(s, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Jitter returns a random delay after the given number of attempts, below base
// doubled for each attempt after the first and at most limit.
func Jitter(base, limit time.Duration, attempts int, random uint64) time.Duration {
	ceiling := base << min(max(attempts-1, 0), 16)
	if ceiling > limit || ceiling <= 0 {
		ceiling = limit
	}
	return time.Duration(float64(random>>11) / (1 << 53) * float64(ceiling))
}
