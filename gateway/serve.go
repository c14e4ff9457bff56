package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/routing"
	"github.com/cockroachdb/errors"
)

const (
	// retrySoon is the Retry-After where another router, or this one in a
	// moment, can serve the request.
	retrySoon = 100 * time.Millisecond
	// retryUnknown is the Retry-After while nothing is known of the service's
	// upstreams or of the configuration.
	retryUnknown = 500 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
)

// request is a caller's request on its way.
type request struct {
	Meta
	http     *http.Request
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	customer *routing.Customer // nil if the route is public
	service  string
	deadline time.Time // of the caller or the route, whichever is first
	body     []byte
	parts    []uint64 // keys of the prompt's shared parts
	prompt   place.Prompt

	// What became of it.
	sends    []sendRecord
	begun    bool // something of an answer was delivered
	lastID   string
	pauseMax time.Duration // longest pause between events
	first    time.Duration // until the first byte of the answer
}

// sendRecord is one attempt at an upstream, for the log.
type sendRecord struct {
	upstream string
	load     int     // requests in progress there when it was chosen
	held     int     // shared parts of the prompt that it was known to have cached
	failing  float64 // share of failed answers above that of its pool
	fetch    string
	result   string
	took     time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	req := &request{http: r, arrived: time.Now()}
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	e := g.serve(w, req)
	g.finish(w, req, e)
	g.record(req, e)
	if e.kind == endCut || e.kind == endLeft {
		panic(http.ErrAbortHandler) // closes the connection, so that nothing looks complete
	}
}

// serve takes a request to its end.
func (g *Gateway) serve(w http.ResponseWriter, req *request) end {
	if e, ok := g.admit(req); !ok {
		return e
	}
	release, e, ok := g.readBody(w, req)
	defer release()
	if !ok {
		return e
	}
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	return g.dispatch(ctx, w, req)
}

// admit finds the route and the customer, and refuses what cannot be served.
func (g *Gateway) admit(req *request) (end, bool) {
	if req.table = g.awaitTable(req.http.Context()); req.table == nil {
		return refused("no configuration", retryUnknown), false
	}
	meta, err := g.opts.Protocol.ReadRequest(req.http.Header)
	if err != nil {
		return denied(http.StatusBadRequest, err.Error()), false
	}
	req.Meta = meta
	if req.table.Limits.HeaderBytes > 0 && headerBytes(req.http) > req.table.Limits.HeaderBytes {
		return denied(http.StatusRequestHeaderFieldsTooLarge, "headers over the limit"), false
	}
	path, _, _ := strings.Cut(req.http.RequestURI, "?")
	req.route = req.table.Route(req.http.Host, path)
	if req.route == nil {
		return g.deny(http.StatusNotFound, "no route"), false
	}
	if req.table.Keyed && !req.route.Public {
		if req.customer = req.table.Customer(req.Key); req.customer == nil {
			return g.deny(http.StatusUnauthorized, "unknown key"), false
		}
	}
	req.service = req.route.Service(req.AttemptID)
	req.deadline = req.arrived.Add(patience(req.Meta.Deadline, req.route.Timeout))
	req.parts, req.prompt = sharedParts(&req.Meta)
	if g.stopping(req) {
		return refused("router is stopping", retrySoon), false
	}
	return end{}, true
}

// firstTableWait is how long a request waits for the first configuration and
// catalog of a router that has just started: reading them takes a few round
// trips, and on a narrow link the transfer of a large configuration.
const firstTableWait = 500 * time.Millisecond

// awaitTable returns the configuration in force; nil if there is none yet.
func (g *Gateway) awaitTable(ctx context.Context) *routing.Table {
	select {
	case <-g.first:
		return g.table.Load()
	default:
	}
	timer := time.NewTimer(firstTableWait)
	defer timer.Stop()
	select {
	case <-g.first:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.table.Load()
}

// sureFor is the age of the newest confirmation up to which a request may be
// denied by the configuration in force.
const sureFor = 2500 * time.Millisecond

// deny answers that the configuration does not allow a request, if it is sure
// to be the newest; otherwise another router may know better.
func (g *Gateway) deny(status int, reason string) end {
	if age, _ := g.opts.Ages(); age > sureFor {
		return refused(reason+" in a configuration that is not confirmed", retrySoon)
	}
	return denied(status, reason)
}

// patience returns how long a request may take.
func patience(caller, route time.Duration) time.Duration {
	switch {
	case caller <= 0 && route <= 0:
		return defaultTimeout
	case caller <= 0:
		return route
	case route <= 0:
		return caller
	}
	return min(caller, route)
}

// stopping tells whether a planned stop leaves too little time for the request.
func (g *Gateway) stopping(req *request) bool {
	stop := g.draining.Load()
	if stop == nil {
		return false
	}
	work := admit.Work{
		Stream: req.route.Streams(), OutputTokens: req.MaxOutputTokens, Timeout: time.Until(req.deadline),
	}
	return !admit.FitsStop(work, time.Since(stop.begun), stop.limit)
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body. release gives back the memory it counts for.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) (release func(), e end, ok bool) {
	limit := req.table.Limits.BodyBytes
	length := req.http.ContentLength
	if limit > 0 && length > limit {
		return func() {}, denied(http.StatusRequestEntityTooLarge, "body over the limit"), false
	}
	if length == 0 {
		return func() {}, end{}, true
	}
	held := max(length, 0)
	release = func() { g.bodies.Add(-held) }
	if g.bodies.Add(held) > g.opts.BodyBytes {
		return release, refused("request bodies use up the memory set aside", retrySoon), false
	}
	source := io.Reader(req.http.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, req.http.Body, limit)
	}
	body, err := readAll(source, length)
	if length < 0 {
		held = int64(len(body))
		g.bodies.Add(held)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return release, denied(http.StatusRequestEntityTooLarge, "body over the limit"), false
	case err != nil && req.http.Context().Err() != nil:
		return release, end{kind: endLeft, reason: "caller left while sending"}, false
	case err != nil:
		return release, denied(http.StatusBadRequest, "body: "+err.Error()), false
	}
	req.body = body
	return release, end{}, true
}

// readAll reads a body of known or, if negative, unknown length.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// finish tells the caller how the request ended, if no answer of an upstream
// does.
func (g *Gateway) finish(w http.ResponseWriter, req *request, e end) {
	if e.status == 0 || req.begun {
		return
	}
	h := w.Header()
	g.opts.Protocol.SetRefusal(h, req.AttemptID, e.retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.reason+"\n") // a caller that left needs no reason
}
