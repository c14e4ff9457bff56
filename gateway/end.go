package gateway

import (
	"net/http"
	"time"
)

// endKind is the way in which a request ended.
type endKind uint8

// The ways in which a request ends.
const (
	endAnswered   endKind = iota + 1 // an upstream's complete answer was delivered
	endRefused                       // has not run and never will
	endDenied                        // not allowed or malformed
	endFailed                        // may have run
	endCut                           // the answer broke off after part of it was delivered
	endCallerLeft                    // the caller left
)

var endNames = map[endKind]string{
	endAnswered: "answered", endRefused: "refused", endDenied: "denied",
	endFailed: "failed", endCut: "cut", endCallerLeft: "caller-left",
}

// end is how a request ended, and the response of the router itself if no answer
// of an upstream was delivered.
type end struct {
	kind       endKind
	status     int           // of the router's response; 0 if there is none
	reason     string        // for the caller and the log; it quotes no upstream
	cause      string        // for the log only: errors, addresses and bytes of upstreams
	retryAfter time.Duration // 0 if retrying soon is of no use
}

// because returns the end with its cause.
func (e end) because(err error) end {
	e.cause = err.Error()
	return e
}

func refused(reason string, retryAfter time.Duration) end {
	return end{kind: endRefused, status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func denied(status int, reason string) end {
	return end{kind: endDenied, status: status, reason: reason}
}

// interrupted returns the end of a request that may have run and whose context ended,
// although its caller has not left.
func (g *Gateway) interrupted() end {
	if g.running.Err() != nil {
		return failed(http.StatusBadGateway, "router stopped")
	}
	return failed(http.StatusGatewayTimeout, "timeout")
}

func failed(status int, reason string) end {
	return end{kind: endFailed, status: status, reason: reason}
}
