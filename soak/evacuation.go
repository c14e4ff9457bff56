package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/wire"
)

const (
	// evacuationBound is the longest time until an evacuation is in force, by
	// docs/design/load-and-recovery.md. The store falls silent after half of it at the
	// earliest, which is the documented goal: all routers know of the evacuation by then.
	evacuationBound = 5 * time.Second
	// evacuationTime is how long failure domains are evacuated.
	evacuationTime = 9 * time.Second
	// evacuationShare is the part of an even share of the requests that an upstream's failure
	// domain gets at least, from evacuationBound and twice the cold time after its release on.
	evacuationShare = 0.25
	// returnTime is the time in which that is counted.
	returnTime = 3 * time.Second
	// streamCalm is how long streams begin before the evacuation.
	streamCalm = 2 * time.Second
	// evacuationCallers send requests beside the others, so that each upstream is used.
	evacuationCallers = 8
)

// evacuated are the failure domains of upstreams, in turn.
var evacuated = []string{"a", "b"}

// evacuationPhase is a phase in which failure domains were evacuated for a time, but no other
// fault occurred than those of one router and of the store.
type evacuationPhase struct {
	period    // from the store's acknowledgement to the release
	domains   []string
	restarted int // router; -1 if none was
	returned  period
}

// runEvacuationPhase evacuates a failure domain of upstreams, or in one of four cases both, and
// releases them. In one of two cases the store is silent meanwhile, and in two of three a router
// is restarted. It records the phase for check.
func (s *Soak) runEvacuationPhase() {
	slow := s.slowStreams.Swap(true)
	defer s.slowStreams.Store(slow)
	end := s.startLoad(evacuationCallers, coldPause, func(*rand.Rand) outcome { return outcome{route: "/safe/", deadline: callerTimeout} })
	defer end()
	time.Sleep(streamCalm)
	n := s.random.IntN(8)
	phase := &evacuationPhase{domains: evacuated}
	if n > 1 {
		phase.domains = evacuated[n%2:][:1]
	}
	for _, domain := range phase.domains {
		s.fleet.store.SetObject(wire.KindEvacuations, domain, []byte(`{"reason":"soak"}`))
	}
	phase.from = time.Now()
	silent, silence := s.random.IntN(2) == 0, evacuationBound/2+time.Duration(s.random.Int64N(int64(evacuationBound/2)))
	s.logf("%v evacuated; the store falls silent after %v: %v", phase.domains, silence, silent)
	phase.restarted = s.restartOne(evacuationBound)
	time.Sleep(silence)
	if silent {
		s.fleet.store.SetFaults(platform.Faults{Outage: platform.OutageHang})
	}
	time.Sleep(evacuationTime - silence)
	phase.to = time.Now()
	s.fleet.store.SetFaults(platform.Faults{})
	for _, domain := range phase.domains {
		s.fleet.store.RemoveObject(wire.KindEvacuations, domain)
	}
	wait := evacuationBound
	if s.opts.Faults.has(FaultCold) {
		wait += 2 * coldTime // of the weight of prompts, too
	}
	time.Sleep(wait)
	phase.returned.from = time.Now()
	time.Sleep(returnTime)
	phase.returned.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuation = append(s.evacuation, phase)
	for _, u := range s.fleet.active() {
		if s.opts.Faults.has(FaultCold) && slices.Contains(phase.domains, u.failureDomain) {
			s.cold = append(s.cold, coldPeriod{period: period{phase.to, phase.to.Add(coldTime)}, upstream: u})
		}
	}
}

// checkEvacuation checks that no request reaches an evacuated upstream after the bound, that
// requests without another upstream are refused and others served, that no request that
// was running is cut, and that upstreams get requests again after the release.
func (s *Soak) checkEvacuation(phase *evacuationPhase, outcomes []outcome) {
	inForce := period{phase.from.Add(evacuationBound), phase.to}
	back, all, upstreams, evacuatedUpstreams := 0, 0, 0, 0
	for _, u := range s.fleet.upstreams {
		if u.service != service {
			continue
		}
		isEvacuated, late, last := slices.Contains(phase.domains, u.failureDomain), 0, ""
		if !u.crashed && (u.drainingSince.IsZero() || u.drainingSince.After(phase.returned.to)) {
			upstreams++
			if isEvacuated {
				evacuatedUpstreams++
			}
		}
		for _, a := range u.replica.Arrivals() {
			if isEvacuated && !a.Misdirected && inForce.has(a.At) {
				late, last = late+1, a.Attempt
			}
			if phase.returned.has(a.At) {
				all++
				if isEvacuated {
					back++
				}
			}
		}
		if late > 0 {
			s.addViolation("EVACUATION", last, "%d requests reached %s in %s from %v after its evacuation on", late, u.id, u.failureDomain, evacuationBound)
		}
	}
	s.logf("%d of %d requests went to %d of %d upstreams after their release", back, all, evacuatedUpstreams, upstreams)
	if float64(back*upstreams) < evacuationShare*float64(all*evacuatedUpstreams) {
		s.addViolation("EVACUATION", "all", "only %d of %d requests went to %d of %d upstreams after their release", back, all, evacuatedUpstreams, upstreams)
	}
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.router == phase.restarted || o.finished.Before(phase.from) || o.started.After(phase.to) || o.route == "/resume/" && s.opts.Faults.hasVersions():
		case o.status == http.StatusOK && o.endedEarly():
			s.addViolation("LOST", o.attempt, "request to %s%s at %s was cut after %v while %v were evacuated: %v", o.route, o.path, o.upstream, o.finished.Sub(o.started), phase.domains, o.err)
		case !within(o, []period{inForce}) || o.status == 0:
		case len(phase.domains) == len(evacuated) && (o.status != http.StatusServiceUnavailable || o.wait == "" || o.finished.Sub(o.started) > atOnce):
			s.addViolation("EVACUATION", o.attempt, "request without an upstream got status %d after %v, Retry-After %q", o.status, o.finished.Sub(o.started), o.wait)
		}
	}
}

func (p period) has(at time.Time) bool { return at.After(p.from) && at.Before(p.to) }
