package soak

import (
	"math/rand/v2"
	"time"

	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/replica"
)

// The bound of docs/design/load-and-recovery.md on the requests in any one second at a cold
// upstream, of all routers together, from coldPerSecond and the defaults of the settings.
const (
	coldPerSecond = 11
	coldOverrun   = 1.5
	coldTolerance = 5
	maxColdSecond = coldPerSecond*coldOverrun + coldTolerance
)

const (
	// coldTime is how long an upstream is cold after its start or an evacuation.
	coldTime = 5 * time.Second
	// coldUpstreams is how many start at once.
	coldUpstreams = 3
	// coldCalm is the time before they start. Roles for cold upstreams settle in 2.5 s.
	coldCalm = 3 * time.Second
	// coldSilence is the longest time for which the store is silent.
	coldSilence = 3 * time.Second
	// coldCallers send coldPause apart: they would send more than the bound to each upstream.
	coldCallers = 20
	coldPause   = 20 * time.Millisecond
)

// coldPeriod is a time in which an upstream is cold.
type coldPeriod struct {
	period
	upstream *upstream
	used     time.Time // until when it must have got work; zero if it need not
}

// runColdPhase starts several cold upstreams under load. In two of three cases the store falls
// silent just before or soon after, and in two of three a router is restarted. It records the
// cold times for check.
func (s *Soak) runColdPhase() {
	end := s.startLoad(coldCallers, coldPause, func(*rand.Rand) outcome { return outcome{route: "/safe/", deadline: callerTimeout} })
	defer end()
	time.Sleep(coldCalm)
	silence, until, stated := s.random.IntN(3), time.Second+time.Duration(s.random.Int64N(int64(coldSilence-time.Second))), s.random.IntN(2) == 0
	s.restartOne(2 * time.Second)
	s.logf("silence of the store: %d, for %v; answers state the cold time: %v", silence, until, stated)
	hang := platform.Faults{Outage: platform.OutageHang}
	if silence == 1 {
		s.fleet.store.SetFaults(hang)
	}
	started := time.Now()
	var cold []*upstream
	for range coldUpstreams {
		u, err := s.fleet.add(service, replica.Options{Slots: 16, EventInterval: 20 * time.Millisecond}, coldTime)
		if err != nil {
			s.logf("failed to add an upstream: %v", err)
			continue
		}
		if stated {
			u.replica.StateCold(u.coldUntil)
		}
		cold = append(cold, u)
	}
	if silence == 2 {
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
		s.fleet.store.SetFaults(hang)
	}
	if silence > 0 {
		time.Sleep(until)
		s.fleet.store.SetFaults(platform.Faults{})
	}
	time.Sleep(recoveryTime + time.Until(started.Add(coldTime)))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range cold {
		used := u.coldUntil
		if silence > 0 {
			used = time.Now() // the routers learn of it late
		}
		s.cold = append(s.cold, coldPeriod{period{started, u.coldUntil}, u, used})
		s.fleet.remove(u)
	}
}

// checkCold checks that an upstream gets no more requests than the bound in any one second
// while it is cold, and some work.
func (s *Soak) checkCold(c coldPeriod) {
	var arrivals []replica.Arrival // while it is cold
	work := 0
	for _, a := range c.upstream.replica.Arrivals() {
		if a.Misdirected || a.At.Before(c.from) {
			continue
		}
		if a.At.Before(c.used) {
			work++
		}
		if a.At.Before(c.to) {
			arrivals = append(arrivals, a)
		}
	}
	first, most, last := 0, 0, ""
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, last = n, a.Attempt
		}
	}
	s.logf("%s: %d requests while it was cold, at most %d in a second", c.upstream.id, len(arrivals), most)
	if float64(most) > maxColdSecond {
		s.addViolation("COLD", last, "%d requests in a second reached %s while it was cold, %v are allowed", most, c.upstream.id, maxColdSecond)
	}
	if !c.used.IsZero() && work < coldPerSecond {
		s.addViolation("COLD", c.upstream.id, "only %d requests reached it in %v from its start on", work, c.used.Sub(c.from))
	}
}
