package gateway

import "time"

const (
	// trialInterval is the least time between two requests that the fleet lets through with
	// a blocked part that may be sound. Each router adds up to as much, so that it hears of
	// the trial of another one.
	trialInterval = 30 * time.Second
	// earlyTrialDelay is the time after the last end from which one request with a part is let
	// through of which others explain the ends equally well: one trial tells them apart.
	earlyTrialDelay = 2 * time.Second
)

// RecordRefused records that a request is to be refused for those of its parts that are
// blocked. If all of them may be sound and were not tried lately, it returns false: the request
// is to be let through. Otherwise mayTry tells whether it may be all the same, if no other one
// is in the fleet; RecordTrial must be called then.
func (c *Crashes) RecordRefused(parts ...uint64) (refuse, mayTry bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	blocked := *c.blocked.Load()
	certain := false
	for _, part := range parts {
		if _, ok := blocked[part]; !ok {
			continue
		}
		p := c.parts[part]
		if p == nil {
			return true, false
		}
		p.requestedAt, p.isRequested = now, true
		mayBeSound := p.ended() < certainCrashes || p.shared
		switch {
		case mayBeSound && now-p.lastEnd() >= trialInterval+p.trialDelay:
		case p.shared && !p.isTried && now-p.lastEnd() >= earlyTrialDelay:
			refuse, mayTry = true, true
		default:
			refuse, certain = true, true
		}
	}
	switch {
	case certain:
		return true, false
	case !refuse:
		c.recordTrial(parts, now)
	}
	return refuse, mayTry
}

// RecordTrial records that a request with the parts is let through.
func (c *Crashes) RecordTrial(parts ...uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordTrial(parts, c.now())
}

// recordTrial records that a request with the parts is let through. c.mu must be held.
func (c *Crashes) recordTrial(parts []uint64, now time.Duration) {
	for _, part := range parts {
		if _, blocked := (*c.blocked.Load())[part]; blocked {
			c.parts[part].triedAt, c.parts[part].isTried = now, true
		}
	}
}

// ended returns the number of upstreams that have ended with the part.
func (p *partCrashes) ended() int { return max(len(p.crashes), p.stored) }

// lastEnd returns when an upstream last ended with the part, or a request with it was let
// through.
func (p *partCrashes) lastEnd() time.Duration {
	last := p.triedAt
	for _, crash := range p.crashes {
		last = max(last, crash.At)
	}
	return last
}
