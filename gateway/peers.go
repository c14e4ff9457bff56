package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// peerReports are the requests in progress and the answers of the other routers,
// summed up as their reports come in.
type peerReports struct {
	mu      sync.RWMutex
	reports map[string]peerReport // by router
	loads   map[uint32]int        // in sum, by the short hash of the upstream's key
}

// peerReport is the last word of one router.
type peerReport struct {
	loads   Loads
	tallies Tallies
	at      time.Duration
}

// load returns the requests in progress at an upstream.
func (p *peerReports) load(key catalog.Key) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.loads[key.Sum()]
}

// tally returns the counts of an upstream's answers.
func (p *peerReports) tally(key catalog.Key) (sum Tally) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, r := range p.reports {
		sum.add(r.tallies[key.Sum()])
	}
	return sum
}

// add adds the loads, times sign, to the total. p.mu is held.
func (p *peerReports) add(loads Loads, sign int) {
	for sum, n := range loads {
		if total := p.loads[sum] + sign*n; total != 0 {
			p.loads[sum] = total
		} else {
			delete(p.loads, sum)
		}
	}
}

// SetPeer replaces what another router has told of its requests in progress and
// of the answers it got. The board keeps both.
func (b *Board) SetPeer(router string, loads Loads, tallies Tallies) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.reports[router].loads, -1)
	p.add(loads, 1)
	p.reports[router] = peerReport{loads: loads, tallies: tallies, at: b.now()}
}

// ExpirePeers forgets what routers told that have been silent for too long.
func (b *Board) ExpirePeers() {
	now := b.now()
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for router, r := range p.reports {
		if now-r.at > peerReportAge {
			p.add(r.loads, -1)
			delete(p.reports, router)
		}
	}
}
