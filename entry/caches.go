package entry

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gossip"
	"dandelionrill.example/fleet/platform"
)

// startupPollInterval is how often a starting router checks whether it has the
// list of routers, the configuration and the upstreams.
const startupPollInterval = 20 * time.Millisecond

// readCaches reads what the engines of this router's part of the upstreams have
// cached, once the configuration and the lists of routers and upstreams are known.
// Each starting router reads one part and reports it to the others, so that routers
// that all restart together soon know most of the caches, and a single restart
// costs little. At the first start of the whole system nothing is cached.
func (h *Host) readCaches(ctx context.Context) {
	if h.opts.Settings.FirstStart {
		return
	}
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for !h.initialized() || h.routers.Stamp().Revision == 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	known, _ := platform.DecodeRouters(h.routers.Snapshot().Records) // applyRouters logs invalid entries
	h.gateway.ReadCaches(ctx, h.ownedBy(addresses(known)))
}

// ownedBy returns which of the upstreams this router has when they are divided among the
// routers with the addresses and this one.
func (h *Host) ownedBy(routers []string) func(*catalog.Upstream) bool {
	own := h.opts.Settings.PeersAddress
	if !slices.Contains(routers, own) { // this router is not registered yet
		routers = append(routers, own)
	}
	return func(u *catalog.Upstream) bool { return routers[place.Owner(u.Hash, routers)] == own }
}

// cacheShare returns of which upstreams this router reads the cache lists for lookups. In a
// fleet that is not flat lookups stay within the failure domain, so that its routers read all
// lists between them.
func (h *Host) cacheShare() func(*catalog.Upstream) bool {
	known := h.routerList.current()
	if len(known) > gossip.MaxFlatRouters {
		domain := h.opts.Settings.FailureDomain
		known = slices.DeleteFunc(known, func(r platform.Router) bool { return r.FailureDomain != domain })
	}
	return h.ownedBy(addresses(known))
}
