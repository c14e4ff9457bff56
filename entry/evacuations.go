package entry

import (
	"context"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

// applyEvacuations stops all sends to the failure domains that the list names, and permits
// them again to those that it no longer names.
func (h *Host) applyEvacuations(s feed.Snapshot) {
	domains, findings := platform.DecodeEvacuations(s.Records)
	h.logInvalidEntries("evacuation", findings)
	source := "store"
	if h.evacuations.FromPeer() {
		source = "peer"
	}
	stamp := h.evacuations.Stamp()
	h.gateway.SetEvacuated(domains, source, stamp.Age)
	h.log.WithFields(log.Fields{"era": s.Era, "revision": s.Revision, "domains": len(domains)}).Info("list of evacuations changed")
}

// awaitEvacuations goes on without a list of evacuations if none was read within the bound
// for evacuations: neither the store nor another router has one, such as while all other
// routers are of an earlier version.
func (h *Host) awaitEvacuations(ctx context.Context) {
	if h.evacuations == nil {
		return
	}
	sleep(ctx, h.opts.Settings.Bounds.Evacuation)
	if ctx.Err() == nil && h.gateway.AssumeNoEvacuations() {
		h.log.Warn("no list of evacuations can be read; requests are served without one")
	}
}
