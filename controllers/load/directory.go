package load

import (
	"slices"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/store"
)

// directory is the extract of a board that is needed to select collectors.
type directory struct {
	services       []string                  // IDs of the configured services, sorted
	routers        map[string][]store.Host   // routers that are not leaving, by failure domain; the key "" has all of them
	upstreamCounts map[string]map[string]int // number of upstreams, by service and failure domain
}

func newDirectory(b *board.Board) *directory {
	d := &directory{routers: make(map[string][]store.Host), upstreamCounts: make(map[string]map[string]int)}
	if adopted := b.Configuration(); adopted != nil {
		for _, svc := range adopted.Config.Services {
			d.services = append(d.services, svc.ID)
		}
		slices.Sort(d.services)
	}
	for _, h := range b.Hosts() {
		switch {
		case h.Leaving:
		case h.Role == store.RoleRouter:
			d.routers[h.FailureDomain] = append(d.routers[h.FailureDomain], h.Host)
			d.routers[""] = append(d.routers[""], h.Host)
		case h.Role == store.RoleAgent:
			if d.upstreamCounts[h.Service] == nil {
				d.upstreamCounts[h.Service] = make(map[string]int)
			}
			d.upstreamCounts[h.Service][h.FailureDomain]++
		}
	}
	return d
}

// replicaCount returns the number of upstreams of a service.
func (d *directory) replicaCount(service string) int {
	n := 0
	for _, count := range d.upstreamCounts[service] {
		n += count
	}
	return n
}

// collectorFor returns the router that collects the reports of p. The
// candidates are the routers of the failure domain of p, or all routers if it
// has none. The services select by rendezvous hash, one after the other in
// sorted order, and a router that already has its share of services is
// excluded. Otherwise some routers could collect for several pools while others
// collect for none.
func (d *directory) collectorFor(p poolKey) (store.Host, bool) {
	candidates := d.routers[p.domain]
	if len(candidates) == 0 {
		candidates = d.routers[""]
	}
	if len(candidates) == 0 {
		return store.Host{}, false
	}
	maxPerRouter := (len(d.services) + len(candidates) - 1) / len(candidates)
	assigned := make(map[string]int)
	for _, service := range d.services {
		available := slices.DeleteFunc(slices.Clone(candidates), func(h store.Host) bool { return assigned[h.Name] >= maxPerRouter })
		host := available[place.Owner(place.Key(service+"/"+p.domain), hostNames(available))]
		if service == p.service {
			return host, true
		}
		assigned[host.Name]++
	}
	return store.Host{}, false
}

func hostNames(hosts []store.Host) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}
