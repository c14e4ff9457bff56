package gateway

import (
	"net/http"

	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/internal/panics"
	"github.com/apex/log"
)

// resultPanic is the result of a send whose handling panicked.
const resultPanic = "panic"

// reportPanic logs and counts a panic that was recovered while a request was handled.
func (g *Gateway) reportPanic(where, attemptID string, value any) {
	panics.Report(g.opts.Log, where, value, log.Fields{"id": attemptID})
}

// recoverPanic ends a panic of the goroutine that defers it, which works for a request.
func (g *Gateway) recoverPanic(where, attemptID string) {
	if value := recover(); value != nil {
		g.reportPanic(where, attemptID, value)
	}
}

// abortOnPanic reports a panic of a handler that defers it, and closes the connection of the
// caller. http.ErrAbortHandler does that already, and is no fault.
func (g *Gateway) abortOnPanic(req *request) {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		g.reportPanic("handler", req.AttemptID, value)
	}
	panic(http.ErrAbortHandler)
}

// serveRecovering is like serve. A panic ends the request as failed.
func (g *Gateway) serveRecovering(w http.ResponseWriter, req *request) (e end) {
	defer func() {
		if value := recover(); value != nil {
			g.reportPanic("request", req.AttemptID, value)
			e = internalError()
		}
	}()
	return g.serve(w, req)
}

// internalError is the end of a request whose handling panicked.
func internalError() end { return failed(http.StatusInternalServerError, "internal error") }

// recoverExchange ends a panic of the goroutine that defers it, which handles a send, and
// ends the exchange with the upstream. It sets the result of the send; failure stays 0 if end
// is not nil, since the request ends.
func (g *Gateway) recoverExchange(req *request, s *send, e *end, failure *retry.Failure, result *string) {
	value := recover()
	if value == nil {
		return
	}
	g.reportPanic("exchange", req.AttemptID, value)
	if s.response != nil {
		s.response.Close(false)
	}
	*result = resultPanic
	if e == nil {
		*failure = retry.FailureMayHaveRun
		return
	}
	*e, *failure = internalError(), 0
}
