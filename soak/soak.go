package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/standin/platform"
)

// Options sets up a Soak. Zero values mean the defaults.
type Options struct {
	Seed      uint64
	Binary    string // of the routers
	Dir       string // for settings and logs
	Rounds    int    // of faults and calm
	Routers   int
	Upstreams int
	Callers   int
	Log       io.Writer
}

// Soak is one seeded run. Use New and Run.
type Soak struct {
	opts   Options
	random *rand.Rand
	fleet  *fleet

	mu         sync.Mutex
	outcomes   []outcome
	violations []string
	calm       []span // without faults, the time for recovery left out
	stops      []stop
	departures []departure
}

type span struct{ from, to time.Time }

// stop is a planned stop of a router in a calm time.
type stop struct {
	router int
	span
}

// departure is an upstream that left in a calm time.
type departure struct {
	up *upstream
	to time.Time // until when the calm lasted
}

// New starts the fleet of a soak.
func New(opts Options) (*Soak, error) {
	opts.Rounds, opts.Routers = orDefault(opts.Rounds, 3), orDefault(opts.Routers, 4)
	opts.Upstreams, opts.Callers = orDefault(opts.Upstreams, 5), orDefault(opts.Callers, 12)
	f, err := newFleet(opts.Binary, opts.Dir, opts.Routers, opts.Upstreams)
	if err != nil {
		return nil, err
	}
	return &Soak{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), fleet: f}, nil
}

func orDefault(v, other int) int {
	if v > 0 {
		return v
	}
	return other
}

func (s *Soak) violation(rule, attempt, format string, args ...any) {
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

// Run plays the rounds and returns the violations.
func (s *Soak) Run() ([]string, error) {
	s.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.opts.Callers {
		c := &caller{soak: s, number: i, random: rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i)))}
		callers.Go(func() { c.run(stop) })
	}
	for round := range s.opts.Rounds {
		s.logf("round %d: faults", round)
		s.faults()
		time.Sleep(recovery)
		s.logf("round %d: calm", round)
		s.playCalm()
	}
	close(stop)
	callers.Wait()
	err := s.fleet.close()
	s.check()
	return s.violations, err
}

const (
	// recovery is the time after the last fault from which the promises with a
	// time bound hold.
	recovery = 4 * time.Second
	// readyLimit ends the wait for the routers' start.
	readyLimit = 30 * time.Second
)

// awaitReady waits until each router serves.
func (s *Soak) awaitReady() {
	probe := &caller{soak: s}
	for i := range s.fleet.routers {
		for begun := time.Now(); time.Since(begun) < readyLimit; time.Sleep(20 * time.Millisecond) {
			if s.probe(probe, i, 1) == http.StatusOK {
				break
			}
		}
	}
}

// probe asks a router for the route of a version and returns the status; 0 if
// there was no answer.
func (s *Soak) probe(c *caller, router int, version uint64) int {
	response, err := c.request(router, versionPath(version)+"x", fmt.Sprintf("s%d-probe-%d-%d-%d", s.opts.Seed, router, version, time.Now().UnixNano()))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status tells all
	return response.StatusCode
}

// fault harms something and returns how to heal it.
type fault struct {
	name string
	play func(s *Soak) (heal func())
}

func (s *Soak) anyRouter() *router     { return s.fleet.routers[s.random.IntN(len(s.fleet.routers))] }
func (s *Soak) anyUpstream() *upstream { return s.fleet.ready()[s.random.IntN(len(s.fleet.ready()))] }

func nothing() {}

