package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// cacheListTimeout limits the time to read one list: a few round trips, and
	// the transfer of some ten kilobytes over the narrowest links of the
	// deployments.
	cacheListTimeout = time.Second
	// cacheListMaxBytes limits the size of one list.
	cacheListMaxBytes = 1 << 20
	// cacheListConcurrency is the number of lists that are read concurrently.
	cacheListConcurrency = 8
	// cacheListFreshness is the age up to which a list is not read again for placements.
	cacheListFreshness = 2 * time.Second
	// cacheListMaxParts is the number of parts recorded as placements from one list, the largest
	// first: each is reported to all routers, and engines quickly read small parts
	// again.
	cacheListMaxParts = 256
)

// ReadCaches reads the lists of cached prompt parts of the upstreams that take prompts and for
// which assigned returns true, and of those of CacheShare. All go into the index of caches.
// Those assigned are also recorded like this router's own placements, unless the upstream
// leaves, so that they are reported to the other routers too. After a restart of all routers
// there is no other source for what the engines have cached.
func (g *Gateway) ReadCaches(ctx context.Context, assigned func(*catalog.Upstream) bool) {
	share := assigned
	if g.opts.CacheShare != nil {
		share = g.opts.CacheShare()
	}
	var upstreams []*catalog.Upstream
	for _, u := range g.promptUpstreams() {
		if assigned(u) || share(u) {
			upstreams = append(upstreams, u)
		}
	}
	g.readLists(ctx, upstreams, time.Now().Add(-cacheListFreshness), assigned)
}

// readLists reads the cache lists of upstreams, except for those of which a read began at since or
// later, and waits for them until ctx ends. Reads in progress are not ended by that. Lists of
// upstreams for which placed returns true are recorded as placements; nil means none. An
// upstream that asked for a pause or names a limit is left out: a read has no permit.
func (g *Gateway) readLists(ctx context.Context, upstreams []*catalog.Upstream, since time.Time, placed func(*catalog.Upstream) bool) {
	var waiting []<-chan struct{}
	for _, u := range upstreams {
		status := g.board.Status(u.Key())
		if g.isEvacuated(u) || g.isCold(u) || status.Held > 0 || status.badEntry.is(u) || g.limits.limited(u.Key()) {
			continue
		}
		begins, done := g.caches.Request(u, since, placed != nil && placed(u))
		if begins {
			go g.readRequested(u)
		}
		if done != nil {
			waiting = append(waiting, done)
		}
	}
	for _, done := range waiting {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// readRequested makes the read of an upstream's list that was asked for.
func (g *Gateway) readRequested(u *catalog.Upstream) {
	placed := g.caches.Begin(u)
	g.listReads <- struct{}{}
	defer func() { <-g.listReads }()
	g.readCache(u, placed && !g.isLeaving(u))
}

// promptUpstreams returns the upstreams of the services that take prompts.
func (g *Gateway) promptUpstreams() []*catalog.Upstream {
	table, current := g.table.Load(), g.catalog.Load()
	if table == nil {
		return nil
	}
	var out []*catalog.Upstream
	for _, service := range table.PromptedServices() {
		out = append(out, current.Service(service)...)
	}
	return out
}

// readCache records what one upstream has cached, and if placed is true also as placements. A
// failure is only logged: engines then read again the prompts that were not listed.
func (g *Gateway) readCache(u *catalog.Upstream, placed bool) {
	start, ended := time.Now(), false
	defer func() {
		if !ended { // after a panic, so that the list is read again
			g.caches.End(u, nil, false)
		}
	}()
	defer g.recoverPanic("cache-list", "")
	parts, err := g.fetchCacheList(g.running, u)
	keys := make([]uint64, 0, len(parts))
	for _, part := range parts {
		keys = append(keys, partKey(part.Model, part.ID))
	}
	if placed { // before End, which releases those that wait for the list
		slices.SortFunc(parts, func(a, b CachedPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
		for _, part := range parts[:min(len(parts), cacheListMaxParts)] {
			g.prompts.RecordSend(Placement{Part: partKey(part.Model, part.ID), At: u.Key()})
		}
	}
	g.caches.End(u, keys, err == nil)
	ended = true
	entry := g.opts.Log.WithFields(log.Fields{
		"upstream": u.ID, "parts": len(parts), "ms": time.Since(start).Milliseconds(), "catalog": g.catalog.Load().Revision,
	})
	if err != nil {
		entry.WithError(err).Warn("cache list of an upstream is incomplete")
		return
	}
	entry.Info("cache of an upstream read")
}

func (g *Gateway) fetchCacheList(ctx context.Context, u *catalog.Upstream) ([]CachedPart, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	response, err := g.pool.Send(ctx, u.Address, &forward.Request{
		Method: http.MethodGet, Target: g.opts.Protocol.CacheListTarget(), Host: u.Address,
		Precondition: g.sendPrecondition(target{upstream: u}),
	})
	if errors.Is(err, forward.ErrHead) {
		g.markBadEntry(u, err)
	}
	if err != nil {
		return nil, errors.Wrap(err, "list cache")
	}
	g.readAnswer(u.Key(), response)
	body, err := io.ReadAll(io.LimitReader(response, cacheListMaxBytes))
	response.Close(err == nil && len(body) < cacheListMaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list cache")
	}
	if response.Status != http.StatusOK {
		return nil, errors.Newf("list cache: status %d", response.Status)
	}
	list, err := g.opts.Protocol.ReadCacheList(body)
	if list.Born != 0 && u.Born != 0 && list.Born != u.Born {
		return nil, errOtherStart // its engine holds nothing of before
	}
	return list.Parts, err
}

// errOtherStart means that a cache list is that of another start of an upstream than the listed one.
var errOtherStart = errors.New("list of another start of the upstream")
