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
	// watchersPerDomain is the number of routers in each failure domain that
	// watch the platform.
	watchersPerDomain = 2
	// versionsPerEpoch is the number of versions after which the watchers are
	// selected again.
	versionsPerEpoch = 64
	// routersPerAgent is the number of routers that keep an agent up to date.
	routersPerAgent = 2
)

// rendezvousScore returns the rendezvous hash (highest random weight) of name
// for subject.
func rendezvousScore(subject, name string) uint64 {
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

// rankByScore returns the names of hosts in descending order of their score for
// subject.
func rankByScore(subject string, hosts []board.HostView) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch sa, sb := rendezvousScore(subject, a), rendezvousScore(subject, b); {
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

// activeRouters returns the routers that are not leaving. It includes the
// router self regardless of its state.
func activeRouters(self string, hosts []board.HostView) []board.HostView {
	return filter(hosts, func(h board.HostView) bool {
		return h.Role == store.RoleRouter && (!h.Leaving || h.Name == self)
	})
}

func inDomain(domain string, hosts []board.HostView) []board.HostView {
	return filter(hosts, func(h board.HostView) bool { return h.FailureDomain == domain })
}

// shouldWatch reports whether the router self is one of the watchers of its
// failure domain while version is in force. A router that is not in hosts
// watches.
func shouldWatch(self string, version uint64, hosts []board.HostView) bool {
	i := slices.IndexFunc(hosts, func(h board.HostView) bool { return h.Name == self })
	if i < 0 {
		return true
	}
	subject := hosts[i].FailureDomain + "/" + strconv.FormatUint(version/versionsPerEpoch, 10)
	return ranksAmongFirst(self, subject, inDomain(hosts[i].FailureDomain, activeRouters(self, hosts)), watchersPerDomain)
}

// neighborRouters returns the routers that the router self exchanges versions
// with: its successor on a ring of the routers of its failure domain and on a
// ring of all routers, so that both sets are connected, and one additional
// router inside and one outside of its failure domain by rendezvous hash, which
// keeps paths short.
func neighborRouters(self, domain string, hosts []board.HostView) []string {
	routers := activeRouters(self, hosts)
	local := inDomain(domain, routers)
	remote := filter(routers, func(h board.HostView) bool { return h.FailureDomain != domain })
	var chosen []string
	addFirst := func(names []string) {
		for _, n := range names {
			if n != self && !slices.Contains(chosen, n) {
				chosen = append(chosen, n)
				return
			}
		}
	}
	addFirst(successors(self, rankByScore("ring", local)))
	addFirst(successors(self, rankByScore("ring", routers)))
	addFirst(rankByScore(self, local))
	addFirst(rankByScore(self, remote))
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

// assignedAgents returns the agents that the router self keeps up to date:
// those for which it is among the first routersPerAgent routers by rendezvous
// hash. The candidates are the routers of the failure domain of the agent, or
// all routers if that domain has fewer than routersPerAgent.
func assignedAgents(self string, hosts []board.HostView) []string {
	routers := activeRouters(self, hosts)
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
		if ranksAmongFirst(self, h.Name, candidates, routersPerAgent) {
			chosen = append(chosen, h.Name)
		}
	}
	return chosen
}

// ranksAmongFirst reports whether self is among the first count of hosts by
// score for subject.
func ranksAmongFirst(self, subject string, hosts []board.HostView, count int) bool {
	if !slices.ContainsFunc(hosts, func(h board.HostView) bool { return h.Name == self }) {
		return false
	}
	own, higherRanked := rendezvousScore(subject, self), 0
	for _, h := range hosts {
		if s := rendezvousScore(subject, h.Name); s > own || s == own && h.Name < self {
			higherRanked++
		}
	}
	return higherRanked < count
}

// topology is the set of peers that a router keeps up to date, and whether the
// router watches the platform.
type topology struct {
	generation uint64 // of the board
	epoch      uint64 // version divided by versionsPerEpoch
	routers    []string
	agents     []string
	isWatcher  bool
}

// topologyCache caches the topology for the current generation of the board and
// the current epoch.
type topologyCache struct {
	mu   sync.Mutex
	last *topology
}

// get returns the topology. It is computed again if the generation of the board
// or the epoch has changed.
func (t *topologyCache) get(self, domain string, b *board.Board) *topology {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation, version := b.Generation(), b.ConfigVersion()
	epoch := version / versionsPerEpoch
	if t.last != nil && t.last.generation == generation && t.last.epoch == epoch {
		return t.last
	}
	hosts := b.Hosts()
	t.last = &topology{
		generation: generation, epoch: epoch,
		routers:   neighborRouters(self, domain, hosts),
		agents:    assignedAgents(self, hosts),
		isWatcher: shouldWatch(self, version, hosts),
	}
	return t.last
}
