package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionrill.example/standin/platform"
)

// Options configures a Soak. A zero number selects the default.
type Options struct {
	Seed      uint64
	Binary    string // path of the router binary
	Dir       string // directory for settings and logs
	Rounds    int    // each with a fault phase and a fault-free phase
	Routers   int
	Upstreams int
	Callers   int
	Faults    Faults // beside those of every soak
	Log       io.Writer
}

// Soak is one soak test run with a fixed seed. Create it with New, then call Run.
type Soak struct {
	opts   Options
	random *rand.Rand
	fleet  *fleet
	loads  int // started by startLoad

	slowStreams  atomic.Bool                  // callers open slow streams too
	slowBodies   atomic.Bool                  // the bodies of some requests pause
	comeBack     atomic.Bool                  // callers come back to streams that a kill of all routers broke off
	sessions     atomic.Bool                  // the streams to which callers come back belong to sessions
	leaveStreams atomic.Bool                  // callers leave streams and take them up again
	crashingWork atomic.Pointer[crashingWork] // that some requests are; nil if none is

	mu         sync.Mutex
	outcomes   []outcome
	violations []string
	faultFree  []period // fault-free phases, without the recovery time before them
	shutdowns  []routerShutdown
	drains     []upstreamDrain
	silent     []period // phases in which upstreams fall silent, but no fault occurs
	taking     []takingPhase
	restarts   []restartPhase
	leaving    []period // fault-free phases in which an upstream says in its answers that it leaves
	troubled   []period // phases in which one upstream at a time spoils its answers, but no fault occurs
	crashing   []*crashingPhase
	limited    []*limitPhase
	cold       []coldPeriod
	evacuation []*evacuationPhase
	pressed    []*queuePhase
	refusing   []period // fault-free phases in which upstreams turn requests away for a time
}

type period struct{ from, to time.Time }

// routerShutdown is a graceful shutdown of a router in a fault-free phase.
type routerShutdown struct {
	router int
	period
}

// upstreamDrain is an upstream that was marked as leaving in a fault-free phase.
type upstreamDrain struct {
	upstream *upstream
	until    time.Time // end of the fault-free phase
}

// New starts the fleet and returns a Soak that is ready to run.
func New(opts Options) (*Soak, error) {
	opts.Rounds, opts.Routers = orDefault(opts.Rounds, 3), orDefault(opts.Routers, 4)
	upstreams, versionOf := 5, func(int) string { return "" }
	if opts.Faults.hasVersions() || opts.Faults.has(FaultLeaving) {
		upstreams = 8
	}
	if opts.Faults.hasVersions() {
		versionOf = versionsBySeed(opts.Seed)
	}
	opts.Upstreams, opts.Callers = orDefault(opts.Upstreams, upstreams), orDefault(opts.Callers, 12)
	f, err := newFleet(opts.Binary, opts.Dir, opts.Routers, opts.Upstreams, versionOf, opts.Faults)
	if err != nil {
		return nil, err
	}
	s := &Soak{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), fleet: f}
	s.slowStreams.Store(opts.Faults.hasVersions())
	return s, nil
}

func orDefault(v, defaultValue int) int {
	if v > 0 {
		return v
	}
	return defaultValue
}

// addViolation records that the guarantee named by rule was violated.
func (s *Soak) addViolation(rule, attempt, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%s %s: %s", rule, attempt, fmt.Sprintf(format, args...)))
}

