package gateway

import (
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/cost"
	"dandelionrill.example/fleet/decide/place"
)

// costRequest returns what the cost of a request is estimated from.
func costRequest(req *request) cost.Request {
	r := cost.Request{Kind: cost.Kind{Route: req.route.Name}, MaxOutput: req.MaxOutputTokens, PromptTokens: max(req.PromptTokens, partTokens(req.Parts))}
	if req.customer != nil {
		r.Customer = req.customer.Name
	}
	return r
}

// maxTokens limits the number of tokens of a prompt or an answer that is believed.
const maxTokens = 1 << 24

// partTokens returns the tokens of the parts of a prompt.
func partTokens(parts []PromptPart) (sum int) {
	for _, p := range parts {
		sum += min(p.Tokens, maxTokens)
	}
	return min(sum, maxTokens)
}

// unreadTokens returns the tokens of a prompt that an upstream with the leading shared parts
// cached must read.
func unreadTokens(req *request, r cost.Request, cachedParts int) float64 {
	cached := partTokens(req.Parts[:min(cachedParts, len(req.Parts))])
	return float64(max(0, min(r.PromptTokens, maxTokens)-cached))
}

// estimate returns the estimate for a request.
func (s *serviceCosts) estimate(r cost.Request) cost.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Estimate(r)
}

// markCosts sets the predicted cost of a request at each candidate, if an upstream of the
// service has stated the slowness of its host. It excludes those whose memory the request may
// exceed.
func (g *Gateway) markCosts(req *request, list []*catalog.Upstream, replicas []place.Replica) {
	costs := g.loads.service(req.service)
	if costs == nil {
		return
	}
	r := costRequest(req)
	e := costs.estimate(r)
	memory, tokens := memoryBound{}, requestTokens(r, &e)
	if !e.Plain {
		memory = g.memoryBound(req)
	}
	for i, u := range list {
		unread := unreadTokens(req, r, replicas[i].CachedParts)
		state := g.costState(u, &e, replicas[i].Load, tokens)
		if memory.exceeds(&state, tokens) && !replicas[i].Tried {
			replicas[i].Tried, req.memoryFull = true, true
		}
		if len(req.parts) > 0 {
			replicas[i].Cost = e.PromptCost(state.upstream, unread)
		} else {
			replicas[i].Cost = e.RequestsCost(state.upstream, unread)
		}
	}
}

// costState returns the state of an upstream for a request with the estimate.
func (g *Gateway) costState(u *catalog.Upstream, e *cost.Estimate, load float64, tokens int64) upstreamCostState {
	// Requests of routers that report no work are taken for half done.
	return g.loads.state(u, load, g.board.peers.workAt(u.Key()), e.Work(u.Slots, 0)/2, float64(tokens))
}

// sendCost is the predicted cost of one send, and what is left of it. Its methods may be
// called on nil, and by one goroutine at a time.
type sendCost struct {
	model      *LoadModel
	service    *serviceCosts
	key        catalog.Key
	upstream   *upstreamCosts // nil until the send begins
	answer     cost.Answer    // Slowness is that which the host states
	speed      float64
	prediction cost.Prediction
	fetched    bool // the upstream fetches cached parts from another one

	output      float64 // events expected
	readMicros  int64
	eventMicros int64
	leftMicros  int64
	tokens      int64

	start, first, last time.Time
	events             int
	complete           bool
}

// newSendCost predicts the cost of a request at the chosen upstream; nil if the costs of its
// service are not known.
func (g *Gateway) newSendCost(req *request, u *catalog.Upstream, r *place.Replica, fetched bool) *sendCost {
	costs := g.loads.service(req.service)
	if costs == nil {
		return nil
	}
	request := costRequest(req)
	e := costs.estimate(request)
	tokens := requestTokens(request, &e)
	state := g.costState(u, &e, r.Load, tokens)
	unread := unreadTokens(req, request, r.CachedParts)
	c := &sendCost{
		model: g.loads, service: costs, key: u.Key(), speed: state.speed, prediction: e.Predict(state.upstream, unread), fetched: fetched,
		output: e.Output, leftMicros: int64(1000 * e.Work(state.upstream.Slots, unread)),
	}
	c.answer = cost.Answer{
		Request: request, Slowness: state.upstream.Slowness / state.speed, Slots: state.upstream.Slots, Running: state.upstream.Requests,
		Backlog: c.prediction.Backlog, Unread: unread,
	}
	if !e.Plain {
		c.readMicros, c.eventMicros = int64(1000*e.ReadMs(unread)), int64(1000*e.EventMs(state.upstream.Slots))
		c.tokens = tokens
	}
	return c
}

// begin adds the cost to the sums of the upstream.
func (c *sendCost) begin() {
	if c == nil {
		return
	}
	s := c.model.shard(c.key)
	s.mu.Lock()
	c.upstream = s.upstream(c.key)
	c.upstream.workMicros.Add(c.leftMicros) // under the lock, so that the state is not removed before
	c.upstream.tokens.Add(c.tokens)
	c.upstream.sent.add(c.model.now(), c.tokens)
	s.mu.Unlock()
	c.start = time.Now()
}

// progress records how many events have arrived by now.
func (c *sendCost) progress(now time.Time, events int) {
	if c == nil || c.upstream == nil || events <= c.events {
		return
	}
	done := int64(events-c.events) * c.eventMicros
	if c.events == 0 {
		done += c.readMicros
		c.first = now
	}
	c.events, c.last = events, now
	c.spend(done)
}

// spend subtracts work that is done. What is left is never less than one event while the
// request is in progress.
func (c *sendCost) spend(micros int64) {
	micros = min(micros, max(0, c.leftMicros-c.eventMicros))
	c.leftMicros -= micros
	c.upstream.workMicros.Add(-micros)
}

// finish records that the whole answer has arrived.
func (c *sendCost) finish(now time.Time) {
	if c == nil {
		return
	}
	c.complete = true
	if c.events == 0 {
		c.first, c.last = now, now
	}
}

// end removes the cost from the sums, and learns from an answer that is complete. Only the
// first call has an effect.
func (c *sendCost) end() {
	if c == nil || c.upstream == nil {
		return
	}
	c.upstream.workMicros.Add(-c.leftMicros)
	c.upstream.tokens.Add(-c.tokens)
	c.leftMicros, c.tokens = 0, 0
	upstream := c.upstream
	c.upstream = nil
	if !c.complete || c.fetched || c.answer.PromptTokens > 0 && c.events == 0 {
		return
	}
	a := &c.answer
	a.Events = c.events
	a.FirstMs, a.EndMs = millis(c.first.Sub(c.start)), millis(c.last.Sub(c.start))
	c.model.errors.record(a, &c.prediction)
	now := c.model.now()
	c.service.mu.Lock()
	c.service.model.Observe(now, *a)
	c.service.mu.Unlock()
	p := &c.prediction
	expected := p.FirstMs
	if c.output > 1 {
		expected += (p.EndMs - p.FirstMs) * float64(c.events-1) / (c.output - 1)
	}
	s := c.model.shard(c.key)
	s.mu.Lock()
	upstream.speed = upstream.speed.Observe(now, a.EndMs, expected/c.speed)
	s.mu.Unlock()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
