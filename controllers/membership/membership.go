// Package membership keeps the board's view of the hosts: it polls the
// platform's host list, within a budget of bytes and with jitter, and lets
// holds on hosts expire.
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
	// DefaultInterval is the mean time between polls of a short list.
	DefaultInterval = time.Second
	// DefaultBytesPerSecond is what polls of a long list may cost: they are
	// stretched to keep it.
	DefaultBytesPerSecond = 2 << 10
	// probeInterval is the mean time between questions to a host that said it is
	// leaving while the list has it as live: its slot may have a new process.
	probeInterval = 5 * time.Second
	// expireInterval is the time between checks for holds that ended.
	expireInterval = 250 * time.Millisecond
	// callTimeout limits one poll.
	callTimeout = 5 * time.Second
)

var backoff = schedule.Backoff{Min: time.Second, Max: 15 * time.Second}

// Options sets up a Controller.
type Options struct {
	Board          *board.Board
	List           store.HostList
	Log            log.Interface
	Random         func() float64                         // within 0 and 1; nil means schedule.Random
	Probe          func(ctx context.Context, host string) // asks a host for its incarnation and writes it to the board; nil: none is asked
	Interval       time.Duration                          // 0 means DefaultInterval
	BytesPerSecond int                                    // 0 means DefaultBytesPerSecond
}

// Counters count what the controller did.
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

// Controller polls the host list. Run it once.
type Controller struct {
	opts Options
	Counters
}

// New returns a controller that has not started.
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

// Run polls until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go c.expire(ctx)
	if c.opts.Probe != nil {
		go c.probe(ctx)
	}
	failures := 0
	for {
		size, err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = c.recovered(failures)
			schedule.Sleep(ctx, c.interval(size))
			continue
		}
		failures = c.failed(failures, err)
		schedule.Sleep(ctx, backoff.Wait(failures, store.RetryAfter(err), c.opts.Random()))
	}
}

// poll takes one list and returns its size in bytes.
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

// interval returns the time to the next poll after a list of that many bytes.
func (c *Controller) interval(size int) time.Duration {
	affordable := time.Duration(size) * time.Second / time.Duration(c.opts.BytesPerSecond)
	return schedule.Jitter(max(c.opts.Interval, affordable), c.opts.Random())
}

func (c *Controller) failed(failures int, err error) int {
	c.Failures.Add(1)
	if failures == 0 {
		c.opts.Log.WithError(err).Warn("host list unavailable")
	}
	return failures + 1
}

func (c *Controller) recovered(failures int) int {
	if failures > 0 {
		c.opts.Log.WithField("failures", failures).Info("host list available again")
	}
	return 0
}

func (c *Controller) expire(ctx context.Context) {
	for schedule.Sleep(ctx, expireInterval) {
		c.opts.Board.Expire()
	}
}

// probe asks the hosts whose own word stands against the list.
func (c *Controller) probe(ctx context.Context) {
	for schedule.Sleep(ctx, schedule.Jitter(probeInterval, c.opts.Random())) {
		for _, h := range c.opts.Board.Hosts() {
			if h.ListedLive && h.Leaving {
				c.opts.Probe(ctx, h.Name)
			}
		}
	}
}