func (s *Soak) record(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

func (s *Soak) logf(format string, args ...any) {
	fmt.Fprintf(s.opts.Log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// Run runs all rounds, closes the fleet and returns the violated guarantees.
func (s *Soak) Run() ([]string, error) {
	s.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.opts.Callers {
		c := &caller{soak: s, index: i, random: rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i)))}
		callers.Go(func() { c.run(stop) })
	}
	if s.opts.Faults.has(FaultCrowd) {
		callers.Go(func() { s.runCrowd(stop) })
	}
	if s.opts.Faults.has(FaultEntries) {
		callers.Go(func() { s.writeEntries(stop) })
	}
	for round := range s.opts.Rounds {
		s.logf("round %d: injecting faults", round)
		if s.opts.Faults.has(FaultVersions) {
			s.breakStreams()
		}
		s.injectFaults()
		time.Sleep(recoveryTime)
		s.logf("round %d: the store returns from a copy", round)
		s.runStoreReturn()
		if s.opts.Faults.has(FaultSilence) {
			s.logf("round %d: upstreams fall silent", round)
			s.runSilencePhase()
		}
		if s.opts.Faults.has(FaultVersions) {
			s.logf("round %d: callers leave streams and take them up again", round)
			s.runTakingPhase()
		}
		if s.opts.Faults.has(FaultLeaving) {
			s.logf("round %d: an upstream says in its answers that it leaves", round)
			s.runLeavingPhase()
		}
		if s.opts.Faults.has(FaultRetryAfter) {
			s.logf("round %d: upstreams turn requests away for a time", round)
			s.runRefusingPhase()
		}
		if s.opts.Faults.has(FaultLimits) {
			s.logf("round %d: upstreams name limits", round)
			s.runLimitPhase()
		}
		if s.opts.Faults.has(FaultTrouble) {
			s.logf("round %d: upstreams spoil their answers", round)
			s.runTroublePhase()
		}
		if s.opts.Faults.has(FaultParts) {
			s.logf("round %d: a prompt part crashes upstreams", round)
			s.runCrashingPhase(crashingWork{name: fmt.Sprint("part", round)})
		}
		if s.opts.Faults.has(FaultRequests) {
			s.logf("round %d: a request crashes upstreams", round)
			s.runCrashingPhase(crashingWork{name: fmt.Sprint("crash", round), route: routePrefixes[s.random.IntN(len(routePrefixes))]})
		}
		if s.opts.Faults.has(FaultLoss) {
			s.logf("round %d: one router is killed during turns of sessions", round)
			s.runTurnPhase([]*router{s.randomRouter()})
		}
		if s.opts.Faults.has(FaultRestart) {
			s.logf("round %d: all routers are killed at once", round)
			s.runRestartPhase()
		}
		if s.opts.Faults.has(FaultSessions) {
			s.logf("round %d: upstreams leave, and all routers are killed at once", round)
			s.runSessionPhase()
		}
		if s.opts.Faults.has(FaultTurns) {
			s.logf("round %d: all routers are killed at once during turns of sessions", round)
			s.runTurnPhase(s.fleet.routers)
		}
		if s.opts.Faults.has(FaultCold) {
			s.logf("round %d: cold upstreams", round)
			s.runColdPhase()
		}
		if s.opts.Faults.has(FaultEvacuation) {
			s.logf("round %d: failure domains are evacuated", round)
			s.runEvacuationPhase()
		}
		if s.opts.Faults.has(FaultQueue) {
			s.logf("round %d: more requests than slots", round)
			s.runQueuePhase()
		}
		s.logf("round %d: fault-free phase", round)
		s.checkMemory()
		s.runFaultFreePhase()
	}
	close(stop)
	callers.Wait()
	err := s.fleet.close()
	s.check()
	return s.violations, err
}

const (
	// recoveryTime is the time after the last fault is healed until the
	// guarantees with a time limit must hold again.
	recoveryTime = 4 * time.Second
	// readyTimeout limits the wait for each router to serve requests.
	readyTimeout = 30 * time.Second
)

// awaitReady waits until each router serves the first configuration version, at
// most readyTimeout for each.
func (s *Soak) awaitReady() {
	probe := &caller{soak: s}
	for i := range s.fleet.routers {
		for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(20 * time.Millisecond) {
			if s.probe(probe, i, 1) == http.StatusOK {
				break
			}
		}
	}
}

// probe sends a request to the route specific to a configuration version and
// returns the status, or 0 if no response arrived.
func (s *Soak) probe(c *caller, router int, version uint64) int {
	attempt := fmt.Sprintf("s%d-probe-%d-%d-%d", s.opts.Seed, router, version, time.Now().UnixNano())
	response, err := c.request(&outcome{attempt: attempt, router: router, route: versionPath(version), path: "x", deadline: callerTimeout})
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	return response.StatusCode
}

// fault is a kind of fault. inject causes it and returns a function that ends it.
type fault struct {
	name   string
	inject func(s *Soak) (heal func())
}

func (s *Soak) randomRouter() *router { return s.fleet.routers[s.random.IntN(len(s.fleet.routers))] }
func (s *Soak) randomUpstream() *upstream {
	return s.fleet.active()[s.random.IntN(len(s.fleet.active()))]
}

func nothingToHeal() {}

