package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
)

const (
	// maxPermitCalls is the number of upstreams for which one request asks for a permit
	// until only those without a limit are left to it.
	maxPermitCalls = 8
	// permitLife is how long a permit can be used that was asked for in advance.
	permitLife = 500 * time.Millisecond
	// maxDeniedTime is the longest time for which no permit is asked for after a denial:
	// the limit may rise meanwhile.
	maxDeniedTime = time.Second
	// minLimitSpread is the least time over which the return of callers is spread that were
	// refused since all upstreams have reached their limits.
	minLimitSpread = time.Second
	// maxPermitBuckets is the number of upstreams whose permits one router keeps.
	maxPermitBuckets = 4096
	// maxPermitWait is how long a stream that is to be continued waits for permits: callers
	// leave a stream that pauses for longer.
	maxPermitWait = 1500 * time.Millisecond
	// reasonLimited is the reason of a refusal.
	reasonLimited = "all upstreams of the service have reached the limits that they name"
)

// Permits grants permits to send to upstreams that name limits: one for each request, to
// this router and to others. Its methods may be called concurrently.
type Permits struct {
	start   time.Time
	mu      sync.Mutex
	buckets map[uint32]*permitBucket // by the short hash of the upstream's key
}

type permitBucket struct {
	limit.Bucket
	usedAt time.Duration
}

// NewPermits returns a Permits that has granted none.
func NewPermits() *Permits {
	return &Permits{start: time.Now(), buckets: make(map[uint32]*permitBucket)}
}

