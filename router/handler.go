package router

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/problem"
)

// Headers of requests and responses.
const (
	HeaderChat           = "Dandelionrill-Chat"       // chat identifier, chosen by the caller
	HeaderChatToken      = "Dandelionrill-Chat-Token" // opaque, returned with the chat's last answer
	HeaderTicket         = "Dandelionrill-Ticket"     // opaque, permits one execution of a non-idempotent call
	HeaderTimeout        = "Dandelionrill-Timeout"    // seconds that the caller waits, for example 2.5
	HeaderResumable      = "Dandelionrill-Resumable"  // "true": a stream continues for a time after its caller disconnects
	HeaderRequest        = "Dandelionrill-Request"    // identifies the request in the timeline
	HeaderLastEventID    = "Last-Event-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxIDBytes = 256

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.authenticated(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.authenticated(r.serveModels))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.authenticated(r.serveService))
	mux.HandleFunc("POST /v1/tickets", r.authenticated(r.serveIssueTicket))
	mux.HandleFunc("GET /v1/tickets/{ticket}", r.authenticated(r.serveOutcome))
	mux.HandleFunc("DELETE /v1/tickets/{ticket}", r.authenticated(r.revokeTicket))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		r.writeProblem(w, problem.Problem{Status: http.StatusNotFound, Code: problem.CodeNotFound, Outcome: problem.OutcomeNotRun, Detail: "no such path"})
	})
	return mux
}

// setWriteDeadline limits the time that the next write to the caller may take.
func (r *Router) setWriteDeadline(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(r.opts.WriteTimeout))
}

// caller is an authenticated customer, and the configuration that applies to
// its request from start to end.
type caller struct {
	adopted  *board.Adopted
	customer *config.Customer
}

type handlerFunc func(w http.ResponseWriter, req *http.Request, c caller)

// authenticated wraps next: it limits the requests in progress, authenticates
// the customer by its key, and sets the request's deadline.
func (r *Router) authenticated(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		counters.Add("requests", 1)
		defer r.abortOnPanic(w)
		defer r.inProgress.Add(-1)
		isOver := r.inProgress.Add(1) > r.opts.MaxRequests
		if r.opts.Board.Drain().Value != board.DrainServing {
			w.Header().Set("Connection", "close") // so that the caller sends no further request on a connection that closes
		}
		adopted := r.opts.Board.Configuration()
		if adopted == nil {
			r.writeProblem(w, problem.Problem{
				Status: http.StatusServiceUnavailable, Code: problem.CodeNoConfiguration, Outcome: problem.OutcomeNotRun,
				Detail: "no configuration is in force yet", RetryAfter: r.defaultRetryAfter(),
			})
			return
		}
		customer, ok := adopted.Index.CustomerByKey(bearerKey(req))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			r.writeProblem(w, problem.Problem{Status: http.StatusUnauthorized, Code: problem.CodeUnauthorized, Outcome: problem.OutcomeNotRun, Detail: "unknown customer key"})
			return
		}
		if isOver && !r.bodies.EvictOldest() {
			r.writeProblem(w, problem.Problem{
				Status: http.StatusServiceUnavailable, Code: problem.CodeOverload, Outcome: problem.OutcomeNotRun,
				Detail: "this router has reached its limit of requests in progress", RetryAfter: r.defaultRetryAfter(),
			})
			return
		}
		timeout, err := r.timeout(req)
		if err != nil {
			r.badRequest(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), timeout)
		defer cancel()
		next(w, req.WithContext(ctx), caller{adopted: adopted, customer: customer})
	}
}

// abortOnPanic reports a panic of a handler that defers it, and closes the connection of the
// caller: the request may have run. http.ErrAbortHandler does that already, and is no fault.
func (r *Router) abortOnPanic(w http.ResponseWriter) {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		panics.Report(r.opts.Log, "router.handler", value, log.Fields{"request": w.Header().Get(HeaderRequest)})
	}
	panic(http.ErrAbortHandler)
}

// bearerKey returns the bearer token of the Authorization header, or an empty
// string.
func bearerKey(req *http.Request) string {
	scheme, key, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// timeout returns how long the caller waits for its answer.
func (r *Router) timeout(req *http.Request) (time.Duration, error) {
	value := req.Header.Get(HeaderTimeout)
	if value == "" {
		return r.opts.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) { // also rejects NaN
		return 0, errors.Newf("header %s: %q is not a positive number of seconds", HeaderTimeout, value)
	}
	if seconds >= r.opts.MaxTimeout.Seconds() {
		return r.opts.MaxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// validID reports whether a caller's identifier consists of printable ASCII
// and is at most maxIDBytes long. The empty identifier is valid.
func validID(id string) bool {
	if len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] < ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

func (r *Router) badRequest(w http.ResponseWriter, err error) {
	r.writeProblem(w, problem.Problem{Status: http.StatusBadRequest, Code: problem.CodeBadRequest, Outcome: problem.OutcomeNotRun, Detail: err.Error()})
}

func (r *Router) forbidden(w http.ResponseWriter, service string) {
	r.writeProblem(w, problem.Problem{
		Status: http.StatusForbidden, Code: problem.CodeForbidden, Outcome: problem.OutcomeNotRun,
		Detail: "no rule allows this customer on service " + strconv.Quote(service),
	})
}

// writeProblem writes p and counts it. Before net/http sends the response, it
// reads the rest of the request's body, so that read gets a deadline too.
func (r *Router) writeProblem(w http.ResponseWriter, p problem.Problem) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.opts.BodyTimeout))
	counters.Add("problem_"+string(p.Code), 1)
	problem.Write(w, p)
}

// writeAnswer writes a complete answer to the caller.
func (r *Router) writeAnswer(w http.ResponseWriter, request string, a *completeAnswer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(HeaderRequest, request)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.setWriteDeadline(http.NewResponseController(w))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	counters.Add("answered", 1)
}

// serveModels lists the models that the customer may use, in the format of the
// OpenAI API.
func (r *Router) serveModels(w http.ResponseWriter, _ *http.Request, c caller) {
	writeModels(w, c)
}
