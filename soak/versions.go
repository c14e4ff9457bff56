package soak

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// takingTime is the length of a phase in which callers leave streams.
	takingTime = 6 * time.Second
	// resetUpstreams is how many upstreams are reset in a round, one after another.
	resetUpstreams = 3
	// resetTime is the length of each reset and of the pause after it.
	resetTime = 300 * time.Millisecond
	// maxTakeUps is how often a caller takes up a stream again.
	maxTakeUps = 2
	// minTakenUp is the least number of streams taken up in a phase that are judged.
	minTakenUp = 12
)

// takingPhase is a fault-free phase in which callers leave streams and take them up again.
type takingPhase struct {
	period
	serving map[string]int // upstreams that are not leaving, by version
}

// versionsBySeed returns the versions of upstreams by their index: three versions for
// every third seed, two otherwise.
func versionsBySeed(seed uint64) func(int) string {
	versions := 2
	if seed%3 == 0 {
		versions = 3
	}
	return func(index int) string { return fmt.Sprint("v", 1+index%versions) }
}

// runTakingPhase lets callers leave streams for a time, and records the phase for check.
func (s *Soak) runTakingPhase() {
	phase := takingPhase{period: period{from: time.Now()}, serving: make(map[string]int)}
	for _, u := range s.fleet.active() {
		phase.serving[u.version]++
	}
	s.leaveStreams.Store(true)
	time.Sleep(takingTime)
	s.leaveStreams.Store(false)
	phase.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taking = append(s.taking, phase)
}

// breakStreams resets the connections of one upstream after another, so that streams in
// progress break off there.
func (s *Soak) breakStreams() {
	for range resetUpstreams {
		proxy := s.randomUpstream().proxy
		proxy.SetMode(ModeReset)
		time.Sleep(resetTime)
		proxy.SetMode(ModePass)
		time.Sleep(resetTime)
	}
}

// leaveLater lets the caller leave some streams after one to three further events.
func (c *caller) leaveLater(o *outcome) {
	if o.route != "/resume/" || !c.soak.leaveStreams.Load() || c.random.IntN(3) == 0 {
		return
	}
	o.leaveAt = o.received + 1 + c.random.IntN(3)
}

// takeUp takes up a stream that was broken off again, at most maxTakeUps times and each
// time at another router.
func (c *caller) takeUp(o *outcome) {
	for n := range maxTakeUps {
		if o.received == 0 || o.err == nil {
			return
		}
		next := c.nextTakeUp(o)
		if n == 0 {
			c.leaveLater(&next)
		}
		c.send(&next)
		c.soak.record(next)
		o = &next
	}
}

// nextTakeUp returns the attempt that takes up the stream of an earlier one, at another router.
func (c *caller) nextTakeUp(o *outcome) outcome {
	c.takeUps++
	return outcome{
		attempt: fmt.Sprintf("%s-again%d", o.first, c.takeUps), first: o.first, session: o.session, received: o.received, version: o.version,
		route: o.route, path: o.path, deadline: o.deadline, router: (o.router + 1) % len(c.soak.fleet.routers),
	}
}

// checkTakenUp checks that the streams that were taken up in a phase, of versions that two
// upstreams served, went on half as often as new ones were served.
func (s *Soak) checkTakenUp(phase takingPhase, outcomes []outcome) {
	var fresh, freshServed, taken, wentOn float64
	for i := range outcomes {
		o := &outcomes[i]
		served := 0.0
		if o.status == http.StatusOK && (o.err == nil || errors.Is(o.err, errLeft)) {
			served = 1
		}
		switch {
		case o.route != "/resume/" || !within(o, []period{phase.period}):
		case o.attempt == o.first:
			fresh, freshServed = fresh+1, freshServed+served
		case phase.serving[o.version] >= 2:
			taken, wentOn = taken+1, wentOn+served
		}
	}
	s.logf("%v of %v new streams were served, %v of %v streams taken up went on", freshServed, fresh, wentOn, taken)
	if taken >= minTakenUp && wentOn*fresh*2 < taken*freshServed {
		s.addViolation("LOST", "all", "%v of %v streams taken up went on, %v of %v new ones were served", wentOn, taken, freshServed, fresh)
	}
}
