package load

import (
	"context"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/decide/mean"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

// pollInterval is how often the load is compared with the one reported last.
const pollInterval = 250 * time.Millisecond

// Upstream is the agent's side of what is reported.
type Upstream interface {
	// Demand returns the requests in progress and those that wait.
	Demand() int
	// Leaving tells whether new work is refused.
	Leaving() bool
	// ObservePool takes the number of upstreams that the host list shows.
	ObservePool(replicas int)
	// ObserveMean takes a mean load over replicas; every part of it was true
	// within age.
	ObserveMean(mean float64, replicas int, age time.Duration)
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Host          string
	Service       string
	FailureDomain string
	Board         *board.Board
	Caller        Caller
	Upstream      Upstream
	Timeout       time.Duration // of one call; 0 means DefaultCallTimeout
	Intervals     mean.ReporterOptions
}

// Reporter reports the load of one upstream. Use one goroutine.
type Reporter struct {
	opts      ReporterOptions
	start     time.Time
	collector store.Host
	seen      uint64 // generation of the board that collector and pool were read at
	dating    *mean.Reporter
}

// NewReporter returns a reporter.
func NewReporter(opts ReporterOptions) *Reporter {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultCallTimeout
	}
	return &Reporter{opts: opts, start: time.Now(), dating: mean.NewReporter(opts.Intervals)}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		r.turn(ctx)
		if !schedule.Sleep(ctx, schedule.Jitter(pollInterval, schedule.Random())) {
			return
		}
	}
}

func (r *Reporter) now() time.Duration { return time.Since(r.start) }

// turn reports if it is due, a second time if the first could not be dated.
func (r *Reporter) turn(ctx context.Context) {
	load := float64(r.opts.Upstream.Demand())
	r.readBoard()
	if r.collector.Name == "" || !r.dating.Due(load, r.now()) {
		return
	}
	if !r.report(ctx) {
		r.report(ctx)
	}
}

// readBoard follows the host list when it has changed. Another collector cannot
// date by the echo of the one before.
func (r *Reporter) readBoard() {
	generation := r.opts.Board.Generation() + 1
	if generation == r.seen {
		return
	}
	r.seen = generation
	d := newDirectory(r.opts.Board)
	r.opts.Upstream.ObservePool(d.replicas(r.opts.Service))
	host, ok := d.owner(pool{r.opts.Service, r.opts.FailureDomain})
	if ok && (host.Name != r.collector.Name || host.Address != r.collector.Address) {
		r.collector = host
		r.dating = mean.NewReporter(r.opts.Intervals)
	}
}

// report sends the load and tells whether there is nothing to repeat.
func (r *Reporter) report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	sent := r.now()
	load := float64(r.opts.Upstream.Demand())
	args := wire.LoadArgs{
		Host: r.opts.Host, Service: r.opts.Service, FailureDomain: r.opts.FailureDomain,
		Load: load, Leaving: r.opts.Upstream.Leaving(), Echo: r.dating.Send(load, sent),
	}
	var reply wire.LoadReply
	if err := r.opts.Caller.Call(ctx, r.collector.Address, RPCName+".Report", &args, &reply); err != nil {
		counters.Add("reports_failed", 1)
		return true
	}
	counters.Add("reports", 1)
	now := r.now()
	r.dating.Heard(reply.Stamp, now)
	if reply.Mean.Replicas > 0 {
		r.opts.Upstream.ObserveMean(reply.Mean.Mean, reply.Mean.Replicas, now-mean.TrueAt(reply.Mean, sent))
	}
	return reply.Dated || args.Leaving
}
