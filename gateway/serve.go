package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/routing"
)

const (
	// retryAfterShort is the Retry-After of a refusal when another router, or this
	// one shortly, can serve the request.
	retryAfterShort = 100 * time.Millisecond
	// retryAfterUnknown is the Retry-After when no configuration or no available
	// upstream of the service is known.
	retryAfterUnknown = 500 * time.Millisecond
	// defaultTimeout limits a request for which neither route nor caller sets a
	// timeout.
	defaultTimeout = 30 * time.Second
)

// request is a caller's request being served.
type request struct {
	Meta
	http     *http.Request
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	customer *routing.Customer // nil if the route is public
	service  string
	deadline time.Time // the caller's or the route's, whichever is earlier
	body     []byte
	parts    []uint64 // keys of the prompt's shared parts
	prompt   place.Prompt
	ids      []uint64 // identifiers of what may crash upstreams; nil until the body is read

	// Progress and result.
	stop             *stopWatch // refuses it once a graceful shutdown leaves too little time; nil before it is admitted
	bodyAbandoned    bool       // the rest of the body is not needed, and its connection is closed
	turn             *turn      // in the queue of its service; nil if it is not queued
	queueRefusal     string     // what made the queue refuse it; empty if it did not
	sends            []sendRecord
	retryDenied      bool        // the budget had no retry left
	blockedBy        uint64      // what it was refused for; 0 if it was not
	trial            bool        // let through although it, or a part of its prompt, is blocked
	memoryFull       bool        // an upstream was excluded for its memory
	answering        atomic.Bool // recorded as being answered; standby attempts read it too
	headWritten      bool        // status and headers of an answer were delivered
	version          boundVersion
	deliveredEventID string
	deliveredEvents  int
	unidentified     bool          // the place after the events that were delivered cannot be named
	lastEvent        time.Time     // when the last events were delivered
	maxEventPause    time.Duration // longest pause between two deliveries of events
	bodyRead         time.Duration // time until the body was read; 0 if there is none
	drainElapsed     time.Duration // of a graceful shutdown, when it was passed on first or refused; 0 if there is none
	firstByte        time.Duration // time until the first byte of the answer was ready to deliver
}

// sendRecord describes one attempt at an upstream, for the log.
type sendRecord struct {
	upstream      string
	version       string  // of the upstream
	load          int     // requests in progress at the upstream when it was chosen
	cachedParts   int     // leading shared parts of the prompt that it was known to have cached
	limit         string  // that it named, in requests a second; empty if none
	failureExcess float64 // failure rate in excess of its pool's
	fetchSource   string
	predicted     *sendCost       // nil if its cost was not predicted
	standby       bool            // made while another upstream was silent
	framing       forward.Framing // of the answer; 0 if there was none
	partialEvent  int             // bytes of an incomplete event at the end of a stream
	result        string
	took          time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{http: r, arrived: time.Now()}
	e := g.serveCounted(w, req)
	if e.kind == endCut || e.kind == endCallerLeft {
		abort(w, r) // so that the response does not look complete
	}
	if req.bodyAbandoned {
		g.linger(w, req)
	}
}

// serveCounted handles a request, tells its caller how it ended and records it.
func (g *Gateway) serveCounted(w http.ResponseWriter, req *request) end {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	defer g.abortOnPanic(req)
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	e := req.afterDelivery(g.serveRecovering(w, req))
	g.writeEnd(w, req, e)
	g.recordRequest(req, e)
	return e
}

// serve handles a request and returns how it ended.
func (g *Gateway) serve(w http.ResponseWriter, req *request) end {
	if e, ok := g.admit(req); !ok {
		skipBody(w, req)
		return e
	}
	ctx := g.watchStop(w, req)
	defer req.stop.end()
	e := g.serveAdmitted(ctx, w, req)
	if req.stop.hasRefused() {
		return refusedStopping() // whatever its wait ended with
	}
	return e
}

