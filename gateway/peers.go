package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// peerReports holds the latest report of each other router: its requests in
// progress, and the counts of the answers it got.
type peerReports struct {
	mu      sync.RWMutex
	reports map[string]peerReport // keyed by router
	loads   map[uint32]int        // sum of all reports, keyed by the short hash of the upstream's key
}

// peerReport is the latest report of one router.
type peerReport struct {
	loads        Loads
	answerCounts AnswerCountsByUpstream
	receivedAt   time.Duration
}

// load returns the requests in progress of the other routers at an upstream.
func (p *peerReports) load(key catalog.Key) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.loads[key.Sum()]
}

// answerCounts returns the sum of the other routers' counts of an upstream's
// answers.
func (p *peerReports) answerCounts(key catalog.Key) (sum Tally) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, r := range p.reports {
		sum.add(r.answerCounts[key.Sum()])
	}
	return sum
}

// addLoads adds the loads, times sign, to the sum. The caller must hold p.mu.
func (p *peerReports) addLoads(loads Loads, sign int) {
	for sum, n := range loads {
		if total := p.loads[sum] + sign*n; total != 0 {
			p.loads[sum] = total
		} else {
			delete(p.loads, sum)
		}
	}
}

// SetPeerReport replaces another router's report of its requests in progress and
// of the answers it got. The board retains both maps, so the caller must not
// change them afterwards.
func (b *Board) SetPeerReport(router string, loads Loads, answerCounts AnswerCountsByUpstream) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLoads(p.reports[router].loads, -1)
	p.addLoads(loads, 1)
	p.reports[router] = peerReport{loads: loads, answerCounts: answerCounts, receivedAt: b.now()}
}

// ExpirePeerReports removes the reports that are older than peerReportMaxAge.
func (b *Board) ExpirePeerReports() {
	now := b.now()
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for router, r := range p.reports {
		if now-r.receivedAt > peerReportMaxAge {
			p.addLoads(r.loads, -1)
			delete(p.reports, router)
		}
	}
}
