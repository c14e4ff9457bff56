package configuration

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/store"
)

const (
	// watchersPerDomain is how many routers of a failure domain watch the
	// platform.
	watchersPerDomain = 2
	// versionsPerTurn is how many versions a router goes on watching before the
	// choice of watchers is drawn anew.
	versionsPerTurn = 64
	// routersPerAgent is how many routers bring versions to an agent.
	routersPerAgent = 2
)

// score ranks names by highest random weight for a subject.
func score(subject, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ranked returns the names of hosts in the order of their score for subject.
func ranked(subject string, hosts []board.HostView) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch sa, sb := score(subject, a), score(subject, b); {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

func filter(hosts []board.HostView, keep func(board.HostView) bool) []board.HostView {
	var kept []board.HostView
	for _, h := range hosts {
		if keep(h) {
			kept = append(kept, h)
		}
	}
	return kept
}

// routersOf returns the routers that are not leaving. The process's own row
// counts whatever its state.
func routersOf(self string, hosts []board.HostView) []board.HostView {
	return filter(hosts, func(h board.HostView) bool {
		return h.Role == store.RoleRouter && (!h.Leaving || h.Name == self)
	})
}

func inDomain(domain string, hosts []board.HostView) []board.HostView {
	return filter(hosts, func(h board.HostView) bool { return h.FailureDomain == domain })
}

// watches tells whether the router self is among the watchers of its failure
// domain while version is in force. A router that is not in the list watches.
func watches(self string, version uint64, hosts []board.HostView) bool {
	i := slices.IndexFunc(hosts, func(h board.HostView) bool { return h.Name == self })
	if i < 0 {
		return true
	}
	subject := hosts[i].FailureDomain + "/" + strconv.FormatUint(version/versionsPerTurn, 10)
	return amongFirst(self, subject, inDomain(hosts[i].FailureDomain, routersOf(self, hosts)), watchersPerDomain)
}

// neighbours returns the routers that the router self exchanges versions with:
// its successors on a ring of its failure domain and on a ring of all routers,
// so that both are connected, and one more of each by highest random weight, so
// that paths are short.
func neighbours(self, domain string, hosts []board.HostView) []string {
	routers := routersOf(self, hosts)
	local := inDomain(domain, routers)
	remote := filter(routers, func(h board.HostView) bool { return h.FailureDomain != domain })
	var chosen []string
	add := func(names []string) {
		for _, n := range names {
			if n != self && !slices.Contains(chosen, n) {
				chosen = append(chosen, n)
				return
			}
		}
	}
	add(successors(self, ranked("ring", local)))
	add(successors(self, ranked("ring", routers)))
	add(ranked(self, local))
	add(ranked(self, remote))
	return chosen
}

// successors returns the names that follow self on the ring, nearest first.
func successors(self string, ring []string) []string {
	i := slices.Index(ring, self)
	if i < 0 {
		return ring
	}
	return append(slices.Clone(ring[i+1:]), ring[:i]...)
}

// agents returns the agents that the router self brings versions to: those for
// which it is among the first routers by highest random weight, routers of the
// agent's own failure domain first.
func agents(self string, hosts []board.HostView) []string {
	routers := routersOf(self, hosts)
	byDomain := make(map[string][]board.HostView)
	for _, r := range routers {
		byDomain[r.FailureDomain] = append(byDomain[r.FailureDomain], r)
	}
	var chosen []string
	for _, h := range hosts {
		if h.Role != store.RoleAgent || !h.Listed {
			continue
		}
		candidates := byDomain[h.FailureDomain]
		if len(candidates) < routersPerAgent {
			candidates = routers
		}
		if amongFirst(self, h.Name, candidates, routersPerAgent) {
			chosen = append(chosen, h.Name)
		}
	}
	return chosen
}

// amongFirst tells whether self is among the first count hosts by their score
// for subject.
func amongFirst(self, subject string, hosts []board.HostView, count int) bool {
	if !slices.ContainsFunc(hosts, func(h board.HostView) bool { return h.Name == self }) {
		return false
	}
	own, better := score(subject, self), 0
	for _, h := range hosts {
		if s := score(subject, h.Name); s > own || s == own && h.Name < self {
			better++
		}
	}
	return better < count
}

// topology is whom a router keeps up to date, and whether it watches.
type topology struct {
	generation uint64
	turn       uint64
	routers    []string
	agents     []string
	watches    bool
}

// topologyCache keeps the topology of the last generation of a board.
type topologyCache struct {
	mu   sync.Mutex
	last *topology
}

// get returns the topology, drawn anew if the board changed.
func (t *topologyCache) get(self, domain string, b *board.Board) *topology {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation, version := b.Generation(), b.ConfigVersion()
	turn := version / versionsPerTurn
	if t.last != nil && t.last.generation == generation && t.last.turn == turn {
		return t.last
	}
	hosts := b.Hosts()
	t.last = &topology{
		generation: generation, turn: turn,
		routers: neighbours(self, domain, hosts),
		agents:  agents(self, hosts),
		watches: watches(self, version, hosts),
	}
	return t.last
}
