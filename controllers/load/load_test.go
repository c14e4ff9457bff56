package load

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/mean"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/store"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// upstream is an agent with a fixed load that records what the reporter passes
// to it.
type upstream struct {
	load         int
	mu           sync.Mutex
	mean         float64
	meanReplicas int
	poolReplicas int
	age          time.Duration
}

func (u *upstream) Outstanding() int { return u.load }
func (u *upstream) Draining() bool   { return false }
func (u *upstream) ObserveReplicaCount(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.poolReplicas = n
}
func (u *upstream) ObserveMean(m float64, n int, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mean, u.meanReplicas, u.age = m, n, age
}

func (u *upstream) observed() (m float64, n, pool int, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mean, u.meanReplicas, u.poolReplicas, u.age
}

// fleet runs routers and agents that are connected over loopback.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	hosts  []store.Host
	boards []*board.Board
	group  sync.WaitGroup
}

func (f *fleet) newBoard() *board.Board {
	b := board.New()
	b.Adopt(&config.Config{Version: 1, Services: []config.Service{{ID: "model", LoadMultiple: 1.25}}}, "test")
	f.boards = append(f.boards, b)
	return b
}

func (f *fleet) newCaller() PoolCaller {
	p := link.NewPool(link.ClientOptions{})
	f.t.Cleanup(p.Close)
	return PoolCaller{Pool: p}
}

// startRouter starts a router in a failure domain and returns a function that
// stops it.
func (f *fleet) startRouter(name, domain string) func() {
	c := NewCollectors(f.newBoard())
	server, err := link.NewServer(link.ServerOptions{}, RPCName, NewService(c))
	must.NoError(f.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	f.hosts = append(f.hosts, store.Host{Name: name, Role: store.RoleRouter, FailureDomain: domain, Address: l.Addr().String(), State: store.HostLive})
	ctx, cancel := context.WithCancel(f.ctx)
	caller := f.newCaller()
	f.group.Go(func() { _ = server.Serve(l) })
	f.group.Go(func() { c.Run(ctx, ExchangeOptions{Host: name, Caller: caller, Interval: 20 * time.Millisecond}) })
	return func() {
		cancel()
		stopped, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = server.Shutdown(stopped)
	}
}

func (f *fleet) startAgent(name, domain string, load int) *upstream {
	f.hosts = append(f.hosts, store.Host{Name: name, Role: store.RoleAgent, Service: "model", FailureDomain: domain, Address: "127.0.0.1:1", State: store.HostLive})
	u := &upstream{load: load}
	r := NewReporter(ReporterOptions{
		Host: name, Service: "model", FailureDomain: domain, Board: f.newBoard(), Caller: f.newCaller(), Upstream: u,
		Intervals: mean.ReporterOptions{MinInterval: 10 * time.Millisecond, MaxInterval: 20 * time.Millisecond},
	})
	f.group.Go(func() { r.Run(f.ctx) })
	return u
}

func (f *fleet) publish(hosts []store.Host) {
	for _, b := range f.boards {
		b.ObserveHostList(hosts)
	}
}

func (f *fleet) waitForMean(upstreams []*upstream, want float64, replicas int) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond), wait.ErrorFunc(func() error {
		for i, u := range upstreams {
			if m, n, pool, age := u.observed(); m != want || n != replicas || pool != replicas || age <= 0 {
				return fmt.Errorf("agent %d: mean %v of %d, age %v", i, m, n, age)
			}
		}
		return nil
	})))
}

// Every agent receives the mean over all failure domains, including one without
// a router. After a router with a collector has stopped, the agents receive the
// mean through its replacement.
func TestMeanReachesEveryAgent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx}
	stops := []func(){f.startRouter("r1", "a"), f.startRouter("r2", "a"), f.startRouter("r3", "b")}
	var upstreams []*upstream
	for i, domain := range []string{"a", "a", "b", "b", "c", "c"} {
		upstreams = append(upstreams, f.startAgent(fmt.Sprint("e", i), domain, 2*i))
	}
	f.publish(f.hosts)
	f.waitForMean(upstreams, 5, 6)

	owner, ok := newDirectory(f.boards[0]).collectorFor(poolKey{"model", "a"})
	must.True(t, ok)
	var remaining []store.Host
	for i, h := range f.hosts {
		if h.Name == owner.Name {
			stops[i]()
		} else {
			remaining = append(remaining, h)
		}
	}
	for _, u := range upstreams {
		u.ObserveMean(0, 0, 0)
	}
	f.publish(remaining)
	f.waitForMean(upstreams, 5, 6)
	cancel()
	for _, stop := range stops {
		stop()
	}
	f.group.Wait()
}

func TestCollectorsAreDistributedAcrossRouters(t *testing.T) {
	d := &directory{routers: map[string][]store.Host{}}
	for i := range 11 {
		h := store.Host{Name: fmt.Sprint("r", i)}
		d.routers[""] = append(d.routers[""], h)
	}
	for i := range 11 {
		d.services = append(d.services, fmt.Sprint("model-", i))
	}
	owned := map[string]int{}
	for _, service := range d.services {
		h, ok := d.collectorFor(poolKey{service, "a"})
		must.True(t, ok)
		owned[h.Name]++
	}
	for _, n := range owned {
		must.Eq(t, 1, n)
	}
	_, ok := d.collectorFor(poolKey{"other", "a"})
	must.False(t, ok)
}

func TestUnknownServiceGetsNoCollector(t *testing.T) {
	f := &fleet{t: t}
	c := NewCollectors(f.newBoard())
	must.False(t, c.withCollector(poolKey{"other", "a"}, true, func(*collector) {}))
	must.True(t, c.withCollector(poolKey{"model", "a"}, true, func(*collector) {}))
}