var faultKinds = []fault{
	{"router killed", func(s *Soak) func() { s.anyRouter().signal(syscall.SIGKILL); return nothing }},
	{"router frozen", func(s *Soak) func() {
		r := s.anyRouter()
		r.signal(syscall.SIGSTOP)
		return func() { r.signal(syscall.SIGCONT) }
	}},
	{"router stopped", func(s *Soak) func() { go s.anyRouter().terminate(); return nothing }},
	{"all routers killed", func(s *Soak) func() {
		for _, r := range s.fleet.routers {
			r.signal(syscall.SIGKILL)
		}
		return nothing
	}},
	{"router told to reload", func(s *Soak) func() { s.anyRouter().signal(syscall.SIGHUP); return nothing }},
	{"store refuses", func(s *Soak) func() { return s.storeFault(platform.Faults{Outage: platform.OutageRefuse}) }},
	{"store hangs", func(s *Soak) func() { return s.storeFault(platform.Faults{Outage: platform.OutageHang}) }},
	{"store slow", func(s *Soak) func() { return s.storeFault(platform.Faults{DelayMillis: 300}) }},
	{"store loses answers", func(s *Soak) func() { return s.storeFault(platform.Faults{LoseAnswers: 5}) }},
	{"store forgets history", func(s *Soak) func() { s.fleet.store.DropHistory(); return nothing }},
	{"store path", func(s *Soak) func() { return s.proxyFault(s.anyRouter().store) }},
	{"upstream path", func(s *Soak) func() { return s.proxyFault(s.anyUpstream().proxy) }},
	{"upstream path", func(s *Soak) func() { return s.proxyFault(s.anyUpstream().proxy) }},
	{"upstream path", func(s *Soak) func() { return s.proxyFault(s.anyUpstream().proxy) }},
	{"upstream path", func(s *Soak) func() { return s.proxyFault(s.anyUpstream().proxy) }},
	{"configuration", func(s *Soak) func() { s.fleet.publish(); return nothing }},
	{"upstream added", func(s *Soak) func() {
		if err := s.fleet.addUpstream(); err != nil {
			s.logf("cannot add an upstream: %v", err)
		}
		return nothing
	}},
}

func (s *Soak) storeFault(f platform.Faults) func() {
	s.fleet.store.SetFaults(f)
	return func() { s.fleet.store.SetFaults(platform.Faults{}) }
}

func (s *Soak) proxyFault(p *Proxy) func() {
	modes := []Mode{ModeDelay, ModeSilence, ModeOneWay, ModeReset, ModeLose}
	mode := modes[s.random.IntN(len(modes))]
	s.logf("proxy mode %d", mode)
	p.Set(mode)
	return func() { p.Set(ModePass) }
}

// faults plays a few faults that overlap, and heals them.
func (s *Soak) faults() {
	var heals []func()
	for range 2 + s.random.IntN(4) {
		kind := faultKinds[s.random.IntN(len(faultKinds))]
		s.logf("fault: %s", kind.name)
		heals = append(heals, kind.play(s))
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	for _, heal := range heals {
		heal()
	}
}

// Bounds of the promises.
const (
	configurationBound = 3 * time.Second
	leavingBound       = 2 * time.Second
)

// playCalm changes the configuration, lets an upstream leave and stops a router
// as planned, and checks what must hold then.
func (s *Soak) playCalm() {
	from := time.Now()
	version := s.fleet.publish()
	var up *upstream
	if ready := s.fleet.ready(); len(ready) > 2 {
		up = ready[s.random.IntN(len(ready))]
		s.fleet.leave(up)
	}
	time.Sleep(configurationBound)
	c := &caller{soak: s}
	for i := range s.fleet.routers {
		if status := s.probe(c, i, version); status == http.StatusNotFound || status == http.StatusUnauthorized {
			s.violation("CONFIG", fmt.Sprint("router-", i), "version %d is not in force after %v: %d", version, configurationBound, status)
		}
	}
	planned := stop{router: s.random.IntN(len(s.fleet.routers)), span: span{from: time.Now()}}
	s.logf("planned stop of router-%d", planned.router)
	s.fleet.routers[planned.router].terminate()
	planned.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, planned)
	s.calm = append(s.calm, span{from, planned.to})
	if up != nil {
		s.departures = append(s.departures, departure{up, planned.to})
	}
}
