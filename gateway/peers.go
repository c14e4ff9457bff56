package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// peerReports holds the latest report of each other router, or of all routers of
// another failure domain together: their requests in progress, and the counts of the
// answers they got.
type peerReports struct {
	mu      sync.RWMutex
	routers map[string]peerReport // keyed by router
	domains map[string]peerReport // keyed by failure domain; routers of these are left out of routers
	loads   map[uint32]int        // sum of all reports in LoadUnits, keyed by the short hash of the upstream's key
	average loadAverage           // of this router's failure domain
	work    peerWork
}

// peerReport is the latest report of one router or of one failure domain.
type peerReport struct {
	domain       string
	loads        Loads
	answerCounts AnswerCountsByUpstream
	work         WorkByUpstream // nil if the router reports none
	customers    []CustomerUse
	receivedAt   time.Duration
}

// LoadUnits is the number of units of a request in progress in the report of a failure
// domain, whose loads are averages.
const LoadUnits = 16

// load returns the requests in progress of the other routers at an upstream.
func (p *peerReports) load(key catalog.Key) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return float64(p.loads[key.Sum()]) / LoadUnits
}

// answerCounts returns the sum of the other routers' counts of an upstream's
// answers.
func (p *peerReports) answerCounts(key catalog.Key) (sum Tally) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, r := range p.routers {
		sum.add(r.answerCounts[key.Sum()])
	}
	for _, r := range p.domains {
		sum.add(r.answerCounts[key.Sum()])
	}
	return sum
}

// addLoads adds the loads, times unit, to the sum. The caller must hold p.mu.
func (p *peerReports) addLoads(loads Loads, unit int) {
	for sum, n := range loads {
		if total := p.loads[sum] + unit*n; total != 0 {
			p.loads[sum] = total
		} else {
			delete(p.loads, sum)
		}
	}
}

// SetPeerReport replaces the report of another router of a failure domain: its
// requests in progress and the answers it got. It is ignored while there is a report
// of the whole domain. The board retains both maps, so the caller must not change them
// afterwards.
func (b *Board) SetPeerReport(router, domain string, loads Loads, answerCounts AnswerCountsByUpstream) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, summed := p.domains[domain]; summed {
		return
	}
	p.addLoads(p.routers[router].loads, -LoadUnits)
	p.addWork(p.routers[router], -LoadUnits)
	p.addLoads(loads, LoadUnits)
	p.routers[router] = peerReport{domain: domain, loads: loads, answerCounts: answerCounts, receivedAt: b.now()}
}

// DomainReport is the sum of the reports of all routers of a failure domain. Its loads
// are averages, in LoadUnits: all routers of the other domains act on the same report,
// and would all send to the upstream that had the lowest load at one moment.
type DomainReport struct {
	Domain       string
	Age          time.Duration // since it was summed up
	Loads        Loads
	AnswerCounts AnswerCountsByUpstream
	Work         WorkByUpstream // average; nil if none is predicted
	Customers    []CustomerUse
}

// SetDomainReport replaces the report of another failure domain, unless a newer one is
// known, and the reports of single routers of it. The board retains the maps.
func (b *Board) SetDomainReport(r DomainReport) {
	p := &b.peers
	at := b.now() - r.Age
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, known := p.domains[r.Domain]
	if known && previous.receivedAt >= at {
		return
	}
	if !known {
		for router, report := range p.routers {
			if report.domain == r.Domain {
				p.addLoads(report.loads, -LoadUnits)
				p.addWork(report, -LoadUnits)
				delete(p.routers, router)
			}
		}
	}
	p.addLoads(previous.loads, -1)
	p.addWork(previous, -1)
	p.addLoads(r.Loads, 1)
	p.domains[r.Domain] = peerReport{domain: r.Domain, loads: r.Loads, answerCounts: r.AnswerCounts, work: r.Work, customers: r.Customers, receivedAt: at}
	p.addWork(p.domains[r.Domain], 1)
}

// DomainReports returns the reports of other failure domains. The caller must not
// change their maps.
func (b *Board) DomainReports() []DomainReport {
	now := b.now()
	p := &b.peers
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]DomainReport, 0, len(p.domains))
	for domain, r := range p.domains {
		out = append(out, DomainReport{Domain: domain, Age: now - r.receivedAt, Loads: r.loads, AnswerCounts: r.answerCounts, Work: r.work, Customers: r.customers})
	}
	return out
}

// DomainReportAge returns the age of the report of another failure domain, if there is
// one.
func (b *Board) DomainReportAge(domain string) (age time.Duration, known bool) {
	p := &b.peers
	p.mu.RLock()
	defer p.mu.RUnlock()
	r, known := p.domains[domain]
	return b.now() - r.receivedAt, known
}

// SampleDomain adds the present loads of all routers of this router's failure domain to
// their average.
func (b *Board) SampleDomain(domain string) {
	loads := b.OwnLoads()
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.routers {
		if r.domain == domain {
			for upstream, n := range r.loads {
				loads[upstream] += n
			}
		}
	}
	p.average.add(loads, b.now())
	p.sampleWork(domain, b.ownWork(), b.now())
}

// SumDomain returns the report of this router's failure domain: the average of the
// loads sampled, and the sum of the answer counts.
func (b *Board) SumDomain(domain string) DomainReport {
	sum := DomainReport{Domain: domain, AnswerCounts: b.OwnAnswerCounts()}
	own := b.OwnCustomers()
	p := &b.peers
	p.mu.RLock()
	defer p.mu.RUnlock()
	sum.Customers = p.domainCustomers(domain, own)
	sum.Loads = p.average.loads()
	sum.Work = p.work.averages()
	for _, r := range p.routers {
		if r.domain != domain {
			continue
		}
		for upstream, counts := range r.answerCounts {
			total := sum.AnswerCounts[upstream]
			total.add(counts)
			sum.AnswerCounts[upstream] = total
		}
	}
	return sum
}

// ExpirePeerReports removes the reports that are older than peerReportMaxAge.
func (b *Board) ExpirePeerReports() {
	now := b.now()
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	expire := func(reports map[string]peerReport, unit int) {
		for name, r := range reports {
			if now-r.receivedAt > peerReportMaxAge {
				p.addLoads(r.loads, -unit)
				p.addWork(r, -unit)
				delete(reports, name)
			}
		}
	}
	expire(p.routers, LoadUnits)
	expire(p.domains, 1)
}
