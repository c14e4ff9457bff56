package gossip

import (
	"cmp"
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/place"
	"github.com/apex/log"
)

// In a small fleet every router exchanges reports with every other one. In a large one
// it does so within its failure domain only. The speakers of the domains, a few routers
// each, exchange the sums of their domains and pass on what they learn, so that what
// crosses between domains does not grow with the square of the number of routers.
const (
	// MaxFlatRouters is the size up to which a fleet counts as small.
	MaxFlatRouters = 16
	// speakersPerDomain is the number of routers of a failure domain that exchange
	// reports with other domains. With two, a domain stays in touch when one fails.
	speakersPerDomain = 2
	// minDomainInterval is the mean time between two calls of a speaker to another
	// failure domain. Both ends learn the other's sum from a call.
	minDomainInterval = 500 * time.Millisecond
	// maxDomainInterval is the longest mean time between these calls; reports expire
	// after twice that time.
	maxDomainInterval = 1500 * time.Millisecond
	// domainIntervalPerEntry is the time between these calls for each upstream in the
	// domain's sum, which limits the bytes between domains.
	domainIntervalPerEntry = 2 * time.Millisecond
	// maxDomainSilence is the age of its last report from which a failure domain is
	// taken to have no speaker.
	maxDomainSilence = 2 * time.Second
)

// Member is a registered router.
type Member struct {
	Address       string // of its listener for other routers
	FailureDomain string
}

// topology is the order of the registered routers. It is immutable.
type topology struct {
	domains map[string][]*peer // the other routers by failure domain, in a common order
	names   []string           // of all failure domains, in a common order
	flat    bool               // every router exchanges reports with every other one
}

// newTopology returns the topology of a fleet of this router, in its failure domain,
// and the peers.
func newTopology(domain string, peers map[string]*peer) *topology {
	t := &topology{domains: make(map[string][]*peer), flat: len(peers) < MaxFlatRouters}
	t.domains[domain] = nil
	for _, p := range peers {
		t.domains[p.domain] = append(t.domains[p.domain], p)
	}
	for name, members := range t.domains {
		slices.SortFunc(members, func(a, b *peer) int { return cmp.Compare(a.key, b.key) })
		t.names = append(t.names, name)
	}
	slices.SortFunc(t.names, func(a, b string) int { return cmp.Compare(place.Key(a), place.Key(b)) })
	return t
}

// role is what this router does in its fleet at the moment.
type role struct {
	watcher bool // watches the store continuously
	speaker bool // exchanges reports with other failure domains; false in a small fleet
	rank    int  // number of responsive routers before this one in its failure domain
}

// updateRole determines this router's role and marks the peers with which it exchanges
// reports. Watchers are the first few routers in an order that is the same at all
// routers: of the fleet if it is small, otherwise the first of each of the first few
// failure domains that have a speaker. Routers that do not answer are skipped.
func (m *Mesh) updateRole() {
	now := time.Now()
	m.mu.Lock()
	r := m.determineRole()
	m.markPartners(r, now)
	previous := m.role
	m.role = r
	m.mu.Unlock()
	m.isWatcher.Store(r.watcher)
	if previous.watcher != r.watcher {
		m.opts.Log.WithFields(log.Fields{"watcher": r.watcher, "before": r.rank}).Info("watch of the store changed")
	}
	if previous.speaker != r.speaker {
		m.opts.Log.WithFields(log.Fields{"speaker": r.speaker, "before": r.rank}).Info("exchange with other failure domains changed")
	}
}

// determineRole returns this router's role. m.mu must be held.
func (m *Mesh) determineRole() role {
	t := m.topology
	if t.flat {
		before := 0
		for _, p := range m.peers {
			if !p.unresponsive && p.key < m.key {
				before++
			}
		}
		return role{watcher: before < maxWatchers, rank: before}
	}
	r := role{}
	for _, p := range t.domains[m.opts.FailureDomain] {
		if !p.unresponsive && p.key < m.key {
			r.rank++
		}
	}
	r.speaker = r.rank < speakersPerDomain
	r.watcher = r.rank == 0 && m.domainsBefore() < maxWatchers
	return r
}

// domainsBefore returns the number of failure domains with a speaker that are before
// this router's in the common order. m.mu must be held.
func (m *Mesh) domainsBefore() int {
	before := 0
	for _, name := range m.topology.names {
		if name == m.opts.FailureDomain {
			break
		}
		if age, known := m.opts.Board.DomainReportAge(name); known && age < maxDomainSilence {
			before++
		}
	}
	return before
}

// markPartners marks the peers with which this router exchanges reports. A speaker has
// one in each other failure domain: the first responsive one, beginning with the one of
// its own rank, and those before it that it is time to try again. m.mu must be held.
func (m *Mesh) markPartners(r role, now time.Time) {
	t := m.topology
	for name, members := range t.domains {
		local := t.flat || name == m.opts.FailureDomain || name == ""
		for _, p := range members {
			p.partner = local
		}
		if local || !r.speaker {
			continue
		}
		for i := range members {
			p := members[(r.rank+i)%len(members)]
			p.partner = !p.unresponsive || !p.due.After(now) || p.calling
			if !p.unresponsive {
				break
			}
		}
	}
}

// crossesDomains reports whether reports to the peer are sums of failure domains.
// m.mu must be held.
func (m *Mesh) crossesDomains(p *peer) bool {
	return !m.topology.flat && p.domain != m.opts.FailureDomain && p.domain != ""
}

// relaysTo reports whether this router passes on to the peer, a router of its failure
// domain, what it learns from other domains. The responsive speakers share the routers
// of their domain among them.
func (m *Mesh) relaysTo(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if !m.role.speaker || p == nil || m.crossesDomains(p) {
		return false
	}
	responsive := 1 + m.role.rank
	for _, other := range m.topology.domains[m.opts.FailureDomain] {
		if !other.unresponsive && other.key > m.key {
			responsive++
		}
	}
	speakers := min(speakersPerDomain, responsive)
	return int(p.key%uint64(speakers)) == m.role.rank || m.isSpeaker(p)
}

// isSpeaker reports whether a peer of this router's failure domain is a speaker. m.mu
// must be held.
func (m *Mesh) isSpeaker(p *peer) bool {
	before := 0
	if m.key < p.key {
		before++
	}
	for _, other := range m.topology.domains[m.opts.FailureDomain] {
		if !other.unresponsive && other.key < p.key {
			before++
		}
	}
	return before < speakersPerDomain
}

// callInterval returns the mean time between two calls to the peer. m.mu must be held.
func (m *Mesh) callInterval(p *peer) time.Duration {
	if m.crossesDomains(p) {
		return min(maxDomainInterval, max(minDomainInterval, time.Duration(m.domainEntries)*domainIntervalPerEntry))
	}
	partners := len(m.peers)
	if !m.topology.flat {
		partners = len(m.topology.domains[m.opts.FailureDomain])
	}
	return max(minInterval, time.Duration(partners)*callSpacing)
}

// domainOf returns the failure domain of a router as registered, or as it says itself
// if it is not registered. m.mu must be held.
func (m *Mesh) domainOf(address, told string) string {
	if p := m.peers[address]; p != nil && p.domain != "" {
		return p.domain
	}
	return told
}
