// Package forward sends one request to one upstream over connections of its
// own and says what became of it.
//
// Nothing is sent twice: a request leaves once for each call of Send, and the
// outcome tells whether the upstream can have run it. The package knows no
// header of the platform; the caller says by Options.Matches which answer
// belongs to a request.
package forward

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known of a request that got no answer.
type Outcome uint8

// The outcomes.
const (
	NotSent    Outcome = iota + 1 // no byte left
	MayHaveRun                    // sent, and no answer can be relied on
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	if o == NotSent {
		return "not-sent"
	}
	return "may-have-run"
}

// Error is a failed exchange.
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

// Causes, to be tested with errors.Is.
var (
	// ErrDial says that no connection could be made.
	ErrDial = errors.New("forward: no connection")
	// ErrConnectionLimit says that the upstream has as many connections as this
	// router may open to it.
	ErrConnectionLimit = errors.New("forward: connection limit reached")
	// ErrForeignAnswer says that answers to other requests came instead.
	ErrForeignAnswer = errors.New("forward: answer to another request")
)
