package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
)

const (
	// crashingTime is the length of a phase in which some work crashes upstreams.
	crashingTime = 14 * time.Second
	// contactLimit is the time from the fifth crash in which routers have to agree.
	contactLimit = 3 * time.Second
	// crashesToAgree is the number of upstreams after which that time begins.
	crashesToAgree = 5
	// maxCrashingSent is the number of requests of the work that may reach upstreams then.
	maxCrashingSent = 3
	// leaseTime is how long the entry of an upstream that has crashed is still listed, and
	// restartTime how long until another one takes its place.
	leaseTime   = 900 * time.Millisecond
	restartTime = 1500 * time.Millisecond
	// crashingShare is the number of requests of which one crashes upstreams.
	crashingShare = 8
)

// crashingWork crashes each upstream that begins to answer it: streams with a prompt part, or
// all requests of a route with a path.
type crashingWork struct {
	name  string // the prompt part, or the path below route; of one phase only
	route string // empty for a prompt part
}

// crashes reports whether requests of a route can be such work.
func (w *crashingWork) crashes(route string) bool {
	return w.route == route || w.route == "" && isStream(route)
}

// crashingPhase is a phase in which some work crashed upstreams, but no other fault occurred.
type crashingPhase struct {
	period
	work crashingWork

	mu      sync.Mutex
	crashes []time.Time
}

// addCrashingWork lets some requests be work that crashes upstreams.
func (c *caller) addCrashingWork(o *outcome) {
	work := c.soak.crashingWork.Load()
	if work == nil || !work.crashes(o.route) || c.random.IntN(crashingShare) != 0 {
		return
	}
	o.crashing = work.name
	if work.route != "" {
		o.path = work.name
	}
}

// runCrashingPhase lets some work crash each upstream that begins to answer it, and records the
// phase for check. Another upstream takes the place of each.
func (s *Soak) runCrashingPhase(work crashingWork) {
	phase := &crashingPhase{work: work}
	phase.from = time.Now()
	for _, u := range s.fleet.active() {
		s.crashOn(u, phase)
	}
	s.crashingWork.Store(&phase.work)
	time.Sleep(crashingTime)
	s.crashingWork.Store(nil)
	time.Sleep(slowTimeout) // requests may still end
	phase.to = time.Now()
	s.logf("%d upstreams crashed", len(phase.crashes))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing = append(s.crashing, phase)
}

// crashOn makes the work of the phase crash an upstream.
func (s *Soak) crashOn(u *upstream, phase *crashingPhase) {
	var once sync.Once
	crash := func() {
		once.Do(func() {
			phase.mu.Lock()
			phase.crashes = append(phase.crashes, time.Now())
			phase.mu.Unlock()
			_ = u.server.Close()
			u.proxy.Close()
			go s.replaceCrashed(u, phase)
		})
	}
	if phase.work.route == "" {
		u.replica.CrashOn(phase.work.name, crash)
		return
	}
	u.replica.CrashOnRequest(replica.CrashedBy{Customer: wire.Customer, Path: phase.work.route + phase.work.name, Body: requestBody}, crash)
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

// checkCrashingWork checks that at most maxCrashingSent requests of the work reach
// upstreams once the routers have had the time to agree on it, and that from twice that
// time on sound requests of its routes are served at least half as often as all requests were before.
func (s *Soak) checkCrashingWork(phase *crashingPhase, byAttempt map[string]*outcome) {
	if len(phase.crashes) < crashesToAgree {
		return
	}
	slices.SortFunc(phase.crashes, func(a, b time.Time) int { return a.Compare(b) })
	agreed := phase.crashes[crashesToAgree-1].Add(contactLimit)
	sent, last := 0, ""
	for _, u := range s.fleet.upstreams {
		for _, a := range u.replica.Arrivals() {
			if o := byAttempt[a.Attempt]; o != nil && o.crashing == phase.work.name && a.At.After(agreed) {
				sent, last = sent+1, a.Attempt
			}
		}
	}
	if sent > maxCrashingSent {
		s.addViolation("BUDGET", last, "%d requests of %q that had crashed %d upstreams reached upstreams; %d crashed in all", sent, phase.work, crashesToAgree, len(phase.crashes))
	}
	sound := period{from: agreed.Add(contactLimit), to: phase.to}
	asked, served := 0, 0
	for _, o := range byAttempt {
		if phase.work.crashes(o.route) && o.crashing == "" && within(o, []period{sound}) {
			asked++
			if o.answered() && o.status == http.StatusOK {
				served++
			}
		}
	}
	if served < asked/2 {
		s.addViolation("LOST", phase.work.name, "%d of %d sound requests were served while others crashed upstreams", served, asked)
	}
}
