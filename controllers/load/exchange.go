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

// Caller calls a method of the process at an address and stores the result in
// reply. The call ends when ctx is done. PoolCaller implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Default values of ExchangeOptions and ReporterOptions.
const (
	DefaultExchangeInterval = 3 * time.Second
	DefaultCallTimeout      = time.Second
)

// ExchangeOptions configures Collectors.Run. A zero duration means the default.
type ExchangeOptions struct {
	Host     string // name of this router
	Caller   Caller
	Interval time.Duration // mean time between two exchanges with a peer
	Timeout  time.Duration // per call
}

// Run exchanges partial sums with the collectors of the other failure domains
// until ctx is done.
func (c *Collectors) Run(ctx context.Context, opts ExchangeOptions) {
	if opts.Interval == 0 {
		opts.Interval = DefaultExchangeInterval
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultCallTimeout
	}
	x := &exchanger{collectors: c, opts: opts, stamps: make(map[poolKey]receivedStamp)}
	for schedule.Sleep(ctx, schedule.Jitter(opts.Interval, schedule.Random())) {
		x.exchangeAll(ctx)
	}
}

type exchanger struct {
	collectors *Collectors
	opts       ExchangeOptions
	mu         sync.Mutex
	stamps     map[poolKey]receivedStamp // last stamp received, by pool of the collector that made it
}

// receivedStamp is a stamp and the time of its arrival.
type receivedStamp struct {
	host       string // router that made the stamp
	stamp      mean.Echo
	receivedAt time.Duration
}

// exchangeAll exchanges once with the collector of each other failure domain
// for the service of each active pool. Of two collectors, the one with the
// lesser failure domain makes the call.
func (x *exchanger) exchangeAll(ctx context.Context) {
	d := newDirectory(x.collectors.board)
	var calls sync.WaitGroup
	for _, p := range x.collectors.activePools() {
		for domain := range d.upstreamCounts[p.service] {
			if domain <= p.domain {
				continue
			}
			peer := poolKey{p.service, domain}
			host, ok := d.collectorFor(peer)
			switch {
			case !ok:
			case host.Name == x.opts.Host:
				x.exchangeLocal(p, peer)
			default:
				calls.Go(func() { x.exchangeRemote(ctx, p, peer, host) })
			}
		}
	}
	calls.Wait()
}

// exchangeLocal exchanges partial sums between two collectors of this process.
func (x *exchanger) exchangeLocal(p, peer poolKey) {
	c := x.collectors
	now := c.now()
	stamp := mean.Echo{Incarnation: c.incarnation, Clock: now}
	var ownPartial, peerPartial mean.Partial
	c.withCollector(p, false, func(col *collector) { ownPartial = col.Partial(now) })
	c.withCollector(peer, true, func(col *collector) {
		col.Merge(ownPartial, stamp, now)
		peerPartial = col.Partial(now)
	})
	c.withCollector(p, false, func(col *collector) { col.Merge(peerPartial, stamp, now) })
}

func (x *exchanger) exchangeRemote(ctx context.Context, p, peer poolKey, host store.Host) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timeout)
	defer cancel()
	c := x.collectors
	args := wire.SumsArgs{Service: p.service, Domain: peer.domain}
	sentAt := c.now()
	c.withCollector(p, false, func(col *collector) { args.Partial = col.Partial(sentAt) })
	args.Echo = x.echoFor(peer, host.Name, sentAt)
	var reply wire.SumsReply
	if err := x.opts.Caller.Call(ctx, host.Address, RPCName+".Exchange", &args, &reply); err != nil {
		counters.Add("exchanges_failed", 1)
		return
	}
	counters.Add("exchanges", 1)
	x.mu.Lock()
	x.stamps[peer] = receivedStamp{host.Name, reply.Stamp, c.now()}
	x.mu.Unlock()
	// The reply was made after sentAt, so counting its age from sentAt never
	// underestimates it.
	stamp := mean.Echo{Incarnation: c.incarnation, Clock: sentAt}
	// The reply is empty if the peer has no collector and cannot create one.
	if reply.Partial.FailureDomain == peer.domain {
		c.withCollector(p, false, func(col *collector) { col.Merge(reply.Partial, stamp, c.now()) })
	}
}

// echoFor returns the last stamp of the pool peer to send back to host. It is
// empty if the last stamp came from another host.
func (x *exchanger) echoFor(peer poolKey, host string, now time.Duration) mean.Echo {
	x.mu.Lock()
	defer x.mu.Unlock()
	received := x.stamps[peer]
	if received.host != host {
		return mean.Echo{}
	}
	received.stamp.Held = now - received.receivedAt
	return received.stamp
}
