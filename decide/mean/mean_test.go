package mean

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"dandelionrill.example/fleet/decide/admit"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The checks run on a fixed seed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "292") }

const ms = time.Millisecond

func TestCollectorDropsOldAndUndated(t *testing.T) {
	c := NewCollector(Options{FailureDomain: "a", Incarnation: 7, ReportLimit: 100 * ms})
	stamp := c.Stamp(10 * ms)
	must.False(t, c.Report("x", 5, Echo{}, 20*ms))
	must.False(t, c.Report("x", 5, Echo{Incarnation: 6, Clock: 10 * ms}, 20*ms))
	must.False(t, c.Report("x", 5, Echo{Incarnation: 7, Clock: 10 * ms, Held: -1}, 20*ms))
	must.Eq(t, Mean{}, c.Mean(20*ms))
	must.True(t, c.Report("x", 5, stamp, 20*ms))
	stamp.Held = 30 * ms
	must.True(t, c.Report("y", 1, stamp, 60*ms)) // dated 40 ms, whenever it arrives
	must.True(t, c.Report("y", 9, c.Stamp(20*ms), 61*ms))
	must.Eq(t, Mean{Mean: 3, Replicas: 2, Age: 60 * ms}, c.Mean(70*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 12, Replicas: 2, Age: 20 * ms}, c.Stamp(70*ms), 80*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "a", Sum: 99, Replicas: 9}, c.Stamp(70*ms), 80*ms))
	must.Eq(t, Mean{Mean: 4.5, Replicas: 4, Age: 70 * ms}, c.Mean(80*ms))
	// A later sum counts although one of its parts is older than any before.
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 16, Replicas: 2, Age: 50 * ms}, c.Stamp(75*ms), 80*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 99, Replicas: 2}, c.Stamp(72*ms), 80*ms))
	must.Eq(t, Mean{Mean: 5.5, Replicas: 4, Age: 70 * ms}, c.Mean(80*ms))
	must.Eq(t, Partial{FailureDomain: "a", Sum: 1, Replicas: 1, Age: 80 * ms}, c.Partial(120*ms))
	c.Leave("y")
	must.Eq(t, Mean{Mean: 8, Replicas: 2, Age: 96 * ms}, c.Mean(121*ms))
	must.Eq(t, Mean{}, c.Mean(200*ms))
}

func TestReporterDue(t *testing.T) {
	must.Eq(t, 7*time.Second, TrueAt(Mean{Age: 3 * time.Second}, 10*time.Second))
	r := NewReporter(ReporterOptions{})
	must.True(t, r.Due(0, 0))
	r.Send(50, 0)
	for _, tc := range []struct {
		load float64
		now  time.Duration
		due  bool
	}{{90, 900 * ms, false}, {63, time.Second, true}, {62, time.Second, false}, {37, time.Second, true}, {50, 4 * time.Second, false}, {50, 5 * time.Second, true}} {
		must.Eq(t, tc.due, r.Due(tc.load, tc.now), must.Sprint(tc))
	}
	r.Heard(Echo{Incarnation: 1, Clock: 9}, time.Second)
	r.Heard(Echo{Incarnation: 1, Clock: 5}, 2*time.Second)
	must.Eq(t, Echo{Incarnation: 1, Clock: 9, Held: 2 * time.Second}, r.Send(1, 3*time.Second))
}

// pool drives agents and collectors over a network that delays, reorders and
// loses messages, with unrelated clocks, collectors that restart and agents
// that choose different collectors. It knows every load at every step.
type pool struct {
	t        *rapid.T
	multiple float64
	fresh    time.Duration
	now      time.Duration
	history  [][]int // load of each agent by step
	agents   []*member
	hubs     []*hub
	flight   []message
	started  uint64 // collectors
}

type member struct {
	reporter *Reporter
	bound    *admit.Bound
	load     int
	hub      int
	covered  []int // ghost: hosts in the newest mean
	meanAt   time.Duration
	offset   time.Duration
}

type hub struct {
	collector *Collector
	offset    time.Duration
	echoes    map[int]Echo          // by peer
	heard     map[int]time.Duration // by peer
	ghosts    map[string][]int      // ghost: hosts in a peer's newest partial sum
}

type message struct {
	due     time.Duration
	deliver func()
}

const step = 100 * ms

func (p *pool) send(deliver func()) {
	if rapid.IntRange(0, 9).Draw(p.t, "lost") == 0 {
		return
	}
	delay := time.Duration(rapid.IntRange(0, 30).Draw(p.t, "delay")) * step
	p.flight = append(p.flight, message{p.now + delay, deliver})
}

func (p *pool) newCollector(domain int) *Collector {
	p.started++
	return NewCollector(Options{FailureDomain: fmt.Sprint(domain), ReportLimit: p.fresh, Incarnation: p.started})
}

