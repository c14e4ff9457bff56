package soak

import (
	"net/http"
	"time"

	"dandelionrill.example/standin/replica"
)

const (
	// troubleRepeats is how often in a phase an upstream spoils its answers.
	troubleRepeats = 3
	// troubleTime is the shortest time for which it does.
	troubleTime = 1500 * time.Millisecond
)

// runTroublePhase lets one upstream at a time spoil its answers, each time in a way that the
// seed chooses, and records the phase for check. Answers without end go on behind that time.
func (s *Soak) runTroublePhase() {
	from := time.Now()
	kinds := replica.Troubles()
	for range troubleRepeats {
		u, kind := s.randomUpstream(), kinds[s.random.IntN(len(kinds))]
		s.logf("%s spoils its answers in way %d", u.id, kind)
		u.replica.SetTrouble(kind)
		time.Sleep(troubleTime + time.Duration(s.random.IntN(1500))*time.Millisecond)
		u.replica.SetTrouble(replica.TroubleNone)
		time.Sleep(callerTimeout) // so that no request meets two upstreams that spoil its answers
	}
	time.Sleep(slowTimeout) // requests may still end
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = append(s.troubled, period{from, time.Now()})
}

// spoiledByOne reports whether a request that may be repeated was neither answered nor
// refused, although all upstreams but one were sound.
func (s *Soak) spoiledByOne(o *outcome) bool {
	switch {
	case !within(o, s.troubled):
		return false
	case o.route != "/safe/" && (o.route != "/resume/" || s.opts.Faults.hasVersions()):
		return false // a stream of one version may have no sound upstream left
	}
	return !o.answered() || o.status != http.StatusOK && !meansNotRun(o.status)
}
