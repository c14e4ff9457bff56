package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// versionHistory records which upstreams were listed within StreamMaxAge, and their versions.
// Its methods may be called concurrently.
type versionHistory struct {
	mu    sync.Mutex
	since time.Time // of the first catalog; zero before
	// services holds the upstreams by service and by the short hash of their keys.
	services map[string]map[uint32]pastListing
}

// pastListing is what is recorded of an upstream that was listed.
type pastListing struct {
	version  uint32 // short hash
	at       time.Time
	restored bool // by what others have recorded; this router has not listed it
}

// PastUpstream is an upstream that can have begun streams, for routers that start later.
type PastUpstream struct {
	Service string
	Version uint32        // short hash of the version
	Key     uint32        // short hash of the key
	Age     time.Duration // since it was last listed
	// Restored is true if the router that tells of it has not listed it itself.
	Restored bool
}

// Update records the upstreams in a new catalog, and in the one that it replaces. It reports
// whether the upstreams of a service that has several versions differ.
func (h *versionHistory) Update(old, current *catalog.Catalog) (changed bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	differing := make(map[string]bool)
	old.All(func(u *catalog.Upstream) {
		h.record(u.Service, u.Key().Sum(), pastListing{version: u.VersionSum, at: now})
		if listed := current.FindSum(u.Key().Sum()); listed == nil || listed.State != u.State {
			differing[u.Service] = true
		}
	})
	current.All(func(u *catalog.Upstream) {
		h.record(u.Service, u.Key().Sum(), pastListing{version: u.VersionSum, at: now})
		if old.FindSum(u.Key().Sum()) == nil {
			differing[u.Service] = true
		}
	})
	for service, upstreams := range h.services {
		maps.DeleteFunc(upstreams, func(_ uint32, p pastListing) bool { return now.Sub(p.at) > StreamMaxAge })
		if len(upstreams) == 0 {
			delete(h.services, service)
		}
	}
	for service := range differing {
		changed = changed || len(h.versions(service, nil, now)) > 1
	}
	return changed
}

// record records a listing, unless a later one of the upstream is known. h.mu must be held.
func (h *versionHistory) record(service string, key uint32, p pastListing) {
	upstreams := h.services[service]
	if upstreams == nil {
		if h.services == nil {
			h.services = make(map[string]map[uint32]pastListing)
		}
		upstreams = make(map[uint32]pastListing)
		h.services[service] = upstreams
	}
	if known, ok := upstreams[key]; !ok || known.at.Before(p.at) {
		upstreams[key] = p
	}
}

// versions returns the versions of a service that are listed, or were within StreamMaxAge.
// h.mu must be held.
func (h *versionHistory) versions(service string, listed []*catalog.Upstream, now time.Time) map[uint32]bool {
	versions := make(map[uint32]bool)
	for _, u := range listed {
		versions[u.VersionSum] = true
	}
	for _, p := range h.services[service] {
		if now.Sub(p.at) <= StreamMaxAge {
			versions[p.version] = true
		}
	}
	return versions
}

// Several reports whether several versions of a service are listed, or were within
// StreamMaxAge.
func (h *versionHistory) Several(service string, listed []*catalog.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.versions(service, listed, time.Now())) > 1
}

// Past returns the upstreams of a service that are listed, or were within StreamMaxAge, sorted
// by key. The age of those that are listed is 0.
func (h *versionHistory) Past(service string, listed []*catalog.Upstream) []PastUpstream {
	now := time.Now()
	present := make(map[uint32]PastUpstream, len(listed))
	for _, u := range listed {
		present[u.Key().Sum()] = PastUpstream{Service: service, Version: u.VersionSum, Key: u.Key().Sum()}
	}
	h.mu.Lock()
	for key, p := range h.services[service] {
		if _, ok := present[key]; !ok && now.Sub(p.at) <= StreamMaxAge {
			present[key] = PastUpstream{Service: service, Version: p.version, Key: key, Age: now.Sub(p.at), Restored: p.restored}
		}
	}
	h.mu.Unlock()
	return slices.SortedFunc(maps.Values(present), func(a, b PastUpstream) int { return cmp.Compare(a.Key, b.Key) })
}

// Left returns the upstreams of the services that were listed within StreamMaxAge and are not in the
// current catalog.
func (h *versionHistory) Left(services []string, current *catalog.Catalog) []PastUpstream {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var left []PastUpstream
	for _, service := range services {
		for key, p := range h.services[service] {
			if age := now.Sub(p.at); age <= StreamMaxAge && current.FindSum(key) == nil {
				left = append(left, PastUpstream{Service: service, Version: p.version, Key: key, Age: age, Restored: p.restored})
			}
		}
	}
	return left
}

// Restore records upstreams that another router has recorded, or this one before its restart.
func (h *versionHistory) Restore(past []PastUpstream) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range past {
		if p.Age <= StreamMaxAge {
			h.record(p.Service, p.Key, pastListing{version: p.Version, at: now.Add(-max(0, p.Age)), restored: true})
		}
	}
}

// Covers reports whether the history covers the last StreamMaxAge without what was restored.
func (h *versionHistory) Covers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.covers()
}

// covers is Covers; h.mu must be held.
func (h *versionHistory) covers() bool {
	return !h.since.IsZero() && time.Since(h.since) >= StreamMaxAge
}

// Only returns the only version of the services that can have begun a stream of the last
// StreamMaxAge: the one that is listed, if no other one was listed in that time. There is none
// until the history covers that time: a version may have left before this router started.
func (h *versionHistory) Only(services []string, current *catalog.Catalog) (sum uint32, ok bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.covers() {
		return 0, false
	}
	versions, listed := 0, 0
	for _, service := range services {
		upstreams := current.Service(service)
		versions += len(h.versions(service, upstreams, now)) // those of two services differ
		if listed += len(upstreams); len(upstreams) > 0 {
			sum = upstreams[0].VersionSum
		}
	}
	return sum, versions == 1 && listed > 0
}

// SeveralVersions reports whether a service whose requests name prompt parts has several
// versions, or had within StreamMaxAge.
func (g *Gateway) SeveralVersions() bool {
	table, current := g.table.Load(), g.catalog.Load()
	return table != nil && slices.ContainsFunc(table.PromptedServices(), func(service string) bool {
		return g.versions.Several(service, current.Service(service))
	})
}

// PastUpstreams returns the upstreams that can have begun streams that are taken up: those of
// services whose requests name prompt parts that are listed, or were within StreamMaxAge.
func (g *Gateway) PastUpstreams() []PastUpstream {
	table, current := g.table.Load(), g.catalog.Load()
	if table == nil {
		return nil
	}
	var past []PastUpstream
	for _, service := range table.PromptedServices() {
		past = append(past, g.versions.Past(service, current.Service(service))...)
	}
	return past
}

// RestorePastUpstreams records upstreams that were listed before this router started.
func (g *Gateway) RestorePastUpstreams(past []PastUpstream) { g.versions.Restore(past) }
