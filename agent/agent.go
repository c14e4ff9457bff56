// Package agent implements the process that runs next to one upstream. Every
// request to the upstream goes through it, so it makes the decisions that must
// be exact: it enforces the load bound and the rules, and it runs each
// non-idempotent request at most once.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	// RPCName is the net/rpc service name under which the agent's methods are
	// registered.
	RPCName = "Agent"

	// janitorInterval is also the longest time that Run waits, after a drain, for
	// calls in progress to end.
	janitorInterval   = time.Second
	drainPollInterval = 20 * time.Millisecond

	// minLoadBound is the load that an upstream may carry whatever the mean load.
	minLoadBound = 4
)

// Agent serves one upstream. All methods may be called concurrently.
type Agent struct {
	opts        Options
	incarnation string
	limiter     *limiter
	answers     *answers
	upstream    *upstream
	leaving     atomic.Bool
	lastSubmit  atomic.Int64 // when the last submission arrived, on the limiter's clock
	admitting   atomic.Int64 // submissions in admit, from before leaving is checked until the answer is stored

	mu     sync.Mutex // guards ledger
	ledger *ticket.Ledger
}

// New returns an agent. It draws a random incarnation unless opts names one.
func New(opts Options) (*Agent, error) {
	opts = opts.withDefaults()
	if opts.Upstream == nil || opts.Signer == nil || opts.Board == nil {
		return nil, errors.New("agent: upstream, signer and board are required")
	}
	incarnation := opts.Incarnation
	if incarnation == "" {
		incarnation = randid.New()
	}
	a := &Agent{
		opts:        opts,
		incarnation: incarnation,
		answers:     newAnswers(opts.KeptAnswerBytes, opts.MaxAnswerBytes),
		upstream:    newUpstream(opts.Upstream),
	}
	if opts.ReadLimit != nil {
		a.upstream.onHead = func(h http.Header) { a.observeLimit(opts.ReadLimit(h)) }
	}
	a.ledger = ticket.NewLedger(ticket.Options{
		Incarnation: incarnation,
		Windows:     opts.Windows,
		MaxRecords:  opts.MaxRecords,
	})
	bound := admit.NewBound(admit.Options{Floor: minLoadBound})
	queue := fair.NewQueue[*waiter](fair.Options{})
	a.limiter = newLimiter(bound, queue, opts.MaxRunning, opts.MaxQueued)
	return a, nil
}

// Incarnation returns the identifier of this run of the process.
func (a *Agent) Incarnation() string {
	return a.incarnation
}

// Run serves routers until ctx ends, then shuts down gracefully: it refuses new
// requests, lets requests in progress finish, and keeps answers readable until
// their readers have confirmed them or the drain timeout expires.
func (a *Agent) Run(ctx context.Context, server *link.Server) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(a.opts.Listener) }()
	janitor, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go a.runJanitor(janitor)
	select {
	case err := <-served:
		return errors.Wrap(err, "agent: serve")
	case <-ctx.Done():
	}
	a.drain()
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), janitorInterval)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdown), "agent: stop serving")
}

// StartDrain starts draining: from now on the agent refuses new requests.
func (a *Agent) StartDrain() {
	if a.leaving.Swap(true) {
		return
	}
	a.opts.Board.SetDrain(board.DrainDraining, board.OriginSelf)
	a.opts.Log.WithField("host", a.opts.Host).Info("agent is draining; refusing new requests")
	a.opts.Timeline.Record(timeline.Event{Kind: timeline.KindDrainBegun})
}

// Draining reports whether the agent is draining and refuses new requests.
func (a *Agent) Draining() bool {
	return a.leaving.Load()
}

// drain refuses new requests, then waits until those in progress have finished,
// no reader is expected for their answers, and no submission has arrived for
// Options.DrainQuiet, but no longer than Options.DrainTimeout. If a connection
// closed while a router was submitting, the request would be lost and the router
// could not tell whether it ran.
func (a *Agent) drain() {
	a.StartDrain()
	a.lastSubmit.Store(int64(a.limiter.now()))
	deadline := time.Now().Add(a.opts.DrainTimeout)
	for time.Now().Before(deadline) {
		if a.drained() {
			return
		}
		time.Sleep(drainPollInterval)
	}
	counters.Add("drain_timeouts", 1)
}

func (a *Agent) drained() bool {
	quiet := a.limiter.now() - time.Duration(a.lastSubmit.Load())
	return quiet >= a.opts.DrainQuiet &&
		a.admitting.Load() == 0 &&
		a.answers.unfinished() == 0 &&
		a.answers.awaitingReader(a.opts.UnreadRetention) == 0
}

// runJanitor deletes expired answers and opens ticket windows until ctx ends.
func (a *Agent) runJanitor(ctx context.Context) {
	tick := time.NewTicker(janitorInterval)
	defer tick.Stop()
	opened := time.Now()
	retain := retention{
		unread:   a.opts.UnreadRetention,
		ticketed: time.Duration(a.opts.Windows) * a.opts.WindowDuration, // as long as the ledger keeps their tickets
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, request := range a.answers.expired(now, retain) {
				a.answers.drop(request)
				counters.Add("answers_expired", 1)
			}
			if now.Sub(opened) >= a.opts.WindowDuration {
				opened = now
				a.advanceWindow()
			}
		}
	}
}

func (a *Agent) advanceWindow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Advance()
}

// ObserveMean records a report of the mean load over the given number of the
// service's replicas. No part of the report is older than age.
func (a *Agent) ObserveMean(mean float64, replicas int, age time.Duration) {
	a.limiter.observeMean(mean, replicas, age)
}

// ObserveReplicaCount records the number of the service's upstreams on the host
// list.
func (a *Agent) ObserveReplicaCount(replicas int) {
	a.limiter.setReplicas(replicas)
}

// Outstanding returns the number of requests running on the upstream or queued.
func (a *Agent) Outstanding() int {
	load := a.limiter.load()
	return load.InFlight + load.Queued
}

// Window returns the number of the open ticket window.
func (a *Agent) Window() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Window()
}

// Load returns the load of the upstream.
func (a *Agent) Load() wire.Load {
	return a.limiter.load()
}
