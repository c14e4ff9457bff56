package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// maxDials bounds the upstreams that one request tries to reach.
	maxDials = 4
	// leastUseful is the shortest time in which another attempt can be of use.
	leastUseful = 20 * time.Millisecond
	// holdFull is how long an upstream that is full takes no new work.
	holdFull = 100 * time.Millisecond
	// holdWrong is how long an address that another upstream has is left out; by
	// then the catalog shows it.
	holdWrong = 10 * time.Second
)

// sharedPrefixes returns the keys of the prompt up to each of its shared parts;
// the last part belongs to the request itself. None means that nothing is
// shared.
func sharedPrefixes(m *Meta) []uint64 {
	if len(m.Parts) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(m.Parts)-1)
	h := xxhash.New()
	_, _ = h.WriteString(m.Model) // cannot fail
	for _, part := range m.Parts[:len(m.Parts)-1] {
		_, _ = h.WriteString("\x00" + part.ID)
		keys = append(keys, h.Sum64())
	}
	return keys
}

// attempts is the state of a request over its sends.
type attempts struct {
	tried map[catalog.Key]bool
	made  int // sends that reached an upstream
	dials int // upstreams that could not be reached
}

// target is the upstream chosen for a send.
type target struct {
	upstream *catalog.Upstream
	load     int
	source   *catalog.Upstream // that has the prompt cached; nil if none is needed
}

// dispatch sends a request to upstreams until it has an end.
func (g *Gateway) dispatch(ctx context.Context, w http.ResponseWriter, req *request) end {
	g.deposit(req.service)
	a := &attempts{tried: make(map[catalog.Key]bool)}
	for {
		chosen, ok := g.choose(req, a)
		if !ok {
			return g.unreachable(req, a)
		}
		e, failure := g.attempt(ctx, w, req, chosen, a)
		if failure == 0 {
			return e
		}
		if !g.again(req, a, failure) {
			return g.giveUp(ctx, req, e, failure)
		}
	}
}

// unreachable is the end of a request for which no upstream is left.
func (g *Gateway) unreachable(req *request, a *attempts) end {
	switch {
	case req.begun:
		return end{kind: endCut, reason: "no other upstream to go on at"}
	case a.made > 0 && !req.lastRefused():
		return failed(http.StatusBadGateway, "no other upstream to try")
	}
	return refused("no upstream of the service is available", retryUnknown)
}

// lastRefused tells whether no send of the request can have run.
func (req *request) lastRefused() bool {
	for _, s := range req.sends {
		if s.result != resultRefused && s.result != forward.NotSent.String() {
			return false
		}
	}
	return true
}

// again tells whether a request may be sent to another upstream, and takes it
// from the budget of repeats.
func (g *Gateway) again(req *request, a *attempts, failure retry.Failure) bool {
	made := a.made
	if failure == retry.FailureNotSent {
		made = 0 // nothing arrived anywhere; the dials are bounded by themselves
		if a.dials >= maxDials {
			return false
		}
	}
	decision := retry.Decide(retry.Attempt{
		Failure:    failure,
		Idempotent: req.route.Repeatable(),
		Resumes:    req.route.Streams() && req.route.Resumable,
		Made:       made,
		Limit:      req.route.MaxAttempts,
		Left:       time.Until(req.deadline),
		Need:       leastUseful,
	})
	if decision != retry.DecisionRetry {
		return false
	}
	return failure == retry.FailureNotSent && a.made == 0 || g.withdraw(req.service)
}

// giveUp is the end of a request that is not sent again.
func (g *Gateway) giveUp(ctx context.Context, req *request, e end, failure retry.Failure) end {
	switch {
	case req.begun:
		return end{kind: endCut, reason: e.reason}
	case req.http.Context().Err() != nil:
		return end{kind: endLeft, reason: "caller left"}
	case failure == retry.FailureNotSent || failure == retry.FailureRefused:
		if !req.lastRefused() {
			return failed(http.StatusBadGateway, e.reason)
		}
		return refused(e.reason, retrySoon)
	case ctx.Err() != nil:
		return failed(http.StatusGatewayTimeout, "timeout")
	}
	return e
}

