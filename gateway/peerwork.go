package gateway

import (
	"math"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// peerWork is the work that other routers report, guarded by the lock of peerReports.
type peerWork struct {
	sums map[uint32]workUnits // of all reports, keyed by the short hash of the upstream's key
	// Averages of this router's failure domain.
	tenths, tokens loadAverage
}

// workUnits is a sum of reports. Requests are those of the reports that name work, in
// LoadUnits.
type workUnits struct{ tenths, tokens, requests int64 }

// workSum is the work at one upstream as last reported by the other routers.
type workSum struct {
	workMs, tokens float64
	unreported     float64 // requests of routers that report no work
}

// workAt returns the work of the other routers at an upstream.
func (p *peerReports) workAt(key catalog.Key) workSum {
	sum := key.Sum()
	p.mu.RLock()
	defer p.mu.RUnlock()
	w := p.work.sums[sum]
	return workSum{
		workMs: float64(w.tenths) / 10, tokens: float64(w.tokens),
		unreported: float64(int64(p.loads[sum])-w.requests) / LoadUnits,
	}
}

// addWork adds the work of a report to the sums, or subtracts it if unit, that of its loads,
// is negative. The caller must hold p.mu.
func (p *peerReports) addWork(r peerReport, unit int) {
	if r.work == nil {
		return
	}
	if p.work.sums == nil {
		p.work.sums = make(map[uint32]workUnits)
	}
	sign := int64(1)
	if unit < 0 {
		sign = -1
	}
	for upstream, w := range r.work {
		sum := p.work.sums[upstream]
		sum.tenths += sign * int64(w.Tenths)
		sum.tokens += sign * int64(w.Tokens)
		sum.requests += int64(unit * r.loads[upstream])
		if sum == (workUnits{}) {
			delete(p.work.sums, upstream)
			continue
		}
		p.work.sums[upstream] = sum
	}
}

// SetPeerWork adds the work of another router's requests to its latest report, if that was
// kept. The board retains the map.
func (b *Board) SetPeerWork(router string, work WorkByUpstream) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.routers[router]
	if !known || work == nil {
		return
	}
	p.addWork(r, -LoadUnits)
	r.work = work
	p.routers[router] = r
	p.addWork(r, LoadUnits)
}

// sampleWork adds the present work of all routers of this router's failure domain to their
// averages. The caller must hold p.mu.
func (p *peerReports) sampleWork(domain string, own WorkByUpstream, now time.Duration) {
	tenths, tokens := make(Loads), make(Loads)
	add := func(work WorkByUpstream) {
		for upstream, w := range work {
			tenths[upstream] += int(w.Tenths)
			tokens[upstream] += int(w.Tokens)
		}
	}
	add(own)
	for _, r := range p.routers {
		if r.domain == domain {
			add(r.work)
		}
	}
	p.work.tenths.add(tenths, now)
	p.work.tokens.add(tokens, now)
}

// averages returns the averages sampled; nil if no work is predicted.
func (w *peerWork) averages() WorkByUpstream {
	if len(w.tenths.values) == 0 && len(w.tokens.values) == 0 {
		return nil
	}
	out := make(WorkByUpstream, len(w.tenths.values))
	for upstream, value := range w.tenths.values {
		out[upstream] = Work{Tenths: uint32(math.Round(value)), Tokens: uint32(math.Round(w.tokens.values[upstream]))}
	}
	return out
}
