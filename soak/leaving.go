package soak

import "time"

// leavingTime is the length of a phase in which an upstream says that it leaves.
const leavingTime = 6 * time.Second

// runLeavingPhase lets an upstream say in its answers that it leaves. In one of three
// cases its entry in the store says so a second later, otherwise only after the phase.
func (s *Soak) runLeavingPhase() {
	active := s.fleet.active()
	if len(active) <= 2 {
		return
	}
	phase := period{from: time.Now()}
	u, entry := active[s.random.IntN(len(active))], s.random.IntN(3) == 0
	s.logf("%s leaves; its entry says so: %v", u.id, entry)
	u.replica.SetLeaving(true)
	time.Sleep(time.Second)
	if entry {
		s.fleet.drain(u)
	}
	time.Sleep(leavingTime - time.Second)
	phase.to = time.Now()
	if !entry {
		s.fleet.drain(u)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, phase)
}

// checkLeaving checks each pair of a router and an upstream: after the router has passed
// on an answer that says that the upstream leaves, no request that a caller sends more
// than drainLimit later reaches it from this router in the phase.
func (s *Soak) checkLeaving(byAttempt map[string]*outcome) {
	for _, phase := range s.leaving {
		for _, u := range s.fleet.upstreams {
			for router, late := range lateArrivals(u, phase, byAttempt) {
				s.addViolation("DRAIN", late[0].attempt, "%d requests reached %s from router-%d more than %v after it had passed on an answer that says that %s leaves",
					len(late), u.id, router, drainLimit, u.id)
			}
		}
	}
}

// lateArrivals returns the requests that reached the upstream too late, by their router.
func lateArrivals(u *upstream, phase period, byAttempt map[string]*outcome) map[int][]*outcome {
	passedOn, late := make(map[int]time.Time), make(map[int][]*outcome)
	arrivals := u.replica.Arrivals()
	for _, a := range arrivals {
		o := byAttempt[a.Attempt]
		if !a.Leaving || o == nil || o.upstream != u.id || o.headAt.Before(phase.from) {
			continue
		}
		if first, ok := passedOn[o.router]; !ok || o.headAt.Before(first) {
			passedOn[o.router] = o.headAt
		}
	}
	for _, a := range arrivals {
		o := byAttempt[a.Attempt]
		if o == nil || a.At.After(phase.to) {
			continue
		}
		if first, ok := passedOn[o.router]; ok && o.started.After(first.Add(drainLimit)) {
			late[o.router] = append(late[o.router], o)
		}
	}
	return late
}