func (p *pool) report(i int) {
	a := p.agents[i]
	if rapid.IntRange(0, 7).Draw(p.t, "moves") == 0 {
		a.hub = 1 - a.hub
	}
	h := p.hubs[a.hub]
	sent, load := p.now+a.offset, float64(a.load)
	echo := a.reporter.Send(load, sent)
	p.send(func() {
		h.collector.Report(fmt.Sprint(i), load, echo, p.now+h.offset)
		m, stamp, covered := h.collector.Mean(p.now+h.offset), h.collector.Stamp(p.now+h.offset), h.covered()
		p.send(func() {
			a.reporter.Heard(stamp, p.now+a.offset)
			a.bound.ObserveMean(m.Mean, m.Replicas, TrueAt(m, sent))
			if float64(m.Replicas) > p.multiple && TrueAt(m, sent) >= a.meanAt-p.fresh {
				a.covered, a.meanAt = covered, TrueAt(m, sent)
			}
		})
	})
}

// covered returns the hosts in the collector's mean, read after Mean dropped old ones.
func (h *hub) covered() []int {
	var hosts []int
	for id := range h.collector.reports {
		var i int
		fmt.Sscan(id, &i)
		hosts = append(hosts, i)
	}
	for domain := range h.collector.peers {
		hosts = append(hosts, h.ghosts[domain]...)
	}
	return hosts
}

func (p *pool) exchange(from, to int) {
	f, t := p.hubs[from], p.hubs[to]
	part := f.collector.Partial(p.now + f.offset)
	var ghost []int
	for id := range f.collector.reports {
		var i int
		fmt.Sscan(id, &i)
		ghost = append(ghost, i)
	}
	echo := f.echoes[to]
	echo.Held = p.now + f.offset - f.heard[to]
	stamp := f.collector.Stamp(p.now + f.offset)
	p.send(func() {
		sent := min(p.now+t.offset, echo.Clock+echo.Held)
		if t.collector.Merge(part, echo, p.now+t.offset) && t.collector.peers[part.FailureDomain].sent == sent {
			t.ghosts[part.FailureDomain] = ghost
		}
		t.echoes[from], t.heard[from] = stamp, p.now+t.offset
	})
}

// admitOne admits a unit of load where the limit allows and checks the promise:
// the load is at most the bound over loads that the covered replicas had within
// the freshness time.
func (p *pool) admitOne(i int) {
	a := p.agents[i]
	if a.load+1 > a.bound.Limit(p.now+a.offset) {
		return
	}
	a.load++
	if a.bound.State(p.now+a.offset) != admit.StateFresh {
		return
	}
	sum, from := 0, len(p.history)-1-int(p.fresh/step)
	for _, j := range a.covered {
		top := 0
		for _, loads := range p.history[max(0, from):] {
			top = max(top, loads[j])
		}
		sum += top
	}
	bound := math.Max(1, math.Ceil(p.multiple*float64(sum)/float64(len(a.covered))))
	if float64(a.load) > bound {
		p.t.Fatalf("at %v agent %d admitted load %d, bound %v over %v", p.now, i, a.load, bound, a.covered)
	}
}

func TestBoundHoldsOverLaggingLostAndDisagreeingReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pool{t: t, multiple: 1.5, fresh: 2 * time.Second}
		for i := range rapid.IntRange(2, 6).Draw(t, "agents") {
			p.agents = append(p.agents, &member{
				reporter: NewReporter(ReporterOptions{}), offset: time.Duration(1000+1000*i) * time.Second,
				bound: admit.NewBound(admit.Options{Multiple: p.multiple, FreshFor: p.fresh}), load: rapid.IntRange(0, 30).Draw(t, "load"),
			})
		}
		for d := range 2 {
			p.hubs = append(p.hubs, &hub{
				collector: p.newCollector(d), offset: time.Duration(50+500*d) * time.Second,
				echoes: map[int]Echo{}, heard: map[int]time.Duration{}, ghosts: map[string][]int{},
			})
		}
		for range 60 {
			loads := make([]int, len(p.agents))
			for i, a := range p.agents {
				loads[i] = a.load
			}
			p.history = append(p.history, loads)
			p.turn()
		}
	})
}

func (p *pool) turn() {
	i := rapid.IntRange(0, len(p.agents)-1).Draw(p.t, "agent")
	a := p.agents[i]
	a.load -= min(a.load, rapid.IntRange(0, 10).Draw(p.t, "finished"))
	p.report(i)
	p.report(rapid.IntRange(0, len(p.agents)-1).Draw(p.t, "other"))
	if rapid.Bool().Draw(p.t, "exchange") {
		p.exchange(0, 1)
		p.exchange(1, 0)
	}
	if rapid.IntRange(0, 40).Draw(p.t, "restart") == 0 {
		p.hubs[1].collector = p.newCollector(1)
	}
	waiting := p.flight
	p.flight = nil
	for _, m := range waiting {
		if m.due <= p.now {
			m.deliver()
		} else {
			p.flight = append(p.flight, m)
		}
	}
	for range 3 {
		p.admitOne(rapid.IntRange(0, len(p.agents)-1).Draw(p.t, "admitting"))
	}
	p.now += step
}
