package load

import (
	"context"
	"sync"
	"time"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/decide/mean"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

// Caller calls a method of the process at an address and fills reply, within
// ctx. Package link implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Defaults of the intervals.
const (
	DefaultExchangeInterval = 3 * time.Second
	DefaultCallTimeout      = time.Second
)

// ExchangeOptions configures Run. Zero durations mean the defaults.
type ExchangeOptions struct {
	Host     string // of this router
	Caller   Caller
	Interval time.Duration // between exchanges with one peer
	Timeout  time.Duration // of one call
}

// Run exchanges partial sums with the collectors of the other failure domains
// until ctx ends.
func (c *Collectors) Run(ctx context.Context, opts ExchangeOptions) {
	if opts.Interval == 0 {
		opts.Interval = DefaultExchangeInterval
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultCallTimeout
	}
	x := &exchange{collectors: c, opts: opts, echoes: make(map[pool]heard)}
	for schedule.Sleep(ctx, schedule.Jitter(opts.Interval, schedule.Random())) {
		x.turn(ctx)
	}
}

type exchange struct {
	collectors *Collectors
	opts       ExchangeOptions
	mu         sync.Mutex
	echoes     map[pool]heard // by receiving pool
}

type heard struct {
	host  string // that made the stamp
	stamp mean.Echo
	at    time.Duration
}

// turn exchanges once with every other collector of each active pool's service.
// Of two collectors the one of the lesser failure domain calls.
func (x *exchange) turn(ctx context.Context) {
	d := newDirectory(x.collectors.board)
	var calls sync.WaitGroup
	for _, p := range x.collectors.active() {
		for domain := range d.upstreams[p.service] {
			if domain <= p.domain {
				continue
			}
			peer := pool{p.service, domain}
			host, ok := d.owner(peer)
			switch {
			case !ok:
			case host.Name == x.opts.Host:
				x.local(p, peer)
			default:
				calls.Go(func() { x.call(ctx, p, peer, host) })
			}
		}
	}
	calls.Wait()
}

// local exchanges between two collectors of this process.
func (x *exchange) local(p, peer pool) {
	c := x.collectors
	now := c.now()
	stamp := mean.Echo{Incarnation: c.incarnation, Clock: now}
	var mine, theirs mean.Partial
	c.with(p, false, func(col *collector) { mine = col.Partial(now) })
	c.with(peer, true, func(col *collector) {
		col.Merge(mine, stamp, now)
		theirs = col.Partial(now)
	})
	c.with(p, false, func(col *collector) { col.Merge(theirs, stamp, now) })
}

func (x *exchange) call(ctx context.Context, p, peer pool, host store.Host) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timeout)
	defer cancel()
	c := x.collectors
	args := wire.SumsArgs{Service: p.service, Domain: peer.domain}
	sent := c.now()
	c.with(p, false, func(col *collector) { args.Partial = col.Partial(sent) })
	args.Echo = x.echo(peer, host.Name, sent)
	var reply wire.SumsReply
	if err := x.opts.Caller.Call(ctx, host.Address, RPCName+".Exchange", &args, &reply); err != nil {
		counters.Add("exchanges_failed", 1)
		return
	}
	counters.Add("exchanges", 1)
	x.mu.Lock()
	x.echoes[peer] = heard{host.Name, reply.Stamp, c.now()}
	x.mu.Unlock()
	// The reply was made after the call was sent: its age counts from there.
	stamp := mean.Echo{Incarnation: c.incarnation, Clock: sent}
	if reply.Partial.FailureDomain == peer.domain {
		c.with(p, false, func(col *collector) { col.Merge(reply.Partial, stamp, c.now()) })
	}
}

func (x *exchange) echo(peer pool, host string, now time.Duration) mean.Echo {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.echoes[peer]
	if h.host != host {
		return mean.Echo{}
	}
	h.stamp.Held = now - h.at
	return h.stamp
}
