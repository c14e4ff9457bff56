package router

import (
	"net/http"
	"strconv"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/problem"
)

// serveService passes a call on to a plain service. Calls that the
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
	q := &request{
		adopted:  c.adopted,
		customer: c.customer,
		service:  service,
		priority: priority,
		method:   req.Method,
		path:     "/" + req.PathValue("path"),
		query:    req.URL.RawQuery,
		header:   passed(req.Header),
		body:     body,
	}
	q.chat = randid.New() // no affinity: any upstream will do
	q.mayRepeat = c.adopted.Index.MayRepeat(service.ID, q.method, q.path)
	if q.mayRepeat {
		r.collectAnswer(req.Context(), w, q, r.newChooser(q, ""), false)
		return
	}
	r.serveOnce(w, req, q)
}

// plainService returns a plain service that the customer may use.
func (r *Router) plainService(w http.ResponseWriter, c caller, name string) (*config.Service, int, bool) {
	service, ok := c.adopted.Index.Service(name)
	if !ok || service.Kind != config.KindPlain {
		r.fail(w, problem.Problem{
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
