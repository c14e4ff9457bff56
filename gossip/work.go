package gossip

import (
	"math"

	"dandelionrill.example/fleet/gateway"
)

const (
	// maxReportedTenths limits the work at one upstream that is accepted from a peer's
	// report: ten minutes.
	maxReportedTenths = 6_000_000
	// maxReportedTokens limits the tokens in memory that are accepted likewise.
	maxReportedTokens = 1 << 28
)

// encodeWork returns the work at the upstreams of a report; nothing if none is predicted.
func encodeWork(upstreams []uint32, work gateway.WorkByUpstream) (tenths, tokens []uint) {
	if len(work) == 0 {
		return nil, nil
	}
	tenths, tokens = make([]uint, len(upstreams)), make([]uint, len(upstreams))
	for i, sum := range upstreams {
		tenths[i], tokens[i] = uint(work[sum].Tenths), uint(work[sum].Tokens)
	}
	return tenths, tokens
}

// decodeWork returns the work in a report; nil if there is none. Slices of different lengths
// are cut.
func decodeWork(upstreams []uint32, tenths, tokens []uint) gateway.WorkByUpstream {
	n := min(len(upstreams), len(tenths), len(tokens))
	if n == 0 {
		return nil
	}
	work := make(gateway.WorkByUpstream, n)
	for i, sum := range upstreams[:n] {
		work[sum] = gateway.Work{Tenths: uint32(min(tenths[i], maxReportedTenths)), Tokens: uint32(min(tokens[i], maxReportedTokens))}
	}
	return work
}

func encodeSlowness(reports []gateway.SlownessReport) (slow []uint32, percent, ageMs []uint) {
	for _, r := range reports {
		slow = append(slow, r.Upstream)
		percent = append(percent, uint(math.Round(100*r.Slowness)))
		ageMs = append(ageMs, uint(r.AgeMs))
	}
	return slow, percent, ageMs
}

// maxSlowPercent is the highest slowness that is accepted from a peer's report.
const maxSlowPercent = 1000

// applySlowness applies the slowness of the upstreams in a report that this router knows.
func (m *Mesh) applySlowness(r *Report) {
	for i, sum := range r.Slow[:min(len(r.Slow), len(r.SlowPercent), len(r.SlowAgeMs))] {
		if key, ok := m.opts.UpstreamKey(sum); ok {
			m.opts.Loads.Merge(key, gateway.SlownessReport{
				Upstream: sum, Slowness: float64(min(r.SlowPercent[i], maxSlowPercent)) / 100, AgeMs: uint32(min(r.SlowAgeMs[i], math.MaxUint32)),
			})
		}
	}
}
