package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gossip"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

// routerList holds the registered routers. Routers whose entries a return of the store
// from a copy has removed stay in it until they have had the time to register again.
// Its methods may be called concurrently.
type routerList struct {
	mu       sync.Mutex
	era      uint64
	known    []platform.Router // registered or retained
	retained int               // number of retained routers, at the end of known
}

// merge returns the listed routers of an era of the store and those retained.
// sinceReturn is the time since the store became available again.
func (l *routerList) merge(era uint64, listed []platform.Router, sinceReturn time.Duration) []platform.Router {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := l.known[len(l.known)-l.retained:]
	if era > l.era && l.era != 0 {
		candidates = l.known
	}
	l.era = max(era, l.era)
	merged := slices.Clone(listed)
	if sinceReturn < reregistrationWindow {
		for _, r := range candidates {
			if !slices.ContainsFunc(listed, func(other platform.Router) bool { return other.Host == r.Host }) {
				merged = append(merged, r)
			}
		}
	}
	l.known, l.retained = merged, len(merged)-len(listed)
	return slices.Clone(merged)
}

// current returns the routers that are registered or retained.
func (l *routerList) current() []platform.Router {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.known)
}

// hasRetained reports whether routers are retained that are not registered.
func (l *routerList) hasRetained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retained > 0
}

// applyRouters passes a newer list of routers to the mesh and the gateway.
func (h *Host) applyRouters(s feed.Snapshot) {
	listed, findings := platform.DecodeRouters(s.Records)
	h.logInvalidEntries("router", findings)
	routers := h.routerList.merge(s.Era, listed, h.routers.Steady())
	h.mesh.SetPeers(members(routers))
	h.gateway.SetRouterCount(len(routers))
	h.log.WithFields(log.Fields{
		"era": s.Era, "revision": s.Revision, "routers": len(listed), "kept": len(routers) - len(listed),
	}).Info("routers changed")
}

// expireRetainedRouters drops the routers that did not register again in time.
func (h *Host) expireRetainedRouters() {
	if h.routerList.hasRetained() && h.routers.Steady() >= reregistrationWindow {
		h.applyRouters(h.routers.Snapshot())
	}
}

func members(routers []platform.Router) []gossip.Member {
	out := make([]gossip.Member, 0, len(routers))
	for _, r := range routers {
		out = append(out, gossip.Member{Address: r.Address, FailureDomain: r.FailureDomain})
	}
	return out
}

func addresses(routers []platform.Router) []string {
	out := make([]string, 0, len(routers))
	for _, r := range routers {
		out = append(out, r.Address)
	}
	return out
}

const (
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = time.Second
	// eraPollInterval is how often a router checks, after a return of the store,
	// whether it has the list of routers of the new era.
	eraPollInterval = 50 * time.Millisecond
)

// register writes this router's entry to the store, where other routers find it, and
// writes it again if the store returns from a copy without it. It runs until ctx ends.
func (h *Host) register(ctx context.Context) {
	s := &h.opts.Settings
	own := platform.Router{Host: s.Host, Address: s.PeersAddress, FailureDomain: s.FailureDomain}
	value, err := platform.EncodeRouter(own)
	if err != nil {
		h.log.WithError(err).Error("cannot register this router")
		return
	}
	for ctx.Err() == nil {
		era, err := h.store.WriteRecord(ctx, platform.KindRouters, s.Host, value)
		if err != nil {
			h.log.WithError(err).Warn("cannot register this router; retrying")
			sleep(ctx, registerRetryDelay)
			continue
		}
		h.log.WithField("era", era).Info("router registered")
		h.awaitLostRegistration(ctx, own, era)
	}
}

// awaitLostRegistration returns when the store has returned from a copy that does not
// have this router's entry, or when ctx ends. era is that of the last registration.
func (h *Host) awaitLostRegistration(ctx context.Context, own platform.Router, era uint64) {
	for ctx.Err() == nil {
		risen := h.eras.Risen()
		if h.eras.Newest() <= era {
			select {
			case <-ctx.Done():
			case <-risen:
				h.log.WithField("era", h.eras.Newest()).Warn("the store has returned from a copy")
			}
			continue
		}
		s := h.routers.Snapshot()
		if s.Era < h.eras.Newest() {
			sleep(ctx, eraPollInterval)
			continue
		}
		listed, _ := platform.DecodeRouters(s.Records) // applyRouters logs invalid entries
		if !slices.Contains(listed, own) {
			h.log.WithField("era", s.Era).Warn("the store returned without this router's entry; registering again")
			return
		}
		era = s.Era
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
