package gateway

import (
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/internal/headtext"
	"github.com/apex/log"
)

// badEntry is the entry of an upstream that cannot be written into the head of a request. The zero
// value is none.
type badEntry struct {
	known   bool
	address string
}

// is reports whether it is the entry of the upstream as listed: one with another address may be
// sound.
func (b badEntry) is(u *catalog.Upstream) bool { return b.known && b.address == u.Address }

// badEntryOf returns the upstream whose entry keeps the head of a request to the target from being
// written; nil if it is the request itself.
func badEntryOf(t target) *catalog.Upstream {
	switch {
	case !headtext.IsIdentifier(t.upstream.ID):
		return t.upstream
	case t.fetchSource != nil && !headtext.IsHost(t.fetchSource.Address):
		return t.fetchSource
	}
	return nil
}

// headRefused returns how a send ends whose head cannot be written. Nothing was sent. If that is
// due to the entry of an upstream, the request goes on elsewhere, and the entry is not used again.
func (g *Gateway) headRefused(s *send, err error) (end, retry.Failure, string) {
	g.metrics.unwritableHeads.Add(1)
	u := badEntryOf(s.target)
	if u == nil {
		return denied(http.StatusBadRequest, "request cannot be passed on").because(err), 0, resultUnwritable
	}
	g.markBadEntry(u, err)
	return refused("entry of an upstream is not valid", retryAfterShort), retry.FailureNotSent, resultUnwritable
}

// markBadEntry excludes an upstream from placement until its entry changes.
func (g *Gateway) markBadEntry(u *catalog.Upstream, err error) {
	first := false
	g.board.update(u.Key(), func(state *upstreamState, _ time.Duration) {
		first = !state.badEntry.is(u)
		state.badEntry = badEntry{known: true, address: u.Address}
	})
	if first {
		g.opts.Log.WithError(err).WithFields(log.Fields{"upstream": u.ID, "address": u.Address, "catalog": g.catalog.Load().Revision}).
			Warn("entry of an upstream cannot be written into a head; it gets no requests")
	}
}
