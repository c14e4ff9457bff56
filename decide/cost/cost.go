// Package cost estimates what a request costs an upstream, and predicts when an upstream
// delivers the first event, the next ones and the end of its answer. All times are in ms.
//
// Work is measured in ms of the whole capacity of an idle upstream at normal speed: the time
// to read the tokens of a prompt that are not cached, and a slot's share of the time to write
// the answer. A plain request costs a slot's share of its service time.
package cost

import (
	"time"
)

// Values that are expected before any answer was seen.
const (
	priorFirstMs       = 6.0   // to the first event of a prompt that is cached: about two steps
	priorReadMsPerKilo = 8.0   // to read 1,000 tokens, at 125 tokens per ms
	priorPauseMs       = 3.5   // between two events: one step
	priorPausePerOther = 0.05  // that another running request adds to a step
	priorPlainMs       = 20.0  // of a plain request
	priorOutputShare   = 0.5   // of the declared maximum that is written
	priorOutput        = 32.0  // events of an answer without a declared maximum
	priorWeight        = 2.0   // of these values, in answers
	priorLineWeight    = 3.0   // of each of the two prior points of a line
	defaultSlots       = 8     // of an upstream that does not state them
	maxOutput          = 65536 // events or tokens of an answer that are believed
	maxPlainMs         = 60_000
)

const (
	// minCustomerAnswers is the weight of the answers from which a customer can have an
	// estimate of its own.
	minCustomerAnswers = 8
	// minCustomerDifference is the difference from the route's estimate, as a share of it,
	// from which the customer's own is used.
	minCustomerDifference = 0.25
	// maxKinds limits the number of routes and customers with estimates of their own.
	maxKinds = 2048
)

// Kind identifies requests that are expected to cost about the same. Customer is empty for
// the estimate of the whole route.
type Kind struct{ Route, Customer string }

// kindCosts is what was learned of one kind.
type kindCosts struct {
	outputShare mean // written events as a share of the declared maximum
	output      mean // written events without a declared maximum
	plainMs     mean
}

// Model holds what was learned of the requests and upstreams of one service. It is not safe
// for concurrent use.
type Model struct {
	first   line // ms to the first event by thousands of tokens to read
	pause   line // ms between events by running requests
	plainMs mean // of all plain requests
	kinds   map[Kind]*kindCosts
}

// NewModel returns a model that knows only the prior.
func NewModel() *Model {
	return &Model{
		first: newLine(priorFirstMs, priorReadMsPerKilo, 0, 10, priorLineWeight),
		pause: newLine(priorPauseMs, priorPausePerOther, 0, 32, priorLineWeight),
		kinds: make(map[Kind]*kindCosts),
	}
}

// Request is what is known of a request before it is sent.
type Request struct {
	Kind
	PromptTokens int // 0 for plain requests
	MaxOutput    int // declared maximum of the answer, in tokens; 0 if none
}

// Answer is what was observed of an answer that is complete. The slowness is that expected
// when the request was sent.
type Answer struct {
	Request
	Slowness float64
	Slots    int     // of the upstream; 0 if unknown
	Running  float64 // requests at the upstream when the request was sent
	Backlog  float64 // ms of reading that was ahead of the request
	Unread   float64 // tokens of the prompt that were not cached
	FirstMs  float64 // from the send to the first event
	EndMs    float64 // from the send to the end
	Events   int     // of the answer to a prompt
}

// Observe learns from an answer. Values that are impossible are left out.
func (m *Model) Observe(now time.Duration, a Answer) {
	slowness, ok := bounded(a.Slowness)
	if !ok || !(a.EndMs > 0) || !(a.Running >= 0) {
		return
	}
	if a.PromptTokens <= 0 {
		queue := max(1, (a.Running+1)/float64(slotsOf(a.Slots)))
		ms := min(a.EndMs/slowness/queue, maxPlainMs)
		m.plainMs.add(now, ms)
		m.eachKind(a.Kind, func(k *kindCosts) { k.plainMs.add(now, ms) })
		return
	}
	if !(a.FirstMs > 0) || a.FirstMs > a.EndMs || a.Events <= 0 || !(a.Unread >= 0) || !(a.Backlog >= 0) {
		return
	}
	first := a.FirstMs / slowness
	m.first.observe(now, a.Unread/1000, max(first/maxOutlier, first-a.Backlog))
	if a.Events > 1 {
		writeMs := a.EndMs - a.FirstMs
		m.pause.observe(now, a.Running, writeMs/float64(a.Events-1)/Over(slowness, writeMs))
	}
	events := float64(min(a.Events, maxOutput))
	m.eachKind(a.Kind, func(k *kindCosts) {
		if a.MaxOutput > 0 {
			k.outputShare.add(now, min(1, events/float64(a.MaxOutput)))
		} else {
			k.output.add(now, events)
		}
	})
}

// eachKind calls f with what is learned of the route and of its customer, if there is one.
func (m *Model) eachKind(kind Kind, f func(*kindCosts)) {
	f(m.kind(Kind{Route: kind.Route}))
	if kind.Customer != "" {
		f(m.kind(kind))
	}
}

func (m *Model) kind(kind Kind) *kindCosts {
	k := m.kinds[kind]
	if k == nil {
		if len(m.kinds) >= maxKinds {
			for other := range m.kinds { // an arbitrary one is learned again
				delete(m.kinds, other)
				break
			}
		}
		k = &kindCosts{}
		m.kinds[kind] = k
	}
	return k
}

var noCosts kindCosts

