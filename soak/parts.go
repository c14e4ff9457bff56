package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// crashingTime is the length of a phase in which a prompt part crashes upstreams.
	crashingTime = 14 * time.Second
	// contactLimit is the time from the fifth crash in which routers have to agree.
	contactLimit = 3 * time.Second
	// crashesToAgree is the number of upstreams after which that time begins.
	crashesToAgree = 5
	// maxCrashingSent is the number of requests with the part that may reach upstreams then.
	maxCrashingSent = 3
	// leaseTime is how long the entry of an upstream that has crashed is still listed, and
	// restartTime how long until another one takes its place.
	leaseTime   = 900 * time.Millisecond
	restartTime = 1500 * time.Millisecond
	// crashingShare is the number of streams of which one has the part.
	crashingShare = 8
)

// crashingPhase is a phase in which a prompt part crashed upstreams, but no other fault
// occurred.
type crashingPhase struct {
	period
	part string

	mu      sync.Mutex
	crashes []time.Time
}

// addCrashingPart adds the part that crashes upstreams to the prompts of some streams.
func (c *caller) addCrashingPart(o *outcome) {
	if part := c.soak.crashingPart.Load(); part != nil && isStream(o.route) && c.random.IntN(crashingShare) == 0 {
		o.crashing = *part
	}
}

// runCrashingPhase lets a part of some prompts crash each upstream that begins to answer
// one, and records the phase for check. Another upstream takes the place of each.
func (s *Soak) runCrashingPhase(round int) {
	phase := &crashingPhase{part: fmt.Sprint("bad", round)}
	phase.from = time.Now()
	for _, u := range s.fleet.active() {
		s.crashOn(u, phase)
	}
	s.crashingPart.Store(&phase.part)
	time.Sleep(crashingTime)
	s.crashingPart.Store(nil)
	time.Sleep(slowTimeout) // requests may still end
	phase.to = time.Now()
	s.logf("%d upstreams crashed", len(phase.crashes))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing = append(s.crashing, phase)
}

// crashOn makes the part of the phase crash an upstream.
func (s *Soak) crashOn(u *upstream, phase *crashingPhase) {
	var once sync.Once
	u.replica.CrashOn(phase.part, func() {
		once.Do(func() {
			phase.mu.Lock()
			phase.crashes = append(phase.crashes, time.Now())
			phase.mu.Unlock()
			_ = u.server.Close()
			u.proxy.Close()
			go s.replaceCrashed(u, phase)
		})
	})
}

// replaceCrashed removes the entry of an upstream that has crashed, and starts another one.
func (s *Soak) replaceCrashed(u *upstream, phase *crashingPhase) {
	time.Sleep(leaseTime)
	s.fleet.crashed(u)
	time.Sleep(restartTime - leaseTime)
	if err := s.fleet.addUpstream(); err != nil {
		s.logf("failed to replace an upstream: %v", err)
		return
	}
	active := s.fleet.active()
	s.crashOn(active[len(active)-1], phase)
}

// checkCrashingPart checks that at most maxCrashingSent requests with the part reach
// upstreams once the routers have had the time to agree on it, and that from twice that
// time on sound streams are served at least half as often as all requests were before.
func (s *Soak) checkCrashingPart(phase *crashingPhase, byAttempt map[string]*outcome) {
	if len(phase.crashes) < crashesToAgree {
		return
	}
	slices.SortFunc(phase.crashes, func(a, b time.Time) int { return a.Compare(b) })
	agreed := phase.crashes[crashesToAgree-1].Add(contactLimit)
	sent, last := 0, ""
	for _, u := range s.fleet.upstreams {
		for _, a := range u.replica.Arrivals() {
			if o := byAttempt[a.Attempt]; o != nil && o.crashing == phase.part && a.At.After(agreed) {
				sent, last = sent+1, a.Attempt
			}
		}
	}
	if sent > maxCrashingSent {
		s.addViolation("BUDGET", last, "%d requests with a prompt part that had crashed %d upstreams reached upstreams; %d crashed in all", sent, crashesToAgree, len(phase.crashes))
	}
	sound := period{from: agreed.Add(contactLimit), to: phase.to}
	asked, served := 0, 0
	for _, o := range byAttempt {
		if isStream(o.route) && o.crashing == "" && within(o, []period{sound}) {
			asked++
			if o.answered() && o.status == http.StatusOK {
				served++
			}
		}
	}
	if served < asked/2 {
		s.addViolation("LOST", phase.part, "%d of %d sound streams were served while a prompt part crashed upstreams", served, asked)
	}
}
