package gateway

import (
	"time"

	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/routing"
)

// upstreamRequest builds the request to send to the upstream.
func (g *Gateway) upstreamRequest(req *request, t target) *forward.Request {
	s := Send{
		UpstreamID:  t.upstream.ID,
		Deadline:    time.Until(req.deadline),
		LastEventID: req.LastEventID,
	}
	if req.deliveredEventID != "" {
		s.LastEventID = req.deliveredEventID
	}
	if req.customer != nil {
		s.Customer = req.customer.Name
		s.Priority = priority(req)
	}
	if t.fetchSource != nil {
		s.FetchFrom = t.fetchSource.Address
	}
	return &forward.Request{
		Method:        req.http.Method,
		Target:        req.http.RequestURI,
		Host:          req.http.Host,
		Header:        g.opts.Protocol.UpstreamHeader(req.http.Header, s),
		Body:          req.body,
		ID:            req.AttemptID,
		NonRepeatable: !req.route.Repeatable(),

		MaxConnections: g.connectionLimit(req),
		Precondition:   g.sendPrecondition(t),
	}
}

// minConnectionsPerRouter is the number of connections to one upstream that each
// router may open at least, however many routers share the upstream's limit.
const minConnectionsPerRouter = 4

// connectionLimit returns this router's part of the connections that an upstream
// of the service accepts; 0 means no limit.
func (g *Gateway) connectionLimit(req *request) int {
	service := req.table.Service(req.service)
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnectionsPerRouter, service.MaxConnections/int(g.routerCount.Load()))
}

// priority returns the priority of a request at an engine; nil for routes without
// prompts.
func priority(req *request) *int {
	if !req.route.NamesPromptParts {
		return nil
	}
	rank := req.route.Priority
	if req.customer != nil && req.customer.Priority != nil {
		rank = *req.customer.Priority
	}
	rank = min(max(rank, 0), lowestPriority)
	return &rank
}

// lowestPriority is the least urgent priority that engines accept.
const lowestPriority = routing.LowestPriority
