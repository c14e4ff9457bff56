package entry

import (
	"context"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// applyConfiguration puts a newer configuration in force. If it cannot be decoded,
// the previous one stays in force.
func (h *Host) applyConfiguration(s feed.Snapshot) {
	c, err := platform.DecodeConfiguration(s.Records)
	if errors.Is(err, platform.ErrNoConfiguration) {
		return
	}
	if err != nil {
		h.log.WithError(err).WithField("revision", s.Revision).Error("cannot decode the configuration; the previous one stays in force")
		return
	}
	if h.gateway.SetTable(routing.NewTable(c)) {
		h.idle.setLimit(c.Limits.IdleTimeout)
		h.log.WithFields(log.Fields{
			"config": c.Version, "revision": s.Revision, "routes": len(c.Routes), "customers": len(c.Customers),
			"idle_ms": c.Limits.IdleTimeout.Milliseconds(),
		}).Info("configuration in force")
	}
}

// applyUpstreams passes a newer list of upstreams to the gateway, together with
// the entries that may have expired only because the store was unavailable.
func (h *Host) applyUpstreams(s feed.Snapshot) {
	listed, findings := platform.DecodeUpstreams(s.Records)
	h.logInvalidEntries("upstream", findings)
	h.missingEntriesMu.Lock()
	defer h.missingEntriesMu.Unlock()
	steady := h.upstreams.Steady()
	merged := h.missingEntries.Merge(listed, steady)
	h.gateway.SetCatalog(catalog.New(s.Revision, merged))
	h.log.WithFields(log.Fields{
		"revision": s.Revision, "listed": len(listed), "kept": h.missingEntries.Retained(), "leaving": countLeaving(listed),
		"store_steady_ms": steady.Milliseconds(),
	}).Info("upstreams changed")
}

// logInvalidEntries logs entries that cannot be used.
func (h *Host) logInvalidEntries(what string, invalid []platform.Finding) {
	for _, f := range invalid {
		h.log.WithError(f.Err).WithFields(log.Fields{"entry": f.Name, "revision": f.Revision}).Warn(what + " entry is invalid and ignored")
	}
}

func countLeaving(upstreams []catalog.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.State == catalog.StateLeaving {
			n++
		}
	}
	return n
}

// expireMissingEntries drops the retained entries that were not registered again
// within reregistrationWindow.
func (h *Host) expireMissingEntries() {
	h.missingEntriesMu.Lock()
	windowOver := h.missingEntries.Retained() > 0 && h.upstreams.Steady() >= reregistrationWindow
	h.missingEntriesMu.Unlock()
	if windowOver {
		h.applyUpstreams(h.upstreams.Snapshot())
	}
}

// applyRouters passes a newer list of routers to the mesh and the gateway.
func (h *Host) applyRouters(s feed.Snapshot) {
	routers, findings := platform.DecodeRouters(s.Records)
	h.logInvalidEntries("router", findings)
	h.mesh.SetPeers(addresses(routers))
	h.gateway.SetRouterCount(len(routers))
	h.log.WithFields(log.Fields{"revision": s.Revision, "routers": len(routers)}).Info("routers changed")
}

func addresses(routers []platform.Router) []string {
	out := make([]string, 0, len(routers))
	for _, r := range routers {
		out = append(out, r.Address)
	}
	return out
}

// registerRetryDelay is the delay before a failed registration is retried.
const registerRetryDelay = time.Second

// register writes this router's entry to the store, where other routers find it,
// and retries until it succeeds or ctx ends.
func (h *Host) register(ctx context.Context) {
	s := &h.opts.Settings
	value, err := platform.EncodeRouter(platform.Router{Address: s.PeersAddress, FailureDomain: s.FailureDomain})
	for err == nil {
		if err = h.store.WriteRecord(ctx, platform.KindRouters, s.Host, value); err == nil {
			return
		}
		h.log.WithError(err).Warn("cannot register this router; retrying")
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetryDelay):
			err = nil
		}
	}
	h.log.WithError(err).Error("cannot register this router")
}

// maintainInterval is how often idle connections and expired entries are checked.
const maintainInterval = 250 * time.Millisecond

// maintain closes idle connections and drops expired entries until ctx ends.
func (h *Host) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if n := h.idle.closeExpired(now); n > 0 {
				h.log.WithField("connections", n).Info("idle connections of callers closed")
			}
			h.expireMissingEntries()
			h.gateway.Sweep()
		}
	}
}
