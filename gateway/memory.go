package gateway

import (
	"math"
	"time"

	"dandelionrill.example/fleet/decide/cost"
)

const (
	// memoryShare is the share of an upstream's memory that requests may be predicted to
	// hold: it crashes if they hold more than it has.
	memoryShare = 0.95
	// tokenRateTime is the time constant with which the tokens are counted that this router
	// sends to an upstream.
	tokenRateTime = 2 * time.Second
)

// tokenRate is how many tokens this router sends to an upstream in a time.
type tokenRate struct {
	sum float64 // decayed
	at  time.Duration
}

func (r *tokenRate) decayed(now time.Duration) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(max(0, now-r.at))/float64(tokenRateTime))
}

func (r *tokenRate) add(now time.Duration, tokens int64) {
	r.sum, r.at = r.decayed(now)+float64(tokens), now
}

// perSecond returns the rate at now.
func (r *tokenRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / tokenRateTime.Seconds()
}

// requestTokens returns the tokens that a request can hold in the memory of an upstream. Its
// whole prompt counts, since other requests that share parts of it may end before it.
func requestTokens(r cost.Request, e *cost.Estimate) int64 {
	return int64(min(r.PromptTokens, maxTokens) + min(max(r.MaxOutput, int(e.Output)), maxTokens))
}

// memoryBound is how many tokens the requests at one upstream of a service may hold.
type memoryBound struct {
	tokens float64 // 0 if there is no bound
	// unseen is for how many seconds, times routers, sends of other routers are not in
	// their reports yet.
	unseen float64
}

// memoryBound returns the bound for the upstreams of a request's service.
func (g *Gateway) memoryBound(req *request) memoryBound {
	service := req.table.Service(req.service)
	if service == nil || service.Engine == nil || service.Engine.CacheTokens <= 0 {
		return memoryBound{}
	}
	others := float64(g.routerCount.Load() - 1)
	return memoryBound{
		tokens: memoryShare * float64(service.Engine.CacheTokens),
		unseen: others * g.board.peers.meanAge(g.board.now()).Seconds(),
	}
}

// exceeds reports whether another request with these tokens may take the upstream over the
// bound. Other routers are expected to have sent as many tokens as this one since they
// reported.
func (b memoryBound) exceeds(s *upstreamCostState, tokens int64) bool {
	return b.tokens > 0 && s.tokens+b.unseen*s.tokensPerSecond+float64(tokens) > b.tokens
}

// meanAge returns the mean age of the reports of other routers and failure domains; 0 if
// there are none.
func (p *peerReports) meanAge(now time.Duration) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	sum, n := time.Duration(0), time.Duration(0)
	for _, reports := range []map[string]peerReport{p.routers, p.domains} {
		for _, r := range reports {
			sum, n = sum+now-r.receivedAt, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
