package gateway

import (
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// errEvacuated ends a send that was chosen before the evacuation of the upstream's failure
// domain became known.
var errEvacuated = errors.New("failure domain is evacuated")

// reasonEvacuated is the reason of a refusal.
const reasonEvacuated = "all upstreams of the service are in evacuated failure domains"

// evacuationState is the set of evacuated failure domains. It is immutable.
type evacuationState struct {
	unknown bool                 // the first list was not read yet: nothing is sent anywhere
	since   map[string]time.Time // when this router learned of each evacuation
}

// has reports whether nothing may be sent to the upstreams of a failure domain.
func (s *evacuationState) has(domain string) bool {
	if s == nil {
		return false
	}
	_, evacuated := s.since[domain]
	return evacuated || s.unknown
}

// isEvacuated reports whether nothing may be sent to an upstream because of an evacuation
// of its failure domain.
func (g *Gateway) isEvacuated(u *catalog.Upstream) bool {
	return g.evacuations.Load().has(u.FailureDomain)
}

// SetEvacuated replaces the list of evacuated failure domains. Nothing is sent to their
// upstreams from now on; requests in progress there continue. source tells where the list
// comes from and age how long ago it was known to be the newest; both are logged.
func (g *Gateway) SetEvacuated(domains []string, source string, age time.Duration) {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	previous := g.evacuations.Load()
	if previous == nil {
		previous = &evacuationState{}
	}
	now := time.Now()
	next := &evacuationState{since: make(map[string]time.Time, len(domains))}
	for _, domain := range domains {
		next.since[domain] = now
		if at, known := previous.since[domain]; known {
			next.since[domain] = at
		}
	}
	for domain := range previous.since {
		if !next.has(domain) {
			g.coldAfterEvacuation(domain) // before sends to its upstreams are permitted again
		}
	}
	if len(domains) == 0 {
		g.evacuations.Store(nil)
	} else {
		g.evacuations.Store(next)
	}
	g.metrics.evacuatedDomains.Set(int64(len(next.since)))
	g.markConfigured()
	fields := log.Fields{"source": source, "age_ms": age.Milliseconds(), "catalog": g.catalog.Load().Revision}
	for domain := range next.since {
		if _, known := previous.since[domain]; !known {
			g.opts.Log.WithFields(fields).WithField("failure_domain", domain).Info("evacuation of a failure domain begins")
		}
	}
	for domain, at := range previous.since {
		if _, evacuated := next.since[domain]; !evacuated {
			g.opts.Log.WithFields(fields).WithFields(log.Fields{
				"failure_domain": domain, "lasted_ms": now.Sub(at).Milliseconds(),
			}).Info("evacuation of a failure domain ends")
		}
	}
}

// KnowsEvacuations reports whether the list of evacuated failure domains has been set, or
// there are no evacuations in this deployment.
func (g *Gateway) KnowsEvacuations() bool {
	s := g.evacuations.Load()
	return s == nil || !s.unknown
}

// AssumeNoEvacuations permits sends although no list was set yet, and reports whether this
// is a change.
func (g *Gateway) AssumeNoEvacuations() bool {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	if g.KnowsEvacuations() {
		return false
	}
	g.evacuations.Store(nil)
	g.markConfigured()
	return true
}

// candidates returns the upstreams of the service of a request to which it may be sent at
// all. The caller must not modify the list.
func (g *Gateway) candidates(req *request) []*catalog.Upstream {
	list := g.catalog.Load().Service(req.service)
	if !g.restricts(req) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(u *catalog.Upstream) bool { return !g.isCandidate(req, u) })
}

// restricts reports whether a request may not be sent to some upstreams at all.
func (g *Gateway) restricts(req *request) bool {
	return g.evacuations.Load() != nil || req.restricted()
}

// isCandidate reports whether a request may be sent to an upstream at all.
func (g *Gateway) isCandidate(req *request, u *catalog.Upstream) bool {
	return !g.isEvacuated(u) && g.allowsRegion(req, u)
}

// refusesExcluded returns the refusal of a request if its service has upstreams, none of
// which is a candidate.
func (g *Gateway) refusesExcluded(req *request) (e end, refuses bool) {
	list := g.catalog.Load().Service(req.service)
	if len(list) == 0 || len(g.candidates(req)) > 0 {
		return end{}, false
	}
	if !g.KnowsEvacuations() {
		return refused("evacuated failure domains are not known yet", retryAfterUnknown), true
	}
	if !slices.ContainsFunc(list, func(u *catalog.Upstream) bool { return g.allowsRegion(req, u) }) {
		g.metrics.regionRequests.Add(1)
		return refused(reasonRegion, retryAfterUnknown), true
	}
	g.metrics.evacuatedRequests.Add(1)
	return refused(reasonEvacuated, retryAfterUnknown), true
}

// sendPrecondition returns the check that is made just before a request is written: since
// the target was chosen, an evacuation may have become known, or that the upstream is cold.
// It is nil where there are neither.
func (g *Gateway) sendPrecondition(t target) func() error {
	checksCold := g.cold.any.Load() && g.coldService(t.upstream.Service) != nil
	if !g.opts.Evacuations && !checksCold {
		return nil
	}
	return func() error {
		if g.isEvacuated(t.upstream) || t.fetchSource != nil && g.isEvacuated(t.fetchSource) {
			return errEvacuated
		}
		return g.checkCold(t)
	}
}

// Evacuated reports whether a failure domain is evacuated, as far as this router knows.
func (g *Gateway) Evacuated(domain string) bool { return g.evacuations.Load().has(domain) }
