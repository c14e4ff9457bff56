package gateway

import (
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/catalog"
	"github.com/apex/log"
)

const (
	// maxHold is the longest time for which an upstream can hold this router back with
	// one answer. Longer times count as this one.
	maxHold = 10 * time.Minute
	// minHoldSpread is the least time over which the return of callers is spread after
	// all upstreams of a service have held this router back.
	minHoldSpread = 500 * time.Millisecond
)

// Hold records that the upstream wants no requests from this router for a time, and
// reports whether none was recorded before. A longer time extends an earlier one; a
// shorter one changes nothing.
func (b *Board) Hold(key catalog.Key, d time.Duration) (first bool) {
	b.update(key, func(u *upstreamState, now time.Duration) {
		first = u.heldUntil <= now
		u.heldUntil = max(u.heldUntil, now+min(d, maxHold))
	})
	return first
}

// hold holds requests to an upstream back for the time that it asks for.
func (g *Gateway) hold(key catalog.Key, d time.Duration) {
	if g.board.Hold(key, d) {
		g.metrics.holds.Add(1)
		g.opts.Log.WithFields(log.Fields{
			"upstream": key.ID, "hold_ms": min(d, maxHold).Milliseconds(), "catalog": g.catalog.Load().Revision,
		}).Info("upstream asks for no requests for a time")
	}
}

// holdEnd returns the time until the first upstream that can take the request accepts
// requests of this router again, if all that are not leaving hold it back.
func (g *Gateway) holdEnd(req *request) (left time.Duration, held bool) {
	for _, u := range g.candidates(req) {
		if g.isLeaving(u) || req.version.excludes(u) {
			continue
		}
		status := g.board.Status(u.Key())
		if status.Held <= 0 {
			return 0, false
		}
		if !held || status.Held < left {
			left, held = status.Held, true
		}
	}
	return left, held
}

// refuse returns the refusal of a request that has not run. If all upstreams of its
// service hold this router back, the caller is told to return after the first of them
// accepts requests again; these returns are spread. Otherwise retryAfter applies.
func (g *Gateway) refuse(req *request, reason string, retryAfter time.Duration) end {
	if left, held := g.holdEnd(req); held {
		return refused("all upstreams of the service ask for no requests for a time", left+rand.N(max(left/2, minHoldSpread)))
	}
	return refused(reason, retryAfter)
}

// isLeaving reports whether an upstream accepts no new work.
func (g *Gateway) isLeaving(u *catalog.Upstream) bool {
	return u.State != catalog.StateReady || g.leaving.Has(u.Key())
}
