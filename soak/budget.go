package soak

import (
	"time"

	"dandelionrill.example/standin/replica"
)

const (
	// refusalRepeats is how often in a phase some upstreams turn requests away.
	refusalRepeats = 3
	// refusalPause is the time between two of these.
	refusalPause = time.Second
	// allRefuseTime is how long all upstreams turn requests away together.
	allRefuseTime = 1500 * time.Millisecond
	// refusalNoticed is the time after an answer that asks for a pause in which further
	// requests may still arrive.
	refusalNoticed = 500 * time.Millisecond
	// maxUnwanted is the number of requests that a router may send in the rest of a pause.
	maxUnwanted = 2
)

// runRefusingPhase lets up to half of the upstreams turn requests away for 1 to 4 s, or
// all of them for a shorter time, and records the phase for check.
func (s *Soak) runRefusingPhase() {
	from := time.Now()
	for range refusalRepeats {
		active := s.fleet.active()
		s.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
		n, wait := 1+s.random.IntN(max(1, len(active)/2)), time.Duration(1000+s.random.IntN(3000))*time.Millisecond
		if s.random.IntN(3) == 0 {
			n, wait = len(active), allRefuseTime
		}
		s.logf("%d of %d upstreams turn requests away for %v", n, len(active), wait)
		for _, u := range active[:n] {
			u.replica.RefuseFor(wait)
		}
		time.Sleep(wait + refusalPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = append(s.refusing, period{from, time.Now()})
}

// checkBudget checks for each pair of a router and an upstream that at most maxUnwanted
// requests arrive in the time for which an answer of the upstream asked for none.
func (s *Soak) checkBudget(byAttempt map[string]*outcome) {
	for _, phase := range s.refusing {
		for _, u := range s.fleet.upstreams {
			byRouter := make(map[int][]replica.Arrival)
			for _, a := range u.replica.Arrivals() {
				if o := byAttempt[a.Attempt]; o != nil && a.At.After(phase.from) && a.At.Before(phase.to) {
					byRouter[o.router] = append(byRouter[o.router], a)
				}
			}
			for router, arrivals := range byRouter {
				s.checkPauses(router, u, arrivals)
			}
		}
	}
}

// checkPauses checks the arrivals from one router. Answers within a pause that was
// reported are passed over.
func (s *Soak) checkPauses(router int, u *upstream, arrivals []replica.Arrival) {
	var reported time.Time
	for i, a := range arrivals {
		if a.Wait == 0 || a.At.Before(reported) {
			continue
		}
		end, unwanted := a.At.Add(a.Wait), 0
		for _, later := range arrivals[i+1:] {
			if later.At.After(a.At.Add(refusalNoticed)) && later.At.Before(end) {
				unwanted++
			}
		}
		if unwanted > maxUnwanted {
			s.addViolation("BUDGET", a.Attempt, "%d requests from router-%d reached %s, which had asked for none for %v", unwanted, router, u.id, a.Wait)
			reported = end
		}
	}
}
