package soak

import (
	"fmt"
	"net/http"
	"time"

	"dandelionrill.example/standin/platform"
)

const (
	// awayTime is how long the store is away before it returns from a copy.
	awayTime = 500 * time.Millisecond
	// unwrittenTime is the time from the store's return until the operator and the
	// replicas write again.
	unwrittenTime = time.Second
	// lostVersions is the number of further versions that the copy does not have. They
	// are more than what is written again, so that revisions stay lower than before.
	lostVersions = 20
)

// returnStore takes the store away for a time and returns it from its last copy.
func (s *Soak) returnStore(away time.Duration) {
	before := s.fleet.store.Faults()
	s.fleet.store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	time.Sleep(away)
	s.fleet.store.Restore()
	s.fleet.store.SetFaults(before)
}

// runStoreReturn returns the store from a copy that has neither the newest version of
// the configuration nor the newest state of an upstream. It checks that the version
// stays in force at every router, and that a version written after the return is in
// force in time, and records the upstream's drain for check.
func (s *Soak) runStoreReturn() {
	from := time.Now()
	s.fleet.store.Copy()
	version := s.fleet.publishConfiguration()
	for range lostVersions {
		version = s.fleet.publishConfiguration()
	}
	drained := s.drainOne(3)
	time.Sleep(propagationLimit)
	s.checkInForce(version, fmt.Sprintf("after %v", propagationLimit))
	s.returnStore(awayTime)
	for start := time.Now(); time.Since(start) < unwrittenTime; time.Sleep(unwrittenTime / 10) {
		s.checkInForce(version, "after the store returned from a copy without it")
	}
	// This version and the entries get revisions that were given out before.
	version = s.fleet.publishConfiguration()
	s.fleet.writeAgain()
	time.Sleep(recoveryTime)
	s.checkInForce(version, "after it was written in the store's new era")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFree = append(s.faultFree, period{from, time.Now()})
	if drained != nil {
		s.drains = append(s.drains, upstreamDrain{drained, time.Now()})
	}
}

// checkInForce checks that every router that answers has the version in force.
func (s *Soak) checkInForce(version uint64, when string) {
	c := &caller{soak: s}
	for i := range s.fleet.routers {
		if status := s.probe(c, i, version); status == http.StatusNotFound || status == http.StatusUnauthorized {
			s.addViolation("CONFIG", fmt.Sprint("router-", i), "version %d is not in force %s: status %d", version, when, status)
		}
	}
}
