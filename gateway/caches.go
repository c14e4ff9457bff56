package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// cacheListTimeout bounds one list: a few round trips, and the transfer of
	// some ten kilobytes over the narrowest links of the deployments.
	cacheListTimeout = time.Second
	// cacheListBytes bounds the size of a list.
	cacheListBytes = 1 << 20
	// cacheListAtOnce is the number of lists that are read at once.
	cacheListAtOnce = 4
	// cacheListParts is the most parts of one list that are remembered, the
	// largest first: they are told to all routers, and small parts are quickly
	// read again.
	cacheListParts = 256
)

// ReadCaches asks the ready upstreams that take prompts, of those that mine picks,
// what their engines have cached, and remembers it like this router's own
// placements, so that other routers learn it too. After a restart of all routers
// nothing else tells where prompts have been read.
func (g *Gateway) ReadCaches(ctx context.Context, mine func(*catalog.Upstream) bool) {
	slots := make(chan struct{}, cacheListAtOnce)
	var all sync.WaitGroup
	for _, u := range g.promptedUpstreams() {
		if u.State != catalog.StateReady || !mine(u) {
			continue
		}
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			g.readCache(ctx, u)
		})
	}
	all.Wait()
}

// promptedUpstreams returns the upstreams of the services that take prompts.
func (g *Gateway) promptedUpstreams() []*catalog.Upstream {
	table, known := g.table.Load(), g.catalog.Load()
	if table == nil {
		return nil
	}
	var out []*catalog.Upstream
	for _, service := range table.PromptedServices() {
		out = append(out, known.Service(service)...)
	}
	return out
}

// readCache remembers what one upstream has cached. A failure is logged: the
// prompts are read again then.
func (g *Gateway) readCache(ctx context.Context, u *catalog.Upstream) {
	begin := time.Now()
	parts, err := g.cacheList(ctx, u)
	slices.SortFunc(parts, func(a, b CachedPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	for _, part := range parts[:min(len(parts), cacheListParts)] {
		g.prompts.Placed(Placement{Part: partKey(part.Model, part.ID), At: u.Key()})
	}
	entry := g.opts.Log.WithFields(log.Fields{
		"upstream": u.ID, "parts": len(parts), "ms": time.Since(begin).Milliseconds(), "catalog": g.catalog.Load().Revision,
	})
	if err != nil {
		entry.WithError(err).Warn("cache of an upstream not known in full")
		return
	}
	entry.Info("cache of an upstream read")
}

func (g *Gateway) cacheList(ctx context.Context, u *catalog.Upstream) ([]CachedPart, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	response, err := g.pool.Send(ctx, u.Address, &forward.Request{
		Method: http.MethodGet, Target: g.opts.Protocol.CacheListTarget(), Host: u.Address,
	})
	if err != nil {
		return nil, errors.Wrap(err, "list cache")
	}
	body, err := io.ReadAll(io.LimitReader(response, cacheListBytes))
	response.Close(err == nil && len(body) < cacheListBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list cache")
	}
	if response.Status != http.StatusOK {
		return nil, errors.Newf("list cache: status %d", response.Status)
	}
	return g.opts.Protocol.ReadCacheList(body)
}
