package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// versionHistory records when which versions of each service were last listed. Its
// methods may be called concurrently.
type versionHistory struct {
	mu     sync.Mutex
	since  time.Time                       // of the first catalog; zero before
	listed map[string]map[uint32]time.Time // last listing by service and hash of the version
	// upstreams are those listed within the first StreamMaxAge of this process, by the short
	// hash of their keys: streams that began at them before it started have no record here.
	upstreams map[uint32]listedUpstream
}

// listedUpstream is an upstream that was listed.
type listedUpstream struct {
	service string
	version uint32 // short hash
	at      time.Time
}

// Update records the versions in a new catalog, and in the one that it replaces.
func (h *versionHistory) Update(old, current *catalog.Catalog) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed == nil {
		h.since, h.listed = now, make(map[string]map[uint32]time.Time)
		h.upstreams = make(map[uint32]listedUpstream)
	}
	starting := now.Sub(h.since) <= StreamMaxAge
	record := func(u *catalog.Upstream) {
		if h.listed[u.Service] == nil {
			h.listed[u.Service] = make(map[uint32]time.Time)
		}
		h.listed[u.Service][u.VersionSum] = now
		if starting {
			h.upstreams[u.Key().Sum()] = listedUpstream{service: u.Service, version: u.VersionSum, at: now}
		}
	}
	old.All(record)
	current.All(record)
	for service, versions := range h.listed {
		for sum, at := range versions {
			if now.Sub(at) > StreamMaxAge {
				delete(versions, sum)
			}
		}
		if len(versions) == 0 {
			delete(h.listed, service)
		}
	}
	maps.DeleteFunc(h.upstreams, func(_ uint32, u listedUpstream) bool { return now.Sub(u.at) > StreamMaxAge })
}

// Several reports whether several versions of a service are listed, or were within
// StreamMaxAge.
func (h *versionHistory) Several(service string, listed []*catalog.Upstream) bool {
	versions := make(map[uint32]bool)
	for _, u := range listed {
		versions[u.VersionSum] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for version, at := range h.listed[service] {
		if time.Since(at) <= StreamMaxAge {
			versions[version] = true
		}
	}
	return len(versions) > 1
}

// Others returns the short hashes of the keys of the upstreams of the services that are of
// another version, and were listed within the first StreamMaxAge of this process and, if they
// have left since, within StreamMaxAge.
func (h *versionHistory) Others(services []string, version uint32) []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var keys []uint32
	for key, u := range h.upstreams {
		if u.version != version && time.Since(u.at) <= StreamMaxAge && slices.Contains(services, u.service) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Only returns the only version of a service that can have begun a stream of the last
// StreamMaxAge: the one that is listed, if no other one was listed in that time. There is none
// until the history covers that time: a version may have left before this router started.
func (h *versionHistory) Only(service string, listed []*catalog.Upstream) (sum uint32, ok bool) {
	if len(listed) == 0 {
		return 0, false
	}
	sum = listed[0].VersionSum
	for _, u := range listed {
		if u.VersionSum != sum {
			return 0, false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed == nil || time.Since(h.since) < StreamMaxAge {
		return 0, false
	}
	for other, at := range h.listed[service] {
		if other != sum && time.Since(at) <= StreamMaxAge {
			return 0, false
		}
	}
	return sum, true
}
