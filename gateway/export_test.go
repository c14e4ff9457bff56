package gateway

import "time"

// AgeStreams makes all records of streams and of listed versions older.
func (g *Gateway) AgeStreams(d time.Duration) {
	g.streams.start = g.streams.start.Add(-d)
	g.versions.mu.Lock()
	defer g.versions.mu.Unlock()
	for _, upstreams := range g.versions.services {
		for key, p := range upstreams {
			p.at = p.at.Add(-d)
			upstreams[key] = p
		}
	}
}

// AgeVersionHistory makes the history of listed versions begin earlier. When versions were
// last listed stays.
func (g *Gateway) AgeVersionHistory(d time.Duration) {
	g.versions.mu.Lock()
	defer g.versions.mu.Unlock()
	g.versions.since = g.versions.since.Add(-d)
}

// Entries returns the number of entries of all lists, and of entries by part.
func (x *CacheIndex) Entries() (listed, byPart int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, holders := range x.holders {
		byPart += len(holders)
	}
	return x.entries, byPart
}

// Age makes all lists older.
func (x *CacheIndex) Age(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.lists {
		l.readAt, l.triedAt = l.readAt.Add(-d), l.triedAt.Add(-d)
	}
}

// CacheIndex returns the index of the cache lists that the gateway has read.
func (g *Gateway) CacheIndex() *CacheIndex { return g.caches }

// Limits of CacheIndex.
const (
	MaxIndexedParts = maxIndexedParts
)

// Len returns the number of upstreams of which permits are kept.
func (p *Permits) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.buckets)
}

// Candidates returns the number of upstreams that a request to a service may be sent to.
func (g *Gateway) Candidates(service string) int {
	return len(g.candidates(&request{service: service}))
}

// HeldAnswerBytes returns the bytes of answers that count towards the limit.
func (g *Gateway) HeldAnswerBytes() int64 { return g.answers.held.Load() }

// DrainSince is Drain, begun some time ago; limit counts from then.
func (g *Gateway) DrainSince(elapsed, limit time.Duration) {
	g.draining.Store(&drainState{started: time.Now().Add(-elapsed), limit: limit})
	g.endDrainBegun()
}

// RecordSlowAnswer records the time that an answer of a route has taken.
func (g *Gateway) RecordSlowAnswer(route string, took time.Duration) {
	g.slowest.record(route, took, time.Now())
}

// AgeCrashes makes all records of crashes older.
func (g *Gateway) AgeCrashes(d time.Duration) { g.crashes.start = g.crashes.start.Add(-d) }
