package entry

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/platform"
)

// knownInterval is how often a router that starts looks whether it knows the
// other routers, the configuration and the upstreams.
const knownInterval = 20 * time.Millisecond

// readCaches asks this router's part of the upstreams what their engines have
// cached, once it knows them and the other routers. Each router that starts asks
// for a part and tells the others, so that all restarting together know most of
// it within a moment, and one alone costs little. At the first start of the whole
// system nothing is cached.
func (h *Host) readCaches(ctx context.Context) {
	if h.opts.Settings.FirstStart {
		return
	}
	ticker := time.NewTicker(knownInterval)
	defer ticker.Stop()
	for !h.informed() || h.routers.Stamp().Revision == 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	own := h.opts.Settings.PeersAddress
	known, _ := platform.DecodeRouters(h.routers.Snapshot().Records) // applyRouters logs what cannot be used
	routers := addresses(known)
	if !slices.Contains(routers, own) { // it is being registered
		routers = append(routers, own)
	}
	h.gateway.ReadCaches(ctx, func(u *catalog.Upstream) bool {
		return routers[place.Owner(u.Hash, routers)] == own
	})
}