// serveAdmitted handles a request that may be served.
func (g *Gateway) serveAdmitted(ctx context.Context, w http.ResponseWriter, req *request) end {
	release, e, ok := g.readBody(w, req)
	defer release()
	if !ok {
		return e
	}
	req.recordBodyRead()
	if e, ok := g.applyNewerTable(req); !ok {
		return e
	}
	if !req.stop.arrived(req.route, req.deadline) {
		return refusedStopping()
	}
	req.ids = req.workIDs()
	if e, refuses := g.refusesBlocked(req); refuses {
		return e
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	detach := context.AfterFunc(g.running, cancel)
	defer detach()
	if e, ok := g.bindResumed(ctx, req); !ok {
		return e
	}
	return g.dispatch(ctx, w, req)
}

// admit finds the route and the customer of a request, and rejects requests that
// cannot be served.
func (g *Gateway) admit(req *request) (end, bool) {
	table := g.awaitTable(req.http.Context())
	if table == nil {
		return refused("no configuration", retryAfterUnknown), false
	}
	if e, ok := g.applyTable(req, table); !ok {
		return e, false
	}
	if g.exceedsDrainTime(req) {
		return refusedStopping(), false
	}
	return end{}, true
}

// applyNewerTable applies the configuration in force to a request whose body has been read, if
// it is newer than the one that was applied to its head.
func (g *Gateway) applyNewerTable(req *request) (end, bool) {
	table := g.table.Load()
	if table == req.table {
		return end{}, true
	}
	if limit := table.Limits.BodyBytes; limit > 0 && int64(len(req.body)) > limit {
		return denied(http.StatusRequestEntityTooLarge, "body over the limit"), false
	}
	return g.applyTable(req, table)
}

// applyTable finds the route, the customer and the service of a request in a configuration, and
// rejects what that does not allow.
func (g *Gateway) applyTable(req *request, table *routing.Table) (end, bool) {
	req.table, req.customer = table, nil
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
	if req.table.RequiresKey && !req.route.Public {
		if req.customer = req.table.Customer(req.Key); req.customer == nil {
			return g.deny(http.StatusUnauthorized, "unknown key"), false
		}
		if !req.customer.HasValidName() {
			return refused("name of the customer is not valid", retryAfterUnknown), false
		}
	}
	req.service = req.route.Service(req.AttemptID)
	if req.takesUp() && req.Resumes != "" {
		req.service = req.route.Service(req.Resumes)
	}
	req.deadline = req.arrived.Add(requestTimeout(req.Meta.Deadline, req.route.Timeout))
	req.parts, req.prompt = sharedParts(&req.Meta)
	return end{}, true
}

// initialConfigurationWait is how long a request waits for the first configuration
// and catalog of a router that has just started: reading them takes a few round
// trips, and on a narrow link the transfer of a large configuration.
const initialConfigurationWait = 500 * time.Millisecond

// awaitTable returns the configuration in force, waiting for the first one if need
// be; nil if there is still none.
func (g *Gateway) awaitTable(ctx context.Context) *routing.Table {
	select {
	case <-g.configured:
		return g.table.Load()
	default:
	}
	timer := time.NewTimer(initialConfigurationWait)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.table.Load()
}

// maxConfirmationAge is the age of the last confirmation up to which the
// configuration in force may be used to deny a request, and the list of upstreams to
// tell that a service has no other version.
const maxConfirmationAge = 2500 * time.Millisecond

// deny returns the end of a request that the configuration does not allow. If the
// configuration was not confirmed recently, the request is refused instead of
// denied, since another router may have a newer one.
func (g *Gateway) deny(status int, reason string) end {
	if age, _ := g.opts.ConfirmationAges(); age > maxConfirmationAge {
		return refused(reason+" in a configuration that is not confirmed", retryAfterShort)
	}
	return denied(status, reason)
}

// requestTimeout returns how long a request may take.
func requestTimeout(caller, route time.Duration) time.Duration {
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

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// writeEnd tells the caller how the request ended, unless an answer of an upstream
// was delivered.
func (g *Gateway) writeEnd(w http.ResponseWriter, req *request, e end) {
	if e.status == 0 || req.headWritten {
		return
	}
	h := w.Header()
	if g.draining.Load() != nil {
		h.Set("Connection", "close") // the request may have arrived before the drain began
	}
	g.opts.Protocol.SetRefusal(h, req.AttemptID, e.retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := e.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text))) // it is whole without the end of the handler
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, text) // an error means that the caller has disconnected
}
