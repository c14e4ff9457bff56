package router

import (
	"net/http"
	"strconv"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/problem"
)

// serveService forwards a call to a plain service. Calls that the
// configuration does not list as idempotent run at most once.
func (r *Router) serveService(w http.ResponseWriter, req *http.Request, c caller) {
	service, priority, ok := r.plainService(w, c, req.PathValue("service"))
	if !ok {
		return
	}
	body, ok := r.readBody(w, req)
	if !ok {
		return
	}
	defer body.Release()
	q := &request{
		adopted:  c.adopted,
		customer: c.customer,
		service:  service,
		priority: priority,
		method:   req.Method,
		path:     "/" + req.PathValue("path"),
		query:    req.URL.RawQuery,
		header:   endToEndHeaders(req.Header),
		body:     body.Bytes(),
	}
	q.chat = randid.New() // random: no affinity to an upstream
	q.idempotent = c.adopted.Index.IsIdempotent(service.ID, q.method, q.path)
	if q.idempotent {
		r.serveIdempotent(req.Context(), w, q, r.newUpstreamIterator(q, ""), false)
		return
	}
	r.serveNonIdempotent(w, req, q)
}

// plainService returns the named plain service and the customer's priority on
// it. On failure it writes the problem response and returns false.
func (r *Router) plainService(w http.ResponseWriter, c caller, name string) (*config.Service, int, bool) {
	service, ok := c.adopted.Index.Service(name)
	if !ok || service.Kind != config.KindPlain {
		r.writeProblem(w, problem.Problem{
			Status: http.StatusNotFound, Code: problem.CodeUnknownService, Outcome: problem.OutcomeNotRun,
			Detail: "no plain service " + strconv.Quote(name),
		})
		return nil, 0, false
	}
	priority, ok := servicePriority(c, service.ID)
	if !ok {
		r.forbidden(w, service.ID)
		return nil, 0, false
	}
	return service, priority, true
}
