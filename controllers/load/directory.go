package load

import (
	"slices"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/store"
)

// directory is what a process reads from its board to find collectors.
type directory struct {
	services  []string                  // of the configuration, in order
	routers   map[string][]store.Host   // not leaving, by failure domain; the empty one holds all
	upstreams map[string]map[string]int // number, by service and failure domain
}

func newDirectory(b *board.Board) *directory {
	d := &directory{routers: make(map[string][]store.Host), upstreams: make(map[string]map[string]int)}
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
			if d.upstreams[h.Service] == nil {
				d.upstreams[h.Service] = make(map[string]int)
			}
			d.upstreams[h.Service][h.FailureDomain]++
		}
	}
	return d
}

// replicas returns the number of a service's upstreams.
func (d *directory) replicas(service string) int {
	n := 0
	for _, count := range d.upstreams[service] {
		n += count
	}
	return n
}

// owner returns the router that collects for p: one of its failure domain, or
// of all where that has none. The services choose by rendezvous hash in order;
// a router that collects for its share of them is passed over, so that none
// takes the reports of several pools while others take none.
func (d *directory) owner(p pool) (store.Host, bool) {
	candidates := d.routers[p.domain]
	if len(candidates) == 0 {
		candidates = d.routers[""]
	}
	if len(candidates) == 0 {
		return store.Host{}, false
	}
	share := (len(d.services) + len(candidates) - 1) / len(candidates)
	taken := make(map[string]int)
	for _, service := range d.services {
		free := slices.DeleteFunc(slices.Clone(candidates), func(h store.Host) bool { return taken[h.Name] >= share })
		host := free[place.Owner(place.Key(service+"/"+p.domain), names(free))]
		if service == p.service {
			return host, true
		}
		taken[host.Name]++
	}
	return store.Host{}, false
}

func names(hosts []store.Host) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}