// choose returns the upstream for the next send.
func (g *Gateway) choose(req *request, a *attempts) (target, bool) {
	list := g.catalog.Load().Service(req.service)
	records := make([]eject.Record, 0, len(list))
	replicas := make([]place.Replica, 0, len(list))
	for _, u := range list {
		known := g.board.Known(u.Key())
		records = append(records, known.Failures)
		replicas = append(replicas, place.Replica{
			Seed:   u.Hash,
			Load:   float64(known.Load),
			Tried:  a.tried[u.Key()],
			Local:  u.FailureDomain == g.opts.FailureDomain,
			Leaves: u.State != catalog.StateReady,
		})
	}
	for i, weight := range eject.Weights(g.opts.Policy.Eject, g.board.now(), records) {
		replicas[i].Weight = weight
	}
	index, source := g.rank(req, list, replicas)
	if index < 0 {
		return target{}, false
	}
	t := target{upstream: list[index], load: int(replicas[index].Load)}
	if source >= 0 {
		t.source = list[source]
	}
	return t, true
}

// rank applies the policy of the route to the candidates. source is the one to
// fetch the prompt from; -1 if none is needed or known.
func (g *Gateway) rank(req *request, list []*catalog.Upstream, replicas []place.Replica) (index, source int) {
	n := len(req.prefixes)
	if n == 0 {
		return place.ChooseLeast(replicas, g.policy.Load().RemoteLoad, rand.Uint64()), -1
	}
	g.markHolders(req.prefixes[n-1], list, replicas)
	index = place.ChoosePrompt(g.policy.Load().Prompt, req.prefixes[n-1], replicas).Index
	if index < 0 {
		return -1, -1
	}
	for i := n - 1; i >= 0; i-- {
		g.markHolders(req.prefixes[i], list, replicas)
		if replicas[index].Holds {
			return index, -1
		}
		if source = place.Source(replicas, index); source >= 0 {
			return index, source
		}
	}
	return index, -1
}

// markHolders marks the candidates that have lately read the prompt up to a
// shared part.
func (g *Gateway) markHolders(prefix uint64, list []*catalog.Upstream, replicas []place.Replica) {
	for i := range replicas {
		replicas[i].Holds = false
	}
	g.prompts.Holders(prefix, func(key catalog.Key) {
		for i, u := range list {
			if u.ID == key.ID && u.Born == key.Born {
				replicas[i].Holds = true
			}
		}
	})
}

// attempt sends the request to one upstream and delivers its answer. failure is
// 0 if the request has its end.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, req *request, t target, a *attempts) (end, retry.Failure) {
	key := t.upstream.Key()
	a.tried[key] = true
	begin := time.Now()
	record := sendRecord{upstream: t.upstream.ID + "@" + t.upstream.FailureDomain, load: t.load}
	if t.source != nil {
		record.fetch = t.source.ID
	}
	g.board.Begin(key)
	e, failure, result := g.exchange(ctx, w, req, t)
	g.board.End(key)
	if failure == retry.FailureNotSent {
		a.dials++
	} else {
		a.made++
	}
	record.result, record.took = result, time.Since(begin)
	req.sends = append(req.sends, record)
	return e, failure
}

// Results of sends in logs, beside those of package forward.
const (
	resultRefused  = "refused"
	resultAnswered = "answered"
	resultSpoiled  = "spoiled-answer"
	resultCut      = "cut"
	resultFailure  = "upstream-failure"
	resultLeft     = "caller-left"
)

