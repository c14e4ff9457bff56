// Package forward sends a request to an upstream over its own pool of
// connections and reports the outcome.
//
// It never retries a request that may have been sent: each call of Send sends
// the request at most once, and the outcome of a failure tells whether the
// upstream may have run it. The package depends on no header of the platform;
// Options.Matches decides which answer belongs to a request.
package forward

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about a request that got no answer.
type Outcome uint8

// The outcomes.
const (
	NotSent    Outcome = iota + 1 // no byte was sent
	MayHaveRun                    // at least one byte may have been sent; no valid answer came
)

// String returns the outcome's name as it appears in logs.
func (o Outcome) String() string {
	if o == NotSent {
		return "not-sent"
	}
	return "may-have-run"
}

// Error describes a failed exchange with an upstream.
type Error struct {
	Outcome Outcome
	Address string
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Address, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Causes of an Error; test for them with errors.Is.
var (
	// ErrDial means that no connection could be opened.
	ErrDial = errors.New("forward: dial failed")
	// ErrConnectionLimit means that this router already has as many connections
	// to the upstream as it may open.
	ErrConnectionLimit = errors.New("forward: connection limit reached")
	// ErrAnswerMismatch means that the connection delivered only answers to other
	// requests, or one whose end cannot be found within a limit.
	ErrAnswerMismatch = errors.New("forward: answer belongs to another request")
)
