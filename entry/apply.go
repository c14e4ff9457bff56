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

// applyConfiguration puts a newer configuration in force. One that cannot be
// decoded leaves the old one in force.
func (h *Host) applyConfiguration(s feed.Snapshot) {
	c, err := platform.DecodeConfiguration(s.Records)
	if errors.Is(err, platform.ErrNoConfiguration) {
		return
	}
	if err != nil {
		h.log.WithError(err).WithField("revision", s.Revision).Error("configuration refused; the old one stays in force")
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

// applyUpstreams puts a newer list of upstreams in force.
func (h *Host) applyUpstreams(s feed.Snapshot) {
	listed, findings := platform.DecodeUpstreams(s.Records)
	h.logFindings("upstream", findings)
	h.lapsing.Lock()
	defer h.lapsing.Unlock()
	steady := h.upstreams.Steady()
	merged := h.lapse.Merge(listed, steady)
	h.gateway.SetCatalog(catalog.New(s.Revision, merged))
	h.log.WithFields(log.Fields{
		"revision": s.Revision, "listed": len(listed), "kept": h.lapse.Kept(), "leaving": leaving(listed),
		"store_steady_ms": steady.Milliseconds(),
	}).Info("upstreams changed")
}

// logFindings tells of entries that cannot be used.
func (h *Host) logFindings(what string, findings []platform.Finding) {
	for _, f := range findings {
		h.log.WithError(f.Err).WithFields(log.Fields{"entry": f.Name, "revision": f.Revision}).Warn(what + " entry left out")
	}
}

func leaving(upstreams []catalog.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.State == catalog.StateLeaving {
			n++
		}
	}
	return n
}

// expireLapsed drops entries that did not return in time.
func (h *Host) expireLapsed() {
	h.lapsing.Lock()
	due := h.lapse.Kept() > 0 && h.upstreams.Steady() >= returnWindow
	h.lapsing.Unlock()
	if due {
		h.applyUpstreams(h.upstreams.Snapshot())
	}
}

// applyRouters puts a newer list of routers in force.
func (h *Host) applyRouters(s feed.Snapshot) {
	routers, findings := platform.DecodeRouters(s.Records)
	h.logFindings("router", findings)
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

// registerDelay is the wait after a failed registration.
const registerDelay = time.Second

// register makes this router known to the others.
func (h *Host) register(ctx context.Context) {
	s := &h.opts.Settings
	value, err := platform.EncodeRouter(platform.Router{Address: s.PeersAddress, FailureDomain: s.FailureDomain})
	for err == nil {
		if err = h.store.WriteRecord(ctx, platform.KindRouters, s.Host, value); err == nil {
			return
		}
		h.log.WithError(err).Warn("cannot register this router; trying again")
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerDelay):
			err = nil
		}
	}
	h.log.WithError(err).Error("cannot register this router")
}

// maintainInterval is how often connections and lapsed entries are looked at.
const maintainInterval = 250 * time.Millisecond

// maintain closes what is idle and drops what lapsed, until ctx ends.
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
			h.expireLapsed()
			h.gateway.Sweep()
		}
	}
}
