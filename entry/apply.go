package entry

import (
	"context"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

// applyUpstreams passes a newer list of upstreams to the gateway, together with
// the entries that may have expired only because the store was unavailable, and
// without those that an older copy of the store brought back. A router that starts does
// so only after it has been introduced to the others, who know the latter.
func (h *Host) applyUpstreams() {
	h.upstreamsMu.Lock()
	defer h.upstreamsMu.Unlock()
	s := h.upstreams.Snapshot() // with the lock held: an older one must not replace a newer one
	if s.Position().IsZero() || h.awaitsIntroduction(s.Era) {
		return
	}
	listed, findings := platform.DecodeUpstreams(s.Records)
	h.logInvalidEntries("upstream", findings)
	listing := h.listing(s.Era, s.Revision)
	listing.Upstreams = listed
	steady := listing.SinceReturn
	current := h.departed.Apply(listing)
	merged := h.missingEntries.Merge(current, steady)
	h.departed.Record(listing.Now, s.Revision, merged)
	if h.gateway.SetCatalog(catalog.New(s.Revision, merged)) {
		select {
		case h.versionsChanged <- struct{}{}:
		default: // a change is pending already
		}
	}
	h.log.WithFields(log.Fields{
		"era": s.Era, "revision": s.Revision, "listed": len(listed), "kept": h.missingEntries.Retained(),
		"restored": h.departed.Restored(), "leaving": countLeaving(current), "store_steady_ms": steady.Milliseconds(),
	}).Info("upstreams changed")
}

// listing returns a list of upstreams at a position of the store, without the upstreams.
func (h *Host) listing(era, revision uint64) catalog.Listing {
	return catalog.Listing{
		Era: era, Revision: revision, First: h.eras.First(era), SinceReturn: h.upstreams.Steady(), Now: time.Now(),
	}
}

// restoredEntries returns the entries of departed upstreams to report to other routers.
func (h *Host) restoredEntries() (era uint64, entries []catalog.RestoredEntry) {
	h.upstreamsMu.Lock()
	defer h.upstreamsMu.Unlock()
	return h.departed.Reports()
}

// mergeRestored applies the entries of departed upstreams that another router reports.
func (h *Host) mergeRestored(era uint64, entries []catalog.RestoredEntry) {
	at, known := h.eras.Since()
	if !known {
		return // it is not known until when they count
	}
	now := time.Now()
	h.upstreamsMu.Lock()
	news := h.departed.Merge(era, entries, now.Sub(at), now)
	h.upstreamsMu.Unlock()
	if news {
		h.applyUpstreams()
	}
}

// invalidEntries are the entries that were logged as invalid and still are, by what they are, with
// the error of each by its name. Its methods may be called concurrently.
type invalidEntries struct {
	mu     sync.Mutex
	errors map[string]map[string]string
}

// replace records the entries of one kind that are invalid now, and returns those that were not so
// before, or for another reason.
func (e *invalidEntries) replace(what string, invalid []platform.Finding) (news []platform.Finding) {
	current := make(map[string]string, len(invalid))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range invalid {
		current[f.Name] = f.Err.Error()
		if e.errors[what][f.Name] != current[f.Name] {
			news = append(news, f)
		}
	}
	if e.errors == nil {
		e.errors = make(map[string]map[string]string)
	}
	e.errors[what] = current
	return news
}

// logInvalidEntries logs the entries of a list that cannot be used, once each.
func (h *Host) logInvalidEntries(what string, invalid []platform.Finding) {
	for _, f := range h.invalid.replace(what, invalid) {
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
// within reregistrationWindow, and accepts restored ones that have outlived their
// leases or were written after the store's return.
func (h *Host) expireMissingEntries() {
	at := h.upstreams.Stamp()
	listing := h.listing(at.Era, at.Revision)
	h.upstreamsMu.Lock()
	outdated := h.missingEntries.Retained() > 0 && listing.SinceReturn >= reregistrationWindow || h.departed.Outdated(listing)
	h.upstreamsMu.Unlock()
	if outdated {
		h.applyUpstreams()
	}
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
			if n := h.callers.closeExpired(now); n > 0 {
				h.log.WithField("connections", n).Info("idle connections of callers closed")
			}
			h.logCrowd(now)
			h.expireMissingEntries()
			h.expireRetainedRouters()
			h.gateway.CheckBlockedParts()
			h.gateway.CheckCold()
			h.gateway.Sweep()
		}
	}
}