// Grant grants a permit for an upstream with a limit in requests a second, or returns the
// time until there is one if nobody else takes it.
func (p *Permits) Grant(upstream uint32, rate float64) (granted bool, wait time.Duration) {
	now := time.Since(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[upstream]
	if b == nil {
		if len(p.buckets) >= maxPermitBuckets {
			evictBucket(p.buckets)
		}
		b = &permitBucket{}
		p.buckets[upstream] = b
	}
	b.usedAt = now
	return b.Take(now, rate)
}

// evictBucket removes the bucket that was not used for longest.
func evictBucket(buckets map[uint32]*permitBucket) {
	var victim uint32
	oldest := time.Duration(-1)
	for upstream, b := range buckets {
		if oldest < 0 || b.usedAt < oldest {
			victim, oldest = upstream, b.usedAt
		}
	}
	delete(buckets, victim)
}

// denied returns how long no permit for an upstream is to be asked for.
func (l *Limits) denied(key catalog.Key) time.Duration {
	if !l.any.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.upstreams[key]; r != nil && r.Limited {
		return max(0, r.deniedUntil-l.now())
	}
	return 0
}

// deny records that there is no permit for an upstream for a time. Routers ask again at
// different times.
func (l *Limits) deny(key catalog.Key, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.upstreams[key]; r != nil {
		r.deniedUntil = l.now() + min(wait+rand.N(wait/4+time.Millisecond), maxDeniedTime)
	}
}

// takeStash uses a permit that was asked for in advance.
func (l *Limits) takeStash(key catalog.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.upstreams[key]
	if r == nil || r.stash <= l.now() {
		return false
	}
	r.stash = 0
	return true
}

// putStash keeps a permit that was not used for the next request, for a short time.
func (l *Limits) putStash(key catalog.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.upstreams[key]; r != nil {
		r.stash = l.now() + permitLife
	}
}

// setAsking sets whether a permit is being asked for in advance, and reports whether that
// is a change.
func (l *Limits) setAsking(key catalog.Key, asking bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.upstreams[key]
	if r == nil || r.asking == asking {
		return false
	}
	r.asking = asking
	return true
}

// askPermit asks for a permit to send to an upstream with a limit.
func (g *Gateway) askPermit(ctx context.Context, key catalog.Key, rate float64) bool {
	if g.limits.takeStash(key) {
		return true
	}
	granted, wait := g.opts.Permit(ctx, key, rate)
	if !granted {
		g.limits.deny(key, wait)
		g.metrics.permitsDenied.Add(1)
		return false
	}
	g.metrics.permitsGranted.Add(1)
	return true
}

// reserve chooses the upstream for the next send. If it names a limit, a permit is used for
// the send; where there is none, the next upstream is tried.
func (g *Gateway) reserve(ctx context.Context, req *request, a *attempts) (target, bool) {
	if a.reserved != nil {
		t := *a.reserved
		a.reserved = nil
		if !g.isEvacuated(t.upstream) {
			return t, true
		}
	}
	for range maxPermitCalls {
		t, ok := g.chooseCounted(req, a)
		if !ok {
			return target{}, false
		}
		if t.counted || g.permit(ctx, &t) {
			return t, true
		}
	}
	a.avoidsLimited = true
	defer func() { a.avoidsLimited = false }()
	return g.chooseCounted(req, a)
}

// chooseCounted is choose for a request that is sent at once. If it has a turn and needs no
// permit, it counts at the upstream before others of its service choose: turns that are granted
// together would all choose the upstream that has the fewest requests.
func (g *Gateway) chooseCounted(req *request, a *attempts) (target, bool) {
	if req.turn == nil {
		return g.choose(req, a)
	}
	req.turn.queue.choosing.Lock()
	defer req.turn.queue.choosing.Unlock()
	t, ok := g.choose(req, a)
	if ok && !g.needsPermit(t.upstream) {
		g.board.BeginRequest(t.upstream.Key())
		t.counted = true
	}
	return t, ok
}

// uncount ends the count of a target to which nothing is sent at once.
func (g *Gateway) uncount(t *target) {
	if t.counted {
		g.board.EndRequest(t.upstream.Key())
		t.counted = false
	}
}

// unreserve releases a target to which nothing is sent, and keeps its permit for the next
// request.
func (g *Gateway) unreserve(t *target) {
	g.uncount(t)
	g.limits.putStash(t.upstream.Key())
}

// reserveNow is like reserve, but does not wait: if the chosen upstream names a limit and
// no permit is at hand, it asks for one in advance and returns false.
func (g *Gateway) reserveNow(req *request, a *attempts) (target, bool) {
	a.avoidsCold = true // a permit for a cold upstream can't be kept until it is used
	t, ok := g.choose(req, a)
	a.avoidsCold = false
	if !ok {
		return target{}, false
	}
	key := t.upstream.Key()
	rate, limited := g.limits.Rate(key)
	if !limited || g.limits.takeStash(key) {
		return t, true
	}
	if g.limits.setAsking(key, true) {
		go func() {
			defer g.recoverPanic("permit", req.AttemptID)
			defer g.limits.setAsking(key, false)
			if g.askPermit(g.running, key, rate) {
				g.limits.putStash(key)
			}
		}()
	}
	return target{}, false
}

// limitEnd returns the time until the first upstream that can take the request may have a
// permit, if there are such upstreams.
func (g *Gateway) limitEnd(req *request, a *attempts) (left time.Duration, limited bool) {
	for _, u := range g.candidates(req) {
		key := u.Key()
		if g.isLeaving(u) || req.version.excludes(u) || a.tried[key] || g.board.Status(key).Held > 0 {
			continue
		}
		if wait := g.permitDenied(u); wait > 0 && (!limited || wait < left) {
			left, limited = wait, true
		}
	}
	return left, limited
}

// awaitPermit waits until an upstream that can continue a stream may have a permit. It returns
// false if there is none in time: the stream has to be cut, which a wait may spare its caller.
func (g *Gateway) awaitPermit(ctx context.Context, req *request, a *attempts) bool {
	left, limited := g.limitEnd(req, a)
	if !limited || a.permitWait+left > maxPermitWait || time.Until(req.deadline) < left+minAttemptTime {
		return false
	}
	a.permitWait += left
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuseLimited returns the refusal of a request for which no upstream has a permit. The
// returns of callers are spread over the time until there are more permits, or longer.
func (g *Gateway) refuseLimited(left time.Duration) end {
	g.metrics.limitedRequests.Add(1)
	return refused(reasonLimited, left+rand.N(max(left, minLimitSpread)))
}
