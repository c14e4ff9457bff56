package meanload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/load"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// Options sets the size of a run. There is one router per pool, that is, per service and
// failure domain.
type Options struct {
	Services int
	Domains  int
	Replicas int // per service and failure domain
	Delay    time.Duration
	Loss     float64
	Duration time.Duration // of the measurement, after the start-up
}

// Result holds the measurements of a run.
type Result struct {
	Agents, Routers                   int
	AgentBytes, RouterBytes, MaxBytes float64       // per second and node; MaxBytes is the busiest router's
	Cores                             float64       // cores used by all nodes together
	AgeP50, AgeP99, AgeMax            time.Duration // sampled age of the mean at agents
	RelativeError                     float64       // |known mean - true mean| / true mean, averaged over samples
	Unknown                           float64       // share of samples without a mean or with one over fewer than 0.9 of the replicas
}

// Parameters of the load. An engine gets 3 requests per second that take 6.6 s on average,
// so it has about 20 in progress.
const (
	arrivalsPerSecond = 3.0
	meanWorkSeconds   = 6.6
	initialLoad       = 20
	retransmission    = 250 * time.Millisecond
	startUpTime       = 20 * time.Second
	sampleInterval    = 100 * time.Millisecond
	step              = 50 * time.Millisecond
)

type agent struct {
	mu       sync.Mutex
	service  int
	load     int
	mean     float64
	replicas int
	meanAsOf time.Time
	meter    meter
}

func (a *agent) Outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load
}

func (a *agent) Draining() bool { return false }

func (a *agent) ObserveReplicaCount(int) {}

func (a *agent) ObserveMean(mean float64, replicas int, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mean, a.replicas, a.meanAsOf = mean, replicas, time.Now().Add(-age)
}

// advance simulates the arrivals and the completions of one step.
func (a *agent) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	share := step.Seconds()
	if rand.Float64() < arrivalsPerSecond*share {
		a.load++
	}
	for range a.load {
		if rand.Float64() < share/meanWorkSeconds {
			a.load--
		}
	}
}

type run struct {
	opts    Options
	network network
	board   *board.Board
	agents  []*agent
	routers []*meter
	hosts   []store.Host
	group   sync.WaitGroup
}

// Run starts the nodes, takes the measurements and stops the nodes.
func Run(ctx context.Context, opts Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{opts: opts, network: network{opts.Delay, opts.Loss, retransmission}, board: board.New()}
	defer r.group.Wait()
	defer cancel()
	cfg := &config.Config{Version: 1}
	for s := range opts.Services {
		cfg.Services = append(cfg.Services, config.Service{ID: serviceName(s), LoadMultiple: 1.25})
	}
	r.board.Adopt(cfg, "experiment")
	if err := r.startRouters(ctx); err != nil {
		return Result{}, err
	}
	r.startAgents(ctx)
	r.board.ObserveHostList(r.hosts)
	r.group.Go(func() { r.simulateLoad(ctx) })
	time.Sleep(startUpTime)
	return r.measure(), nil
}

func serviceName(s int) string { return fmt.Sprintf("model-%02d", s) }

func domainName(d int) string { return fmt.Sprintf("domain-%02d", d) }

func (r *run) startRouters(ctx context.Context) error {
	for i := range r.opts.Services * r.opts.Domains {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		m := new(meter)
		r.routers = append(r.routers, m)
		host := store.Host{
			Name: fmt.Sprintf("router-%03d", i), Role: store.RoleRouter, FailureDomain: domainName(i % r.opts.Domains),
			Address: l.Addr().String(), State: store.HostLive,
		}
		r.hosts = append(r.hosts, host)
		collectors := load.NewCollectors(r.board)
		server, err := link.NewServer(link.ServerOptions{}, load.RPCName, load.NewService(collectors))
		if err != nil {
			return errors.Wrap(err, "server")
		}
		r.group.Go(func() { _ = server.Serve(listener{l, m, r.network}) })
		r.group.Go(func() {
			collectors.Run(ctx, load.ExchangeOptions{Host: host.Name, Caller: r.caller(ctx, m)})
			stopped, done := context.WithTimeout(context.Background(), time.Second)
			defer done()
			_ = server.Shutdown(stopped)
		})
	}
	return nil
}

func (r *run) caller(ctx context.Context, m *meter) load.Caller {
	pool := link.NewPool(link.ClientOptions{Dial: dialer(m, r.network)})
	context.AfterFunc(ctx, pool.Close)
	return load.PoolCaller{Pool: pool}
}

func (r *run) startAgents(ctx context.Context) {
	for s := range r.opts.Services {
		for d := range r.opts.Domains {
			for i := range r.opts.Replicas {
				a := &agent{service: s, load: initialLoad}
				r.agents = append(r.agents, a)
				name := fmt.Sprintf("engine-%02d-%02d-%02d", s, d, i)
				r.hosts = append(r.hosts, store.Host{
					Name: name, Role: store.RoleAgent, Service: serviceName(s), FailureDomain: domainName(d),
					Address: "127.0.0.1:1", State: store.HostLive,
				})
				reporter := load.NewReporter(load.ReporterOptions{
					Host: name, Service: serviceName(s), FailureDomain: domainName(d), Board: r.board,
					Caller: r.caller(ctx, &a.meter), Upstream: a,
				})
				r.group.Go(func() { reporter.Run(ctx) })
			}
		}
	}
}

func (r *run) simulateLoad(ctx context.Context) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, a := range r.agents {
				a.advance()
			}
		}
	}
}

func (r *run) totals() (agents int64, routers []int64) {
	for _, a := range r.agents {
		agents += a.meter.total()
	}
	for _, m := range r.routers {
		routers = append(routers, m.total())
	}
	return agents, routers
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *run) measure() Result {
	res := Result{Agents: len(r.agents), Routers: len(r.routers)}
	agents, routers := r.totals()
	cpu, start := processorTime(), time.Now()
	ages, unknown := r.sample(&res)
	span := time.Since(start).Seconds()
	res.Cores = (processorTime() - cpu).Seconds() / span
	agentsAfter, routersAfter := r.totals()
	res.AgentBytes = float64(agentsAfter-agents) / span / float64(res.Agents)
	for i := range routers {
		rate := float64(routersAfter[i]-routers[i]) / span
		res.RouterBytes += rate / float64(res.Routers)
		res.MaxBytes = max(res.MaxBytes, rate)
	}
	slices.Sort(ages)
	res.AgeP50, res.AgeP99, res.AgeMax = ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1]
	res.Unknown = float64(unknown) / float64(unknown+len(ages))
	return res
}

// sample compares the means known to agents with the true ones for the measured time. It
// returns the ages of the known means and the number of unknown ones.
func (r *run) sample(res *Result) (ages []time.Duration, unknown int) {
	replicas := r.opts.Domains * r.opts.Replicas
	errorSum, n := 0.0, 0
	for end := time.Now().Add(r.opts.Duration); time.Now().Before(end); time.Sleep(sampleInterval) {
		sums := make([]float64, r.opts.Services)
		for _, a := range r.agents {
			sums[a.service] += float64(a.Outstanding())
		}
		for _, a := range r.agents {
			a.mu.Lock()
			truth := sums[a.service] / float64(replicas)
			if a.replicas*10 < replicas*9 {
				unknown++
			} else {
				ages = append(ages, time.Since(a.meanAsOf))
				errorSum += math.Abs(a.mean-truth) / truth
				n++
			}
			a.mu.Unlock()
		}
	}
	res.RelativeError = errorSum / float64(max(1, n))
	return ages, unknown
}
