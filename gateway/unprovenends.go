package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/forward"
)

const (
	// maxUnprovenEnds is the number of ends that are kept of an upstream, the newest.
	maxUnprovenEnds = 32
	// unprovenEndMemory is how long an end is kept.
	unprovenEndMemory = 10 * time.Second
	// livenessProbeDelay is the time from such an end to the request that shows that the upstream
	// has not ended with it: longer than aliveFrom, and shorter than CrashSettleTime.
	livenessProbeDelay = 150 * time.Millisecond
	// livenessProbeInterval is the least time between two of these requests to an upstream, and
	// livenessProbeTimeout limits one.
	livenessProbeInterval = time.Second
	livenessProbeTimeout  = time.Second
)

// unprovenEnds are the ends of answers that end with their connection, by the short hash of the
// upstream's key. An upstream that a request crashes may end its answer like that too: only what
// the upstream answers afterwards shows that it has not. The methods may be called concurrently.
type unprovenEnds struct {
	count  atomic.Int64 // of upstreams with ends
	mu     sync.Mutex
	ends   map[uint32][]unprovenEnd
	probed map[uint32]time.Duration // within livenessProbeInterval
}

// unprovenEnd is the end of an answer to a request with prompt parts, or its fingerprint.
type unprovenEnd struct {
	at    time.Duration
	parts []uint64
}

// add keeps an end.
func (u *unprovenEnds) add(upstream uint32, e unprovenEnd) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ends == nil {
		u.ends, u.probed = make(map[uint32][]unprovenEnd), make(map[uint32]time.Duration)
	}
	ends := u.ends[upstream]
	if len(ends) >= maxUnprovenEnds {
		ends = ends[1:]
	}
	u.ends[upstream] = append(ends, e)
	u.count.Store(int64(len(u.ends)))
}

// prove removes and returns the ends of an upstream after which it has answered a request that was
// sent at a time.
func (u *unprovenEnds) prove(upstream uint32, sent time.Duration) (proven []unprovenEnd) {
	if u.count.Load() == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	ends := u.ends[upstream]
	for len(ends) > 0 && ends[0].at+aliveFrom <= sent {
		if sent-ends[0].at <= unprovenEndMemory {
			proven = append(proven, ends[0])
		}
		ends = ends[1:]
	}
	if u.ends[upstream] = ends; len(ends) == 0 {
		delete(u.ends, upstream)
	}
	u.count.Store(int64(len(u.ends)))
	return proven
}

// expire forgets old ends.
func (u *unprovenEnds) expire(now time.Duration) {
	if u.count.Load() == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for upstream, ends := range u.ends {
		if now-ends[len(ends)-1].at > unprovenEndMemory {
			delete(u.ends, upstream)
		}
	}
	u.count.Store(int64(len(u.ends)))
}

// mayProbe reports whether an upstream may be asked now, and records that it is.
func (u *unprovenEnds) mayProbe(upstream uint32, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.probed, func(_ uint32, at time.Duration) bool { return now-at >= livenessProbeInterval })
	if _, recently := u.probed[upstream]; recently || u.probed == nil {
		return false
	}
	u.probed[upstream] = now
	return true
}

// RecordEnded records that an answer to a request with the parts ended with its connection, in
// order and with a whole event. It counts as answered once the upstream answers another request.
func (c *Crashes) RecordEnded(upstream uint32, parts []uint64) {
	c.unproven.add(upstream, unprovenEnd{at: c.now(), parts: parts})
}

// proveEnds records the ends of an upstream as answers, if it has answered a request that was sent
// after them.
func (c *Crashes) proveEnds(upstream uint32, sent time.Duration) {
	for _, e := range c.unproven.prove(upstream, sent) {
		c.recordAnsweredAt(e.parts, e.at)
	}
}

// recordEnded records an answer whose end is only that of its connection. While crashes are
// recorded, the upstream is asked soon whether it has ended: no other request may come.
func (g *Gateway) recordEnded(req *request, s *send) {
	if len(req.ids) == 0 {
		return
	}
	upstream := s.key().Sum()
	g.crashes.RecordEnded(upstream, req.ids)
	if !g.crashes.Any() || !g.crashes.unproven.mayProbe(upstream, g.crashes.now()) {
		return
	}
	target := s.target.upstream
	time.AfterFunc(livenessProbeDelay, func() {
		defer g.recoverPanic("liveness", req.AttemptID)
		g.probeLiveness(target)
	})
}

// probeLiveness asks an upstream for its cache list. Any answer shows that it has not ended.
func (g *Gateway) probeLiveness(u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(g.running, livenessProbeTimeout)
	defer cancel()
	sent := time.Now()
	response, err := g.pool.Send(ctx, u.Address, &forward.Request{
		Method: http.MethodGet, Target: g.opts.Protocol.CacheListTarget(), Host: u.Address,
		Precondition: g.sendPrecondition(target{upstream: u}),
	})
	if err != nil {
		return // it has ended, or asks for no requests
	}
	defer response.Close(drainBody(response))
	if answer := g.readAnswer(u.Key(), response); !answer.WrongHost {
		g.crashes.RecordAlive(u.Key().Sum(), time.Since(sent))
	}
}