var faultKinds = []fault{
	{"router killed", func(s *Soak) func() { s.randomRouter().signal(syscall.SIGKILL); return nothingToHeal }},
	{"router frozen", func(s *Soak) func() {
		r := s.randomRouter()
		r.signal(syscall.SIGSTOP)
		return func() { r.signal(syscall.SIGCONT) }
	}},
	{"router stopped", func(s *Soak) func() { go s.randomRouter().terminate(); return nothingToHeal }},
	{"all routers killed", func(s *Soak) func() {
		for _, r := range s.fleet.routers {
			r.signal(syscall.SIGKILL)
		}
		return nothingToHeal
	}},
	{"router reloads its settings", func(s *Soak) func() { s.randomRouter().signal(syscall.SIGHUP); return nothingToHeal }},
	{"store refuses", func(s *Soak) func() { return s.storeFault(platform.Faults{Outage: platform.OutageRefuse}) }},
	{"store hangs", func(s *Soak) func() { return s.storeFault(platform.Faults{Outage: platform.OutageHang}) }},
	{"store slow", func(s *Soak) func() { return s.storeFault(platform.Faults{DelayMillis: 300}) }},
	{"store loses answers", func(s *Soak) func() { return s.storeFault(platform.Faults{LoseAnswers: 5}) }},
	{"store drops its watch history", func(s *Soak) func() { s.fleet.store.CompactHistory(); return nothingToHeal }},
	{"store returns from a copy", func(s *Soak) func() {
		s.fleet.store.Copy()
		time.Sleep(time.Duration(500+s.random.IntN(2000)) * time.Millisecond)
		s.returnStore(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
		return s.fleet.writeAgain
	}},
	{"network between a router and the store", func(s *Soak) func() { return s.proxyFault(s.randomRouter().storeProxy) }},
	{"network to an upstream", func(s *Soak) func() { return s.proxyFault(s.randomUpstream().proxy) }},
	{"network to an upstream", func(s *Soak) func() { return s.proxyFault(s.randomUpstream().proxy) }},
	{"network to an upstream", func(s *Soak) func() { return s.proxyFault(s.randomUpstream().proxy) }},
	{"network to an upstream", func(s *Soak) func() { return s.proxyFault(s.randomUpstream().proxy) }},
	{"new configuration version", func(s *Soak) func() { s.fleet.publishConfiguration(); return nothingToHeal }},
	{"upstream added", func(s *Soak) func() {
		if err := s.fleet.addUpstream(); err != nil {
			s.logf("failed to add an upstream: %v", err)
		}
		return nothingToHeal
	}},
}

func (s *Soak) storeFault(f platform.Faults) func() {
	s.fleet.store.SetFaults(f)
	return func() { s.fleet.store.SetFaults(platform.Faults{}) }
}

func (s *Soak) proxyFault(p *Proxy) func() {
	modes := []Mode{ModeDelay, ModeSilence, ModeOneWay, ModeReset, ModeLoseAnswer}
	mode := modes[s.random.IntN(len(modes))]
	s.logf("proxy fault mode %d", mode)
	p.SetMode(mode)
	return func() { p.SetMode(ModePass) }
}

// injectFaults injects two to five overlapping faults, and then heals them all.
func (s *Soak) injectFaults() {
	var heals []func()
	for range 2 + s.random.IntN(4) {
		kind := faultKinds[s.random.IntN(len(faultKinds))]
		s.logf("fault: %s", kind.name)
		heals = append(heals, kind.inject(s))
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	for _, heal := range heals {
		heal()
	}
}

// Time limits of the guarantees.
const (
	propagationLimit = 3 * time.Second // until a new configuration version is in force at every router
	drainLimit       = 2 * time.Second // until an upstream marked as leaving receives no more requests
)

// drainOne marks an upstream as leaving, or in one of two cases removes its entry without
// that, and returns it. If that would leave fewer than the minimum active, it does nothing
// and returns nil.
func (s *Soak) drainOne(minActive int) *upstream {
	active := s.fleet.active()
	if len(active) <= minActive {
		return nil
	}
	drained := active[s.random.IntN(len(active))]
	if s.random.IntN(2) == 0 {
		s.fleet.drain(drained)
	} else {
		s.fleet.remove(drained)
	}
	return drained
}

// stop shuts a router down gracefully. With FaultStops the SIGTERM is repeated, one to three
// times.
func (s *Soak) stop(r *router) {
	if s.opts.Faults.has(FaultStops) {
		r.signal(syscall.SIGTERM)
		for range s.random.IntN(3) {
			time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
			r.signal(syscall.SIGTERM)
		}
	}
	r.terminate()
}

// runFaultFreePhase publishes a configuration version, marks an upstream as
// leaving and shuts a router down gracefully. It checks that the version is in
// force at every router after propagationLimit, and records the shutdown and the
// drain for check.
func (s *Soak) runFaultFreePhase() {
	from := time.Now()
	if s.opts.Faults.has(FaultStops) {
		slow := s.slowStreams.Swap(true)
		defer s.slowStreams.Store(slow)
		s.slowBodies.Store(true)
		defer s.slowBodies.Store(false)
	}
	version := s.fleet.publishConfiguration()
	drained := s.drainOne(2)
	time.Sleep(propagationLimit)
	s.checkInForce(version, fmt.Sprintf("after %v", propagationLimit))
	shutdown := routerShutdown{router: s.random.IntN(len(s.fleet.routers)), period: period{from: time.Now()}}
	s.logf("graceful shutdown of router-%d", shutdown.router)
	s.stop(s.fleet.routers[shutdown.router])
	shutdown.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdowns = append(s.shutdowns, shutdown)
	s.faultFree = append(s.faultFree, period{from, shutdown.to})
	if drained != nil {
		s.drains = append(s.drains, upstreamDrain{drained, shutdown.to})
	}
}
