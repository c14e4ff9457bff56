package soak

import (
	"net/http"
	"strconv"
	"syscall"
	"time"

	"dandelionrill.example/standin/replica"
)

const (
	// limitTime is the length of a phase in which upstreams name limits, and limitEndTime
	// how long after it they may still be kept.
	limitTime    = 12 * time.Second
	limitEndTime = 3 * time.Second
	// limitWindow is the time over which arrivals are counted, and limitNoticed the time
	// after an answer that names a limit in which its router need not keep it.
	limitWindow  = 4 * time.Second
	limitNoticed = 500 * time.Millisecond
	// limitBurst is the number of requests that are allowed beyond limitFactor times what
	// the limit allows in a window.
	limitBurst  = 5
	limitFactor = 1.5
	// minUsed is the share of the limits that must be used while more than minRefused
	// requests are refused.
	minUsed    = 0.5
	minRefused = 100
)

// limitPhase is a phase in which upstreams named limits, but no other fault occurred than
// those of one router.
type limitPhase struct {
	period
	disturbed int // router that was killed, stopped or frozen; -1 if none was
	limits    map[*upstream]namedLimits
	all       bool // all upstreams named one
}

// namedLimits are the limits that an upstream named in a phase, in requests a second.
type namedLimits struct{ lowest, highest float64 }

// runLimitPhase lets some upstreams, or all of them, name limits, and change them once. In
// two of three cases a router is killed, stopped or frozen meanwhile. It records the phase for
// check.
func (s *Soak) runLimitPhase() {
	active := s.fleet.active()
	s.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	phase := &limitPhase{disturbed: -1, limits: make(map[*upstream]namedLimits), all: s.random.IntN(2) == 0}
	if !phase.all {
		active = active[:1+s.random.IntN(len(active)-1)]
	}
	phase.from = time.Now()
	s.nameLimits(phase, active)
	time.Sleep(limitTime / 3)
	if s.random.IntN(3) > 0 {
		phase.disturbed = s.random.IntN(len(s.fleet.routers))
		s.disturb(s.fleet.routers[phase.disturbed])
	}
	time.Sleep(limitTime / 3)
	for _, u := range active {
		u.replica.SetLimit("soon") // no statement
	}
	time.Sleep(limitTime / 12)
	s.nameLimits(phase, active)
	time.Sleep(limitTime / 4)
	phase.to = time.Now()
	for _, u := range active {
		u.replica.SetLimit("")
	}
	s.logf("%d of %d upstreams named limits; router-%d was disturbed", len(active), len(s.fleet.active()), phase.disturbed)
	time.Sleep(2 * limitEndTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = append(s.limited, phase)
}

// nameLimits lets upstreams name limits of 0.5 to 16 requests a second.
func (s *Soak) nameLimits(phase *limitPhase, upstreams []*upstream) {
	for _, u := range upstreams {
		limit := float64(int(1)<<s.random.IntN(6)) / 2
		named, ok := phase.limits[u]
		if !ok {
			named.lowest = limit
		}
		phase.limits[u] = namedLimits{min(named.lowest, limit), max(named.highest, limit)}
		u.replica.SetLimit(strconv.FormatFloat(limit, 'f', s.random.IntN(3)+1, 64))
	}
}

// disturb kills a router, stops it gracefully, or freezes it for a second.
func (s *Soak) disturb(r *router) {
	switch s.random.IntN(3) {
	case 0:
		r.signal(syscall.SIGKILL)
	case 1:
		go r.terminate()
	default:
		r.signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		r.signal(syscall.SIGCONT)
	}
}

// checkLimits checks that no upstream gets more than its limit allows in any window, from
// the routers that have passed on an answer with it and were not disturbed; that limits are
// used while requests are refused; and that requests are served again after them.
func (s *Soak) checkLimits(phase *limitPhase, outcomes []outcome, byAttempt map[string]*outcome) {
	arrived := 0
	for u, named := range phase.limits {
		limit := named.highest
		arrivals := phase.told(u, byAttempt)
		first, allowed := 0, int(limitFactor*limit*limitWindow.Seconds()+limitBurst)
		for i, a := range arrivals {
			for a.At.Sub(arrivals[first].At) > limitWindow {
				first++
			}
			if n := i - first + 1; n > allowed {
				s.addViolation("LIMIT", a.Attempt, "%d requests in %v reached %s, which had named a limit of %v", n, limitWindow, u.id, limit)
				break
			}
		}
		for _, a := range u.replica.Arrivals() {
			if a.At.After(phase.from) && a.At.Before(phase.to) {
				arrived++
			}
		}
	}
	s.checkLimitUse(phase, arrived, outcomes)
}

// told returns the arrivals at an upstream in the phase, from contactLimit on, of the
// routers that had passed on an answer with a limit and were not disturbed.
func (p *limitPhase) told(u *upstream, byAttempt map[string]*outcome) (counted []replica.Arrival) {
	passedOn := make(map[int]time.Time)
	arrivals := u.replica.Arrivals()
	for _, a := range arrivals {
		if o := byAttempt[a.Attempt]; a.Limit != "" && o != nil && o.upstream == u.id && o.headAt.After(p.from) {
			if first, ok := passedOn[o.router]; !ok || o.headAt.Before(first) {
				passedOn[o.router] = o.headAt
			}
		}
	}
	for _, a := range arrivals {
		o := byAttempt[a.Attempt]
		if o == nil || o.router == p.disturbed || a.At.Before(p.from.Add(contactLimit)) || a.At.After(p.to) {
			continue
		}
		if first, ok := passedOn[o.router]; ok && a.At.After(first.Add(limitNoticed)) {
			counted = append(counted, a)
		}
	}
	return counted
}

// checkLimitUse checks that limits are used while they bind, and do not bind after the phase.
func (s *Soak) checkLimitUse(phase *limitPhase, arrived int, outcomes []outcome) {
	after := period{from: phase.to.Add(limitEndTime), to: phase.to.Add(2 * limitEndTime)}
	refused, asked, refusedAfter, lowest := 0, 0, 0, 0.0
	for i := range outcomes {
		o := &outcomes[i]
		isRefused := o.status == http.StatusServiceUnavailable
		if isRefused && within(o, []period{phase.period}) {
			refused++
		}
		if within(o, []period{after}) {
			asked++
			if isRefused {
				refusedAfter++
			}
		}
	}
	for _, named := range phase.limits {
		lowest += named.lowest
	}
	if used := float64(arrived) / limitTime.Seconds(); phase.all && refused > minRefused && used < minUsed*lowest {
		s.addViolation("LIMIT", "all", "%.1f requests a second reached upstreams that named limits of %.1f and more together, while %d were refused", used, lowest, refused)
	}
	if refusedAfter > asked/4 {
		s.addViolation("LIMIT", "all", "%d of %d requests were refused from %v after the limits had ended", refusedAfter, asked, limitEndTime)
	}
}
