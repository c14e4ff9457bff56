package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/internal/bodybudget"
	"dandelionrill.example/fleet/problem"
)

// errDeadlineInBody reports that the request's context ended before its body was received.
var errDeadlineInBody = errors.New("router: the deadline passed before the body was received")

// readBody reads the request's body, subject to limits on size, time and the memory of all
// bodies. The caller must release the body. On failure readBody writes the problem response
// and returns false.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) (*bodybudget.Body, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(r.opts.BodyTimeout))
	maxBytes := r.opts.MaxBodyBytes
	if req.ContentLength >= 0 {
		maxBytes = min(maxBytes, req.ContentLength)
	}
	interrupt := func() { _ = control.SetReadDeadline(time.Now()) }
	defer context.AfterFunc(req.Context(), interrupt)()
	body, err := r.bodies.Read(http.MaxBytesReader(w, req.Body, r.opts.MaxBodyBytes), maxBytes, interrupt)
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		err = errors.Mark(err, errDeadlineInBody)
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	// Closing the connection avoids reading the rest of the body.
	w.Header().Set("Connection", "close")
	r.writeProblem(w, r.bodyProblem(err))
	if isOutOfMemory(err) || errors.Is(err, errDeadlineInBody) {
		// net/http would keep the connection until the rest of the body arrives or times out.
		_ = control.SetReadDeadline(time.Now())
	}
	return nil, false
}

func isOutOfMemory(err error) bool {
	return errors.IsAny(err, bodybudget.ErrEvicted, bodybudget.ErrExhausted)
}

// bodyProblem returns the problem for a request whose body was not read because of err.
func (r *Router) bodyProblem(err error) problem.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: problem.CodeTooLarge, Outcome: problem.OutcomeNotRun,
			Detail: "the body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		}
	case isOutOfMemory(err):
		counters.Add("bodies_refused", 1)
		return problem.Problem{
			Status: http.StatusServiceUnavailable, Code: problem.CodeOverload, Outcome: problem.OutcomeNotRun,
			Detail: "this router has reached its limit on request bodies", RetryAfter: r.defaultRetryAfter(),
		}
	case errors.Is(err, errDeadlineInBody):
		return problem.Problem{
			Status: http.StatusGatewayTimeout, Code: problem.CodeDeadline, Outcome: problem.OutcomeNotRun,
			Detail: "the deadline passed before the body was received",
		}
	default:
		return problem.Problem{
			Status: http.StatusRequestTimeout, Code: problem.CodeSlowRequest, Outcome: problem.OutcomeNotRun,
			Detail: "the body was not received completely",
		}
	}
}
