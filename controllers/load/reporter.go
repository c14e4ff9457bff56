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

// pollInterval is the mean time between checks whether the load has to be
// reported.
const pollInterval = 250 * time.Millisecond

// Upstream is the part of an agent that a Reporter reads the load from and
// passes the results to.
type Upstream interface {
	// Outstanding returns the number of requests that are in progress or queued.
	Outstanding() int
	// Draining reports whether the agent refuses new work.
	Draining() bool
	// ObserveReplicaCount receives the number of upstreams of the service in
	// the host list.
	ObserveReplicaCount(replicas int)
	// ObserveMean receives the mean load over the given number of replicas. No
	// value in the mean is older than age.
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
	Timeout       time.Duration // per call; 0 means DefaultCallTimeout
	Intervals     mean.ReporterOptions
}

// Reporter reports the load of one upstream. It must be used by a single
// goroutine.
type Reporter struct {
	opts            ReporterOptions
	start           time.Time
	collector       store.Host
	boardGeneration uint64 // board generation plus 1 at the last refreshCollector; 0 before the first
	reporter        *mean.Reporter
}

// NewReporter returns a Reporter. Call Run to start it.
func NewReporter(opts ReporterOptions) *Reporter {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultCallTimeout
	}
	return &Reporter{opts: opts, start: time.Now(), reporter: mean.NewReporter(opts.Intervals)}
}

// Run reports the load until ctx is done.
func (r *Reporter) Run(ctx context.Context) {
	for {
		r.reportIfDue(ctx)
		if !schedule.Sleep(ctx, schedule.Jitter(pollInterval, schedule.Random())) {
			return
		}
	}
}

func (r *Reporter) now() time.Duration { return time.Since(r.start) }

// reportIfDue reports the load if a report is due. It reports a second time if
// the collector could not date the first report.
func (r *Reporter) reportIfDue(ctx context.Context) {
	load := float64(r.opts.Upstream.Outstanding())
	r.refreshCollector()
	if r.collector.Name == "" || !r.reporter.Due(load, r.now()) {
		return
	}
	if !r.report(ctx) {
		r.report(ctx)
	}
}

// refreshCollector selects the collector again if the board has changed. A new
// collector cannot date reports by a stamp of the previous one, so the stamps
// are discarded.
func (r *Reporter) refreshCollector() {
	generation := r.opts.Board.Generation() + 1
	if generation == r.boardGeneration {
		return
	}
	r.boardGeneration = generation
	d := newDirectory(r.opts.Board)
	r.opts.Upstream.ObserveReplicaCount(d.replicaCount(r.opts.Service))
	host, ok := d.collectorFor(poolKey{r.opts.Service, r.opts.FailureDomain})
	if ok && (host.Name != r.collector.Name || host.Address != r.collector.Address) {
		r.collector = host
		r.reporter = mean.NewReporter(r.opts.Intervals)
	}
}

// report sends the load to the collector. It returns false if the collector
// could not date the report, so that it has to be sent again. A failed call is
// not repeated.
func (r *Reporter) report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	sentAt := r.now()
	load := float64(r.opts.Upstream.Outstanding())
	args := wire.LoadArgs{
		Host: r.opts.Host, Service: r.opts.Service, FailureDomain: r.opts.FailureDomain,
		Load: load, Leaving: r.opts.Upstream.Draining(), Echo: r.reporter.Send(load, sentAt),
	}
	var reply wire.LoadReply
	if err := r.opts.Caller.Call(ctx, r.collector.Address, RPCName+".Report", &args, &reply); err != nil {
		counters.Add("reports_failed", 1)
		return true
	}
	counters.Add("reports", 1)
	now := r.now()
	r.reporter.RecordStamp(reply.Stamp, now)
	if reply.Mean.Replicas > 0 {
		r.opts.Upstream.ObserveMean(reply.Mean.Mean, reply.Mean.Replicas, now-mean.MeasuredAfter(reply.Mean, sentAt))
	}
	return reply.Dated || args.Leaving
}
