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

// upstream is an agent with a fixed load.
type upstream struct {
	load  int
	mu    sync.Mutex
	mean  float64
	count int
	pool  int
	age   time.Duration
}

func (u *upstream) Demand() int   { return u.load }
func (u *upstream) Leaving() bool { return false }
func (u *upstream) ObservePool(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pool = n
}
func (u *upstream) ObserveMean(m float64, n int, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mean, u.count, u.age = m, n, age
}

func (u *upstream) seen() (m float64, n, pool int, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mean, u.count, u.pool, u.age
}

// fleet runs routers and agents over loopback connections.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	hosts  []store.Host
	boards []*board.Board
	group  sync.WaitGroup
}

func (f *fleet) board() *board.Board {
	b := board.New()
	b.Adopt(&config.Config{Version: 1, Services: []config.Service{{ID: "model", LoadMultiple: 1.25}}}, "test")
	f.boards = append(f.boards, b)
	return b
}

func (f *fleet) pool() PoolCaller {
	p := link.NewPool(link.ClientOptions{})
	f.t.Cleanup(p.Close)
	return PoolCaller{Pool: p}
}

// router starts a router in a domain and returns a function that stops it.
func (f *fleet) router(name, domain string) func() {
	c := NewCollectors(f.board())
	server, err := link.NewServer(link.ServerOptions{}, RPCName, NewService(c))
	must.NoError(f.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	f.hosts = append(f.hosts, store.Host{Name: name, Role: store.RoleRouter, FailureDomain: domain, Address: l.Addr().String(), State: store.HostLive})
	ctx, cancel := context.WithCancel(f.ctx)
	caller := f.pool()
	f.group.Go(func() { _ = server.Serve(l) })
	f.group.Go(func() { c.Run(ctx, ExchangeOptions{Host: name, Caller: caller, Interval: 20 * time.Millisecond}) })
	return func() {
		cancel()
		stopped, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = server.Shutdown(stopped)
	}
}

func (f *fleet) agent(name, domain string, load int) *upstream {
	f.hosts = append(f.hosts, store.Host{Name: name, Role: store.RoleAgent, Service: "model", FailureDomain: domain, Address: "127.0.0.1:1", State: store.HostLive})
	u := &upstream{load: load}
	r := NewReporter(ReporterOptions{
		Host: name, Service: "model", FailureDomain: domain, Board: f.board(), Caller: f.pool(), Upstream: u,
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

func (f *fleet) waitForMean(us []*upstream, want float64, replicas int) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond), wait.ErrorFunc(func() error {
		for i, u := range us {
			if m, n, pool, age := u.seen(); m != want || n != replicas || pool != replicas || age <= 0 {
				return fmt.Errorf("agent %d: mean %v of %d, age %v", i, m, n, age)
			}
		}
		return nil
	})))
}

// Every agent learns the mean over all failure domains, one of them without a
// router, and again after the collectors of a domain moved to another router.
func TestMeanReachesEveryAgent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx}
	stops := []func(){f.router("r1", "a"), f.router("r2", "a"), f.router("r3", "b")}
	var us []*upstream
	for i, domain := range []string{"a", "a", "b", "b", "c", "c"} {
		us = append(us, f.agent(fmt.Sprint("e", i), domain, 2*i))
	}
	f.publish(f.hosts)
	f.waitForMean(us, 5, 6)

	owner, ok := newDirectory(f.boards[0]).owner(pool{"model", "a"})
	must.True(t, ok)
	var left []store.Host
	for i, h := range f.hosts {
		if h.Name == owner.Name {
			stops[i]()
		} else {
			left = append(left, h)
		}
	}
	for _, u := range us {
		u.ObserveMean(0, 0, 0)
	}
	f.publish(left)
	f.waitForMean(us, 5, 6)
	cancel()
	for _, stop := range stops {
		stop()
	}
	f.group.Wait()
}

func TestCollectorsAreShared(t *testing.T) {
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
		h, ok := d.owner(pool{service, "a"})
		must.True(t, ok)
		owned[h.Name]++
	}
	for _, n := range owned {
		must.Eq(t, 1, n)
	}
	_, ok := d.owner(pool{"other", "a"})
	must.False(t, ok)
}

func TestUnknownServiceIsNotCollected(t *testing.T) {
	f := &fleet{t: t}
	c := NewCollectors(f.board())
	must.False(t, c.with(pool{"other", "a"}, true, func(*collector) {}))
	must.True(t, c.with(pool{"model", "a"}, true, func(*collector) {}))
}
