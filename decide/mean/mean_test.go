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

// Property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "292") }

const ms = time.Millisecond

func TestCollectorDropsOldAndUndatedReports(t *testing.T) {
	c := NewCollector(Options{FailureDomain: "a", Incarnation: 7, ReportLimit: 100 * ms})
	stamp := c.Stamp(10 * ms)
	must.False(t, c.Report("x", 5, Echo{}, 20*ms))
	must.False(t, c.Report("x", 5, Echo{Incarnation: 6, Clock: 10 * ms}, 20*ms))
	must.False(t, c.Report("x", 5, Echo{Incarnation: 7, Clock: 10 * ms, Held: -1}, 20*ms))
	must.Eq(t, Mean{}, c.Mean(20*ms))
	must.True(t, c.Report("x", 5, stamp, 20*ms))
	stamp.Held = 30 * ms
	must.True(t, c.Report("y", 1, stamp, 60*ms)) // sent at 40 ms or later, whenever it arrives
	must.True(t, c.Report("y", 9, c.Stamp(20*ms), 61*ms))
	must.Eq(t, Mean{Mean: 3, Replicas: 2, Age: 60 * ms}, c.Mean(70*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 12, Replicas: 2, Age: 20 * ms}, c.Stamp(70*ms), 80*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "a", Sum: 99, Replicas: 9}, c.Stamp(70*ms), 80*ms))
	must.Eq(t, Mean{Mean: 4.5, Replicas: 4, Age: 70 * ms}, c.Mean(80*ms))
	// A sum sent later replaces the previous one even if its oldest part is older.
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 16, Replicas: 2, Age: 50 * ms}, c.Stamp(75*ms), 80*ms))
	must.True(t, c.Merge(Partial{FailureDomain: "b", Sum: 99, Replicas: 2}, c.Stamp(72*ms), 80*ms))
	must.Eq(t, Mean{Mean: 5.5, Replicas: 4, Age: 70 * ms}, c.Mean(80*ms))
	must.Eq(t, Partial{FailureDomain: "a", Sum: 1, Replicas: 1, Age: 80 * ms}, c.Partial(120*ms))
	c.Remove("y")
	must.Eq(t, Mean{Mean: 8, Replicas: 2, Age: 96 * ms}, c.Mean(121*ms))
	must.Eq(t, Mean{}, c.Mean(200*ms))
}

func TestReporterDue(t *testing.T) {
	must.Eq(t, 7*time.Second, MeasuredAfter(Mean{Age: 3 * time.Second}, 10*time.Second))
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
	r.RecordStamp(Echo{Incarnation: 1, Clock: 9}, time.Second)
	r.RecordStamp(Echo{Incarnation: 1, Clock: 5}, 2*time.Second)
	must.Eq(t, Echo{Incarnation: 1, Clock: 9, Held: 2 * time.Second}, r.Send(1, 3*time.Second))
}

// simulation runs agents and collectors over a network that delays, reorders and
// loses messages, with unrelated clocks, collectors that restart and agents that
// switch between collectors. It records every load at every step.
type simulation struct {
	t                 *rapid.T
	multiple          float64
	fresh             time.Duration
	now               time.Duration
	history           [][]int // load of each agent, by step
	agents            []*agent
	nodes             []*node
	inFlight          []message
	collectorsStarted uint64 // number of collectors started; also the newest incarnation
}

type agent struct {
	reporter          *Reporter
	bound             *admit.Bound
	load              int
	node              int
	hostsInMean       []int // hosts in the newest mean; kept for checking only
	meanMeasuredAfter time.Duration
	offset            time.Duration
}

type node struct {
	collector      *Collector
	offset         time.Duration
	echoes         map[int]Echo          // by peer
	echoReceivedAt map[int]time.Duration // by peer
	peerHosts      map[string][]int      // hosts in the newest partial sum, by failure domain; kept for checking only
}

type message struct {
	due     time.Duration
	deliver func()
}

const step = 100 * ms

func (s *simulation) send(deliver func()) {
	if rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
		return
	}
	delay := time.Duration(rapid.IntRange(0, 30).Draw(s.t, "delay")) * step
	s.inFlight = append(s.inFlight, message{s.now + delay, deliver})
}

func (s *simulation) newCollector(domain int) *Collector {
	s.collectorsStarted++
	return NewCollector(Options{FailureDomain: fmt.Sprint(domain), ReportLimit: s.fresh, Incarnation: s.collectorsStarted})
}

