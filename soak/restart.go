package soak

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// restartPhaseTime is the length of the rest of a phase from the kill of all routers on.
	restartPhaseTime = 8 * time.Second
	// restartCalm is how long callers begin streams before the routers are killed.
	restartCalm = 3 * time.Second
	// restartComeBack is the time in which a caller comes back to a stream that a kill broke off.
	restartComeBack = 4 * time.Second
	// restartPause is the time between two attempts to take such a stream up.
	restartPause = 300 * time.Millisecond
	// minRestarted is the least number of streams broken off by a kill that is judged.
	minRestarted = 4
)

// restartPhase is a phase in which routers are killed at once and nothing else fails.
type restartPhase struct {
	period
	killed  time.Time
	routers int // that were killed
}

// runRestartPhase kills all routers at once while upstreams of several versions serve slow
// streams, and records the phase for check. In one of two cases the upstreams of one version are
// gone when the routers are back.
func (s *Soak) runRestartPhase() {
	phase := restartPhase{period: period{from: time.Now()}, routers: len(s.fleet.routers)}
	s.comeBack.Store(true)
	time.Sleep(restartCalm)
	phase.killed = time.Now()
	for _, r := range s.fleet.routers {
		r.signal(syscall.SIGKILL)
	}
	if active := s.fleet.active(); s.random.IntN(2) == 0 {
		gone := active[s.random.IntN(len(active))].version
		s.logf("the upstreams of %s go while the routers are away", gone)
		for _, u := range active {
			if u.version == gone {
				s.fleet.remove(u)
				u.proxy.SetMode(ModeReset)
			}
		}
	}
	phase = s.endRestartPhase(phase)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts = append(s.restarts, phase)
}

// endRestartPhase waits for the end of a phase, and replaces the upstreams that went.
func (s *Soak) endRestartPhase(phase restartPhase) restartPhase {
	time.Sleep(restartPhaseTime)
	s.comeBack.Store(false)
	phase.to = time.Now()
	for len(s.fleet.active()) < s.opts.Upstreams { // as many as before, for the other phases
		if err := s.fleet.addUpstream(); err != nil {
			s.logf("failed to add an upstream: %v", err)
			break
		}
	}
	return phase
}

// maxLeaveBefore is the longest time from the end of entries to the kill of all routers.
const maxLeaveBefore = 400 * time.Millisecond

// runSessionPhase removes the entries of the upstreams of one version, kills all routers at once a
// moment later, and ends these upstreams. Streams belong to sessions of several turns, and their
// callers do not name the attempt that they continue: what lists a session's prompt part may have
// read it in an earlier turn. Streams that began since the routers last wrote their records may
// be refused, so that the phase is not among those that checkRestart judges.
func (s *Soak) runSessionPhase() {
	s.sessions.Store(true)
	defer s.sessions.Store(false)
	s.comeBack.Store(true)
	time.Sleep(2 * restartCalm)
	active := s.fleet.active()
	gone := active[s.random.IntN(len(active))].version
	s.logf("the upstreams of %s leave", gone)
	for _, u := range active {
		if u.version == gone {
			s.fleet.remove(u)
		}
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(maxLeaveBefore))))
	for _, r := range s.fleet.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, u := range active {
		if u.version == gone {
			u.proxy.SetMode(ModeReset)
		}
	}
	s.endRestartPhase(restartPhase{})
}

// runTurnPhase kills routers at once while upstreams of several versions serve turns of
// sessions, and records the phase for check: all upstreams stay.
func (s *Soak) runTurnPhase(routers []*router) {
	s.sessions.Store(true)
	defer s.sessions.Store(false)
	phase := restartPhase{period: period{from: time.Now()}, routers: len(routers)}
	s.comeBack.Store(true)
	time.Sleep(2 * restartCalm)
	phase.killed = time.Now()
	for _, r := range routers {
		r.signal(syscall.SIGKILL)
	}
	phase = s.endRestartPhase(phase)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts = append(s.restarts, phase)
}

// takeUpAfterRestart takes up a stream that a kill of routers broke off, as often as there
// is time.
func (c *caller) takeUpAfterRestart(o *outcome) {
	for end := time.Now().Add(restartComeBack); time.Now().Before(end); time.Sleep(restartPause) {
		next := c.nextTakeUp(o)
		c.send(&next)
		c.soak.record(next)
		if next.status == http.StatusOK && next.err == nil {
			return
		}
		o = &next
	}
}

// checkRestart checks that of the streams that a kill of routers broke off, and whose
// upstream was there afterwards, nine of ten went on.
func (s *Soak) checkRestart(phase restartPhase, outcomes []outcome) {
	there := make(map[string]bool)
	for _, u := range s.fleet.upstreams {
		there[u.id] = !u.crashed && (u.drainingSince.IsZero() || u.drainingSince.After(phase.to))
	}
	wentOn := make(map[string]bool)
	for i := range outcomes {
		if o := &outcomes[i]; o.attempt != o.first && o.status == http.StatusOK && (o.err == nil || errors.Is(o.err, errLeft)) {
			wentOn[o.first] = true
		}
	}
	broken, resumed := 0, 0
	for i := range outcomes {
		o := &outcomes[i]
		if o.attempt == o.first && o.cutByKill(phase) && there[o.upstream] {
			if broken++; wentOn[o.first] {
				resumed++
			}
		}
	}
	s.logf("%d of %d streams broken off by a kill of %d routers went on", resumed, broken, phase.routers)
	if broken >= minRestarted && resumed*10 < broken*9 {
		s.addViolation("LOST", "all", "%d of %d streams broken off by a kill of %d routers, whose upstream was there, went on", resumed, broken, phase.routers)
	}
}

// cutByKill reports whether a resumable stream broke off, behind its first event, when
// routers were killed.
func (o *outcome) cutByKill(phase restartPhase) bool {
	return o.route == "/resume/" && o.received > 0 && o.err != nil && !errors.Is(o.err, errLeft) &&
		o.started.Before(phase.killed) && o.finished.After(phase.killed.Add(-restartPause)) && o.finished.Before(phase.killed.Add(restartPause))
}
