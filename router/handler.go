package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/problem"
)

// Headers of requests and answers.
const (
	HeaderChat           = "Dandelionrill-Chat"       // chat identifier, chosen by the caller
	HeaderChatToken      = "Dandelionrill-Chat-Token" // opaque, from the chat's last answer
	HeaderTicket         = "Dandelionrill-Ticket"     // opaque, permits one run of a non-idempotent call
	HeaderTimeout        = "Dandelionrill-Timeout"    // seconds that the caller waits, for instance 2.5
	HeaderResumable      = "Dandelionrill-Resumable"  // "true": a stream goes on for a while without its caller
	HeaderRequest        = "Dandelionrill-Request"    // identifies the request in the time line
	HeaderLastEventID    = "Last-Event-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxIDBytes = 256

// Handler returns the handler of callers' requests.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.authenticated(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.authenticated(r.serveModels))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.authenticated(r.serveService))
	mux.HandleFunc("POST /v1/tickets", r.authenticated(r.drawTicket))
	mux.HandleFunc("GET /v1/tickets/{ticket}", r.authenticated(r.serveOutcome))
	mux.HandleFunc("DELETE /v1/tickets/{ticket}", r.authenticated(r.revokeTicket))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		r.fail(w, problem.Problem{Status: http.StatusNotFound, Code: problem.CodeNotFound, Outcome: problem.OutcomeNotRun, Detail: "no such path"})
	})
	return mux
}

// limitWrite bounds the time that the caller may take for the next write.
func (r *Router) limitWrite(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(r.opts.WriteTimeout))
}

// caller is an authenticated customer under the configuration that its request
// sees from start to end.
type caller struct {
	adopted  *board.Adopted
	customer *config.Customer
}

type handlerFunc func(w http.ResponseWriter, req *http.Request, c caller)

// authenticated wraps next: it finds the customer by its key and sets the
// request's deadline.
func (r *Router) authenticated(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		counters.Add("requests", 1)
		defer r.inProgress.Add(-1)
		if r.inProgress.Add(1) > r.opts.MaxRequests {
			r.fail(w, problem.Problem{
				Status: http.StatusServiceUnavailable, Code: problem.CodeOverload, Outcome: problem.OutcomeNotRun,
				Detail: "this router serves as many requests as it may", RetryAfter: r.comeBack(),
			})
			return
		}
		if r.opts.Board.Drain().Value != board.DrainServing {
			w.Header().Set("Connection", "close") // so that no request meets the closing connection
		}
		adopted := r.opts.Board.Configuration()
		if adopted == nil {
			r.fail(w, problem.Problem{
				Status: http.StatusServiceUnavailable, Code: problem.CodeNoConfiguration, Outcome: problem.OutcomeNotRun,
				Detail: "no configuration is in force yet", RetryAfter: r.comeBack(),
			})
			return
		}
		customer, ok := adopted.Index.CustomerByKey(bearer(req))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			r.fail(w, problem.Problem{Status: http.StatusUnauthorized, Code: problem.CodeUnauthorized, Outcome: problem.OutcomeNotRun, Detail: "unknown customer key"})
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

// bearer returns the key of the Authorization header, or "".
func bearer(req *http.Request) string {
	scheme, key, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// timeout returns how long the caller waits.
func (r *Router) timeout(req *http.Request) (time.Duration, error) {
	value := req.Header.Get(HeaderTimeout)
	if value == "" {
		return r.opts.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0, errors.Newf("header %s: %q is not a positive number of seconds", HeaderTimeout, value)
	}
	if seconds >= r.opts.MaxTimeout.Seconds() {
		return r.opts.MaxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody reads the request's body, within the limits of size and time.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(r.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, r.opts.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	// The deadline stays, and what is left of the body is not waited for.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r.fail(w, problem.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: problem.CodeTooLarge, Outcome: problem.OutcomeNotRun,
			Detail: "the body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		})
		return nil, false
	}
	r.fail(w, problem.Problem{Status: http.StatusRequestTimeout, Code: problem.CodeSlowRequest, Outcome: problem.OutcomeNotRun, Detail: "the body did not arrive whole"})
	return nil, false
}

// validID tells whether a caller's identifier is printable ASCII of a bounded
// length.
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
	r.fail(w, problem.Problem{Status: http.StatusBadRequest, Code: problem.CodeBadRequest, Outcome: problem.OutcomeNotRun, Detail: err.Error()})
}

func (r *Router) forbidden(w http.ResponseWriter, service string) {
	r.fail(w, problem.Problem{
		Status: http.StatusForbidden, Code: problem.CodeForbidden, Outcome: problem.OutcomeNotRun,
		Detail: "no rule allows this customer on service " + strconv.Quote(service),
	})
}

// fail writes p and counts it. net/http reads what is left of the body before
// it sends the answer: that is bounded too.
func (r *Router) fail(w http.ResponseWriter, p problem.Problem) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.opts.BodyTimeout))
	counters.Add("problem_"+string(p.Code), 1)
	problem.Write(w, p)
}

// writeWhole gives the caller a whole answer.
func (r *Router) writeWhole(w http.ResponseWriter, request string, a *answerWhole) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(HeaderRequest, request)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.limitWrite(http.NewResponseController(w))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	counters.Add("answered", 1)
}

// serveModels lists the models that the customer may use, in the shape of the
// OpenAI API.
func (r *Router) serveModels(w http.ResponseWriter, _ *http.Request, c caller) {
	writeModels(w, c)
}
