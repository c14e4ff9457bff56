package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/blame"
)

// PartReport is what a router tells others of a prompt part with crashes. Ages are in
// milliseconds.
type PartReport struct {
	Part        uint64
	Upstreams   []uint32 // short hashes of the keys of upstreams that ended
	AgesMs      []uint32 // of these ends
	Answered    bool
	AnsweredMs  uint32 // since a request with the part was last answered
	Requested   bool
	RequestedMs uint32 // since a request with the part was last refused
	Tried       bool
	TriedMs     uint32 // since a request with the part was last let through
}

// Reports returns what to tell other routers: blocked parts first, then those with the most
// crashes, then those with the newest ones.
func (c *Crashes) Reports() []PartReport {
	if !c.any.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, blocked := c.now(), *c.blocked.Load()
	keys := slices.Collect(maps.Keys(c.parts))
	if len(keys) > maxReportedParts {
		rank := func(part uint64) int {
			if _, ok := blocked[part]; ok {
				return -maxCrashesPerPart - 1
			}
			return -len(c.parts[part].crashes)
		}
		slices.SortFunc(keys, func(a, b uint64) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(c.parts[b].lastEnd(), c.parts[a].lastEnd()))
		})
		keys = keys[:maxReportedParts]
	}
	out := make([]PartReport, 0, len(keys))
	for _, part := range keys {
		p := c.parts[part]
		r := PartReport{Part: part, Answered: p.isAnswered, Requested: p.isRequested, Tried: p.isTried}
		if p.isAnswered {
			r.AnsweredMs = ageMs(now, p.answeredAt)
		}
		if p.isRequested {
			r.RequestedMs = ageMs(now, p.requestedAt)
		}
		if p.isTried {
			r.TriedMs = ageMs(now, p.triedAt)
		}
		for _, crash := range p.crashes {
			r.Upstreams, r.AgesMs = append(r.Upstreams, crash.Upstream), append(r.AgesMs, ageMs(now, crash.At))
		}
		out = append(out, r)
	}
	return out
}

func ageMs(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// AliveReport is an upstream that did not end, though a request broke off at it.
type AliveReport struct {
	Upstream uint32 // short hash of its key
	AgeMs    uint32 // since it was alive
}

// Alive returns the upstreams that did not end, for other routers.
func (c *Crashes) Alive() []AliveReport {
	if !c.any.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := make([]AliveReport, 0, len(c.alive))
	for upstream, at := range c.alive {
		out = append(out, AliveReport{Upstream: upstream, AgeMs: ageMs(now, at)})
	}
	slices.SortFunc(out, func(a, b AliveReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), maxReportedParts)]
}

// Merge takes over what another router tells, and reports whether a part that was never
// answered has a new crash.
func (c *Crashes) Merge(reports []PartReport, alive []AliveReport) (news bool) {
	if len(reports) == 0 && len(alive) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	at := func(ms uint32) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, a := range alive[:min(len(alive), maxReportedParts)] {
		c.setAlive(a.Upstream, at(a.AgeMs))
	}
	for _, r := range reports[:min(len(reports), maxReportedParts)] {
		p := c.record(r.Part)
		if r.Answered {
			p.setAnswered(at(r.AnsweredMs))
		}
		if r.Requested && (!p.isRequested || at(r.RequestedMs) > p.requestedAt) {
			p.requestedAt, p.isRequested = at(r.RequestedMs), true
		}
		if r.Tried && (!p.isTried || at(r.TriedMs) > p.triedAt) {
			p.triedAt, p.isTried = at(r.TriedMs), true
		}
		inUse := r.Requested && time.Duration(r.RequestedMs)*time.Millisecond <= blockMemory
		for i, upstream := range r.Upstreams[:min(len(r.Upstreams), len(r.AgesMs))] {
			aliveAt, known := c.alive[upstream]
			if known && at(r.AgesMs[i]) <= aliveAt || !inUse && now-at(r.AgesMs[i]) > crashMemory {
				continue
			}
			if p.add(blame.Crash{Upstream: upstream, At: at(r.AgesMs[i])}) && !p.isAnswered {
				news = true
			}
		}
	}
	c.evaluate()
	return news
}
