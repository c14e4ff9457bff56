// Package membership keeps the hosts on the board up to date. It polls the host
// list of the platform with jitter and within a budget of bytes per second, and
// it periodically expires the backoff of hosts.
package membership

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
)

const (
	// DefaultInterval is the mean time between polls of a short host list.
	DefaultInterval = time.Second
	// DefaultBytesPerSecond limits the average transfer rate of the polls. The
	// interval between polls of a long list is increased to stay within it.
	DefaultBytesPerSecond = 2 << 10
	// leavingProbeInterval is the mean time between probes of a host that
	// reported that it is leaving while the host list has it as live: a new
	// process may run in its slot.
	leavingProbeInterval = 5 * time.Second
	// expireInterval is the time between checks for host backoffs that have
	// ended.
	expireInterval = 250 * time.Millisecond
	// callTimeout limits the duration of one poll.
	callTimeout = 5 * time.Second
)

// backoff is used after failed polls.
var backoff = schedule.Backoff{Min: time.Second, Max: 15 * time.Second}

// Options configures a Controller.
type Options struct {
	Board          *board.Board
	List           store.HostList
	Log            log.Interface
	Random         func() float64                         // returns a number between 0 and 1; nil means schedule.Random
	Probe          func(ctx context.Context, host string) // requests the incarnation of a host and records it on the board; nil disables probing
	Interval       time.Duration                          // 0 means DefaultInterval
	BytesPerSecond int                                    // 0 means DefaultBytesPerSecond
}

// Counters counts the polls of a Controller.
type Counters struct {
	Polls    expvar.Int
	Failures expvar.Int
}

// Vars returns the counters for expvar.
func (c *Counters) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("polls", &c.Polls)
	m.Set("failures", &c.Failures)
	return m
}

// Controller polls the host list. Call Run at most once.
type Controller struct {
	opts Options
	Counters
}

// New returns a Controller. Call Run to start it.
func New(opts Options) *Controller {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	if opts.BytesPerSecond <= 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	if opts.Log == nil {
		opts.Log = log.Log
	}
	if opts.Random == nil {
		opts.Random = schedule.Random
	}
	return &Controller{opts: opts}
}

// Run polls the host list until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	go c.expirePeriodically(ctx)
	if c.opts.Probe != nil {
		go c.probeLeavingHosts(ctx)
	}
	failures := 0
	for {
		size, err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = c.recordSuccess(failures)
			schedule.Sleep(ctx, c.nextInterval(size))
			continue
		}
		failures = c.recordFailure(failures, err)
		schedule.Sleep(ctx, backoff.Wait(failures, store.RetryAfter(err), c.opts.Random()))
	}
}

// poll fetches the host list once and returns its size in bytes when encoded as
// JSON.
func (c *Controller) poll(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Polls.Add(1)
	hosts, err := c.opts.List.Hosts(ctx)
	if err != nil {
		return 0, err
	}
	c.opts.Board.ObserveHostList(hosts)
	raw, err := json.Marshal(hosts)
	return len(raw), err
}

// nextInterval returns the time until the next poll after a host list of
// listBytes.
func (c *Controller) nextInterval(listBytes int) time.Duration {
	budgetInterval := time.Duration(listBytes) * time.Second / time.Duration(c.opts.BytesPerSecond)
	return schedule.Jitter(max(c.opts.Interval, budgetInterval), c.opts.Random())
}

func (c *Controller) recordFailure(failures int, err error) int {
	c.Failures.Add(1)
	if failures == 0 {
		c.opts.Log.WithError(err).Warn("host list unavailable")
	}
	return failures + 1
}

func (c *Controller) recordSuccess(failures int) int {
	if failures > 0 {
		c.opts.Log.WithField("failures", failures).Info("host list available again")
	}
	return 0
}

func (c *Controller) expirePeriodically(ctx context.Context) {
	for schedule.Sleep(ctx, expireInterval) {
		c.opts.Board.Expire()
	}
}

// probeLeavingHosts probes the hosts that reported that they are leaving
// although the host list has them as live.
func (c *Controller) probeLeavingHosts(ctx context.Context) {
	for schedule.Sleep(ctx, schedule.Jitter(leavingProbeInterval, c.opts.Random())) {
		for _, h := range c.opts.Board.Hosts() {
			if h.ListedLive && h.Leaving {
				c.opts.Probe(ctx, h.Name)
			}
		}
	}
}