func (s *simulation) report(i int) {
	a := s.agents[i]
	if rapid.IntRange(0, 7).Draw(s.t, "moves") == 0 {
		a.node = 1 - a.node
	}
	n := s.nodes[a.node]
	sent, load := s.now+a.offset, float64(a.load)
	echo := a.reporter.Send(load, sent)
	s.send(func() {
		n.collector.Report(fmt.Sprint(i), load, echo, s.now+n.offset)
		m, stamp, hosts := n.collector.Mean(s.now+n.offset), n.collector.Stamp(s.now+n.offset), n.hostsInMean()
		s.send(func() {
			a.reporter.RecordStamp(stamp, s.now+a.offset)
			a.bound.ObserveMean(m.Mean, m.Replicas, MeasuredAfter(m, sent))
			if float64(m.Replicas) > s.multiple && MeasuredAfter(m, sent) >= a.meanMeasuredAfter-s.fresh {
				a.hostsInMean, a.meanMeasuredAfter = hosts, MeasuredAfter(m, sent)
			}
		})
	})
}

// hostsInMean returns the hosts in the collector's mean. It must be called after Mean,
// which drops old reports.
func (n *node) hostsInMean() []int {
	var hosts []int
	for id := range n.collector.reports {
		var i int
		fmt.Sscan(id, &i)
		hosts = append(hosts, i)
	}
	for domain := range n.collector.peers {
		hosts = append(hosts, n.peerHosts[domain]...)
	}
	return hosts
}

func (s *simulation) exchange(from, to int) {
	f, t := s.nodes[from], s.nodes[to]
	part := f.collector.Partial(s.now + f.offset)
	var hosts []int
	for id := range f.collector.reports {
		var i int
		fmt.Sscan(id, &i)
		hosts = append(hosts, i)
	}
	echo := f.echoes[to]
	echo.Held = s.now + f.offset - f.echoReceivedAt[to]
	stamp := f.collector.Stamp(s.now + f.offset)
	s.send(func() {
		sent := min(s.now+t.offset, echo.Clock+echo.Held)
		if t.collector.Merge(part, echo, s.now+t.offset) && t.collector.peers[part.FailureDomain].sentAfter == sent {
			t.peerHosts[part.FailureDomain] = hosts
		}
		t.echoes[from], t.echoReceivedAt[from] = stamp, s.now+t.offset
	})
}

// admitOne admits a unit of load if the limit allows it, and checks that the load is
// at most the bound computed from the highest loads that the replicas in the mean had
// within the freshness time.
func (s *simulation) admitOne(i int) {
	a := s.agents[i]
	if a.load+1 > a.bound.Limit(s.now+a.offset) {
		return
	}
	a.load++
	if a.bound.State(s.now+a.offset) != admit.StateFresh {
		return
	}
	sum, from := 0, len(s.history)-1-int(s.fresh/step)
	for _, j := range a.hostsInMean {
		top := 0
		for _, loads := range s.history[max(0, from):] {
			top = max(top, loads[j])
		}
		sum += top
	}
	bound := math.Max(1, math.Ceil(s.multiple*float64(sum)/float64(len(a.hostsInMean))))
	if float64(a.load) > bound {
		s.t.Fatalf("at %v agent %d admitted load %d, bound %v over %v", s.now, i, a.load, bound, a.hostsInMean)
	}
}

func TestBoundHoldsWithDelayedLostAndInconsistentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, multiple: 1.5, fresh: 2 * time.Second}
		for i := range rapid.IntRange(2, 6).Draw(t, "agents") {
			s.agents = append(s.agents, &agent{
				reporter: NewReporter(ReporterOptions{}), offset: time.Duration(1000+1000*i) * time.Second,
				bound: admit.NewBound(admit.Options{Multiple: s.multiple, FreshFor: s.fresh}), load: rapid.IntRange(0, 30).Draw(t, "load"),
			})
		}
		for d := range 2 {
			s.nodes = append(s.nodes, &node{
				collector: s.newCollector(d), offset: time.Duration(50+500*d) * time.Second,
				echoes: map[int]Echo{}, echoReceivedAt: map[int]time.Duration{}, peerHosts: map[string][]int{},
			})
		}
		for range 60 {
			loads := make([]int, len(s.agents))
			for i, a := range s.agents {
				loads[i] = a.load
			}
			s.history = append(s.history, loads)
			s.runStep()
		}
	})
}

func (s *simulation) runStep() {
	i := rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "agent")
	a := s.agents[i]
	a.load -= min(a.load, rapid.IntRange(0, 10).Draw(s.t, "finished"))
	s.report(i)
	s.report(rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "other"))
	if rapid.Bool().Draw(s.t, "exchange") {
		s.exchange(0, 1)
		s.exchange(1, 0)
	}
	if rapid.IntRange(0, 40).Draw(s.t, "restart") == 0 {
		s.nodes[1].collector = s.newCollector(1)
	}
	pending := s.inFlight
	s.inFlight = nil
	for _, m := range pending {
		if m.due <= s.now {
			m.deliver()
		} else {
			s.inFlight = append(s.inFlight, m)
		}
	}
	for range 3 {
		s.admitOne(rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "admitting"))
	}
	s.now += step
}
