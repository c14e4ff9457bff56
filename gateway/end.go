package gateway

import (
	"net/http"
	"time"
)

// endKind says how a request ended.
type endKind uint8

// The ends of a request.
const (
	endAnswered endKind = iota + 1 // an upstream's whole answer was delivered
	endRefused                     // not run, and never will be
	endDenied                      // not allowed, or malformed
	endFailed                      // may have run
	endCut                         // the answer broke off after its beginning was delivered
	endLeft                        // the caller left
)

var endNames = map[endKind]string{
	endAnswered: "answered", endRefused: "refused", endDenied: "denied",
	endFailed: "failed", endCut: "cut", endLeft: "caller-left",
}

// end is how a request ended, and what the caller is told where no answer of an
// upstream was delivered.
type end struct {
	kind       endKind
	status     int // told to the caller; 0 if the answer was an upstream's or broke off
	reason     string
	retryAfter time.Duration // 0 if coming back soon is of no use
}

func refused(reason string, retryAfter time.Duration) end {
	return end{kind: endRefused, status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func denied(status int, reason string) end {
	return end{kind: endDenied, status: status, reason: reason}
}

func failed(status int, reason string) end {
	return end{kind: endFailed, status: status, reason: reason}
}
