package entry

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
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
	own := h.opts.Settings.PeersAddress
	known, _ := platform.DecodeRouters(h.routers.Snapshot().Records) // applyRouters logs invalid entries
	routers := addresses(known)
	if !slices.Contains(routers, own) { // this router is not registered yet
		routers = append(routers, own)
	}
	h.gateway.ReadCaches(ctx, func(u *catalog.Upstream) bool {
		return routers[place.Owner(u.Hash, routers)] == own
	})
}