// exchange sends the request and handles the head of the answer.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, req *request, t target) (end, retry.Failure, string) {
	key := t.upstream.Key()
	out := g.upstreamRequest(req, t)
	for _, prefix := range req.prefixes {
		g.prompts.Placed(Placement{Part: prefix, At: key})
	}
	response, err := g.pool.Send(ctx, t.upstream.Address, out)
	if err != nil {
		return g.sendFailed(ctx, req, key, err)
	}
	g.board.Progress(key)
	answer := g.opts.Protocol.ReadAnswer(response.Status, response.Header)
	switch {
	case answer.NotRun:
		drained := drainBody(response)
		response.Close(drained)
		if answer.WrongHost {
			g.board.Hold(key, holdWrong)
			g.logHold(key, holdWrong, "another upstream has its address")
		} else {
			g.board.Hold(key, holdFull)
		}
		return refused("upstream refused", retrySoon), retry.FailureRefused, resultRefused
	case answer.Encoded, !answer.Signed && (response.Status < 300 || promisesNotRun(response.Status)):
		response.Close(false)
		return failed(http.StatusBadGateway, "upstream's answer is not usable"), retry.FailureMayHaveRun, resultSpoiled
	case response.Status >= http.StatusInternalServerError && !req.begun && g.spare(req):
		response.Close(drainBody(response))
		return failed(http.StatusBadGateway, "upstream failed"), retry.FailureMayHaveRun, resultFailure
	case req.begun && response.Status >= 300:
		response.Close(drainBody(response))
		return end{kind: endCut, reason: "upstream did not go on"}, retry.FailureMayHaveRun, resultFailure
	}
	return g.deliver(ctx, w, req, key, response)
}

// holdBack records a failure that speaks against an upstream.
func (g *Gateway) holdBack(key catalog.Key, cause error) {
	if out := g.board.Failed(key); out > 0 {
		g.logHold(key, out, cause.Error())
	}
}

// logHold tells that an upstream is taken out of placement for a time.
func (g *Gateway) logHold(key catalog.Key, out time.Duration, cause string) {
	g.opts.Log.WithFields(log.Fields{
		"upstream": key.ID, "out_ms": out.Milliseconds(), "cause": cause, "catalog": g.catalog.Load().Revision,
	}).Info("upstream taken out of placement")
}

// spare tells whether an upstream's failure need not be the answer, since
// another upstream may be tried.
func (g *Gateway) spare(req *request) bool {
	return req.route.Repeatable() && len(req.sends)+1 < req.route.MaxAttempts
}

// promisesNotRun tells whether the status says that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendFailed classifies a send without an answer.
func (g *Gateway) sendFailed(ctx context.Context, req *request, key catalog.Key, err error) (end, retry.Failure, string) {
	var failure *forward.Error
	if !errors.As(err, &failure) {
		return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, err.Error()
	}
	if ctx.Err() == nil && !errors.Is(err, forward.ErrConnectionLimit) {
		g.holdBack(key, err)
	}
	if failure.Outcome == forward.NotSent {
		return refused(err.Error(), retrySoon), retry.FailureNotSent, failure.Outcome.String()
	}
	if ctx.Err() != nil {
		if req.http.Context().Err() != nil {
			return end{kind: endLeft, reason: "caller left"}, 0, resultLeft
		}
		return failed(http.StatusGatewayTimeout, "timeout"), 0, "timeout"
	}
	return failed(http.StatusBadGateway, err.Error()), retry.FailureMayHaveRun, failure.Outcome.String()
}

// upstreamRequest returns what is sent to the upstream.
func (g *Gateway) upstreamRequest(req *request, t target) *forward.Request {
	s := Send{
		UpstreamID:  t.upstream.ID,
		Deadline:    time.Until(req.deadline),
		LastEventID: req.LastEventID,
	}
	if req.lastID != "" {
		s.LastEventID = req.lastID
	}
	if req.customer != nil {
		s.Customer = req.customer.Name
		s.Priority = priority(req)
	}
	if t.source != nil {
		s.FetchFrom = t.source.Address
	}
	return &forward.Request{
		Method: req.http.Method,
		Target: req.http.RequestURI,
		Host:   req.http.Host,
		Header: g.opts.Protocol.UpstreamHeader(req.http.Header, s),
		Body:   req.body,
		ID:     req.AttemptID,
		Once:   !req.route.Repeatable(),
	}
}

// priority returns the rank of a request at an engine; nil for plain services.
func priority(req *request) *int {
	if !req.route.Prompted {
		return nil
	}
	rank := req.route.Priority
	if req.customer != nil && req.customer.Priority != nil {
		rank = *req.customer.Priority
	}
	rank = min(max(rank, 0), lowestPriority)
	return &rank
}

// lowestPriority is the least urgent rank that engines know.
const lowestPriority = 9
