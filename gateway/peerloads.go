package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// peerLoads are the requests in progress of the other routers, summed up as
// their reports come in.
type peerLoads struct {
	mu      sync.RWMutex
	reports map[string]peerReport // by router
	total   map[uint32]int        // by the short hash of the upstream's key
}

// peerReport is the last word of one router.
type peerReport struct {
	loads Loads
	at    time.Duration
}

// of returns the requests in progress at an upstream.
func (p *peerLoads) of(key catalog.Key) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.total[key.Sum()]
}

// add adds the loads, times sign, to the total. p.mu is held.
func (p *peerLoads) add(loads Loads, sign int) {
	for sum, n := range loads {
		if total := p.total[sum] + sign*n; total != 0 {
			p.total[sum] = total
		} else {
			delete(p.total, sum)
		}
	}
}

// SetPeerLoads replaces what another router has told of its requests in
// progress. The board keeps the loads.
func (b *Board) SetPeerLoads(router string, loads Loads) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.reports[router].loads, -1)
	p.add(loads, 1)
	p.reports[router] = peerReport{loads: loads, at: b.now()}
}

// ExpirePeers forgets what routers told that have been silent for too long.
func (b *Board) ExpirePeers() {
	now := b.now()
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for router, r := range p.reports {
		if now-r.at > peerLoadAge {
			p.add(r.loads, -1)
			delete(p.reports, router)
		}
	}
}
