// Package link carries remote procedure calls between the processes of the fleet.
// It uses net/rpc over TCP or mutual TLS and adds what net/rpc lacks: deadlines
// and cancellation, a limit on message size, heartbeats that detect a silent
// connection, reconnection, and errors that tell whether a call may have reached
// its peer.
package link

import (
	"expvar"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes of a failed call, for use with errors.Is.
var (
	// ErrNotSent means that no byte of the call reached the peer.
	ErrNotSent = errors.New("link: not sent")
	// ErrLost means that the call may have reached the peer and may have run.
	ErrLost = errors.New("link: lost")
	// ErrRemote means that the peer's method returned an error.
	ErrRemote = errors.New("link: remote error")
)

// Causes of a failed call, for use with errors.Is.
var (
	ErrTooLarge = errors.New("link: message exceeds the size limit")
	ErrSilent   = errors.New("link: peer silent for longer than the heartbeat timeout")
	ErrClosed   = errors.New("link: closed")
	// ErrPeerEnded means that the peer closed the connection in order and refuses new ones, as the
	// host of a process does that has ended. A network that is cut does not look so.
	ErrPeerEnded            = errors.New("link: peer has ended")
	ErrPlaintextOffLoopback = errors.New("link: unencrypted connections are allowed on loopback addresses only; set a certificate, key and CA")
)

// ErrPeerGone is the cause of a failed call if the peer, or something that answers for it, refuses
// connections after it has taken some: it has ended, or the network is cut.
var ErrPeerGone = errors.New("link: peer has ended or is cut off")

// Defaults of the options.
const (
	DefaultMaxMessageBytes   = 6 << 20
	DefaultMaxConnections    = 4096
	DefaultMaxCalls          = 4096 // calls in progress on one connection
	DefaultServerIdleTimeout = 2 * time.Minute
	DefaultClientIdleTimeout = 1 * time.Minute
	DefaultWriteTimeout      = 10 * time.Second // for one chunk of a message
	DefaultDialTimeout       = 2 * time.Second
	DefaultHeartbeatInterval = 1 * time.Second
	DefaultHeartbeatTimeout  = 3 * time.Second
)

// CallError describes a failed call. Outcome is ErrNotSent, ErrLost or
// ErrRemote.
type CallError struct {
	Outcome error
	Method  string
	Address string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: call %s at %s: %v", e.Outcome, e.Method, e.Address, e.Cause)
}

// Unwrap returns the outcome and the cause, so that errors.Is finds both.
func (e *CallError) Unwrap() []error { return []error{e.Outcome, e.Cause} }

// counters are the package's metrics, published by expvar under "link".
var counters = expvar.NewMap("link")

// Names of the counters.
const (
	countDials             = "dials"
	countDialFailures      = "dial_failures"
	countCalls             = "calls"
	countNotSent           = "calls_not_sent"
	countLost              = "calls_lost"
	countHeartbeats        = "heartbeats_sent"
	countSilent            = "connections_silent"
	countIdle              = "connections_idle_closed"
	countAccepted          = "connections_accepted"
	countRejected          = "connections_rejected"
	countHandshakeFailures = "tls_handshake_failures"
	countTooLarge          = "messages_too_large"
	countRepeated          = "messages_repeated"
	countBytesRead         = "bytes_read"
	countBytesWritten      = "bytes_written"
)

func orDefault[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}