// learned returns the value of the customer if it differs enough from that of the route,
// which is prior if nothing is known of it.
func (m *Model) learned(kind Kind, prior float64, value func(*kindCosts) *mean) float64 {
	route := m.kinds[Kind{Route: kind.Route}]
	if route == nil {
		route = &noCosts
	}
	of := value(route).with(prior, priorWeight)
	if kind.Customer == "" {
		return of
	}
	if customer := m.kinds[kind]; customer != nil && value(customer).weight >= minCustomerAnswers {
		own := value(customer).with(of, priorWeight)
		if diff := own - of; diff > minCustomerDifference*of || -diff > minCustomerDifference*of {
			return own
		}
	}
	return of
}

func slotsOf(slots int) int {
	if slots <= 0 {
		return defaultSlots
	}
	return slots
}

// Estimate is what a request is expected to cost, at normal speed. It is a snapshot that is
// valid for all upstreams of the service.
type Estimate struct {
	Plain   bool
	PlainMs float64 // service time of a plain request
	Output  float64 // events that are expected

	firstMs, readMs     float64 // to the first event, and for each token to read
	pauseMs, perOtherMs float64
}

// Estimate returns the estimate for a request.
func (m *Model) Estimate(r Request) Estimate {
	if r.PromptTokens <= 0 {
		pool := m.plainMs.with(priorPlainMs, priorWeight)
		return Estimate{Plain: true, PlainMs: max(0.01, m.learned(r.Kind, pool, func(k *kindCosts) *mean { return &k.plainMs }))}
	}
	e := Estimate{}
	if r.MaxOutput > 0 {
		share := m.learned(r.Kind, priorOutputShare, func(k *kindCosts) *mean { return &k.outputShare })
		e.Output = max(1, share*float64(min(r.MaxOutput, maxOutput)))
	} else {
		e.Output = max(1, m.learned(r.Kind, priorOutput, func(k *kindCosts) *mean { return &k.output }))
	}
	var perKilo float64
	e.firstMs, perKilo = m.first.fit()
	e.readMs = perKilo / 1000
	e.pauseMs, e.perOtherMs = m.pause.fit()
	return e
}

// ReadMs returns the work of reading tokens of a prompt.
func (e *Estimate) ReadMs(tokens float64) float64 { return e.readMs * tokens }

// EventMs returns the work of writing one event.
func (e *Estimate) EventMs(slots int) float64 {
	n := float64(slotsOf(slots))
	return (e.pauseMs + e.perOtherMs*n) / n
}

// Work returns the work of the request at an upstream where unread tokens are not cached.
func (e *Estimate) Work(slots int, unread float64) float64 {
	if e.Plain {
		return e.PlainMs / float64(slotsOf(slots))
	}
	return e.ReadMs(unread) + e.Output*e.EventMs(slots)
}

// Upstream is the state of an upstream as far as known.
type Upstream struct {
	Slots    int     // 0 if unknown
	Requests float64 // there, from all routers
	WorkMs   float64 // that remains of them
	Slowness float64 // factor by which work takes longer than normal now
}

// Prediction is when an upstream is expected to deliver, in ms from the send.
type Prediction struct {
	FirstMs float64 // first event; end of a plain answer
	PauseMs float64 // between two events
	EndMs   float64
	Backlog float64 // ms of reading ahead of the request, at normal speed
}

// Predict returns when the request would be answered by an upstream where unread tokens of
// its prompt are not cached.
func (e *Estimate) Predict(u Upstream, unread float64) Prediction {
	slots := float64(slotsOf(u.Slots))
	queue := 0.0
	if u.Requests >= slots {
		queue = u.WorkMs * (u.Requests - slots + 1) / u.Requests
	}
	if e.Plain {
		end := u.Slowness * (e.PlainMs + queue)
		return Prediction{FirstMs: end, EndMs: end}
	}
	// Half of the writing of the requests there is expected to be left; the rest is reading.
	reading := max(0, u.WorkMs-u.Requests*e.Output/2*e.EventMs(u.Slots))
	p := Prediction{Backlog: max(reading, queue)}
	p.FirstMs = u.Slowness * (e.firstMs + p.Backlog + e.ReadMs(unread))
	pause := e.pauseMs + e.perOtherMs*u.Requests
	p.PauseMs = u.Slowness * pause
	writeMs := pause * max(0, e.Output-1)
	p.EndMs = p.FirstMs + writeMs*Over(u.Slowness, writeMs)
	return p
}

const (
	// endShare is the weight of the time from the first event to the end: objectives are
	// set on the first event.
	endShare = 0.25
	// delayShare is the weight of the time by which reading delays each request that runs
	// at the upstream: most of them only write, and a pause of that length is within the
	// objective. A larger weight keeps prompts away from busy homes, and they are read again.
	delayShare = 0.25
)

// PromptCost returns the time by which upstreams are compared for a request with a prompt:
// what the request would take there, and by how much it would delay others.
func (e *Estimate) PromptCost(u Upstream, unread float64) float64 {
	p := e.Predict(u, unread)
	return p.FirstMs + endShare*(p.EndMs-p.FirstMs) + delayShare*u.Requests*u.Slowness*e.ReadMs(unread)
}

// RequestsCost returns the work at an upstream, including the request, in requests of the
// same kind on a host of normal speed.
func (e *Estimate) RequestsCost(u Upstream, unread float64) float64 {
	own := e.Work(u.Slots, unread)
	return u.Slowness * (u.WorkMs + own) / own
}
