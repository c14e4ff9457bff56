// Package router serves callers on an entry host. It authenticates customers,
// chooses an upstream for each request, forwards the request to the agent next
// to that upstream, and returns either the complete answer or a problem that
// states whether the request may have run.
package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/internal/bodybudget"
	"dandelionrill.example/fleet/internal/connlimit"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// Router serves callers. All methods may be called concurrently.
type Router struct {
	opts      Options
	snapshots atomic.Pointer[snapshots]
	peers     peerCache
	ejections ejections

	inProgress atomic.Int64 // number of requests
	bodies     *bodybudget.Budget

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Budget
}

// New returns a router. It draws a random incarnation if opts has none.
func New(opts Options) (*Router, error) {
	opts = opts.withDefaults()
	if opts.Signer == nil || opts.Board == nil || opts.Pool == nil {
		return nil, errors.New("router: signer, board and pool are required")
	}
	if opts.Incarnation == "" {
		opts.Incarnation = randid.New()
	}
	r := &Router{opts: opts, bodies: bodybudget.New(opts.BodyMemoryBytes), budgets: make(map[string]*retry.Budget)}
	r.snapshots.Store(r.buildSnapshots())
	return r, nil
}

// Incarnation identifies this run of the process.
func (r *Router) Incarnation() string {
	return r.opts.Incarnation
}

// Run serves callers on l until ctx ends, then shuts down gracefully: requests
// in progress may finish within the drain timeout.
func (r *Router) Run(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.refreshSnapshots(background)
	requests := newStopContext()
	server := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: r.opts.HeaderTimeout,
		IdleTimeout:       r.opts.IdleTimeout,
		MaxHeaderBytes:    r.opts.MaxHeaderBytes,
		ConnState:         connlimit.New(r.opts.MaxConnections, r.bodies.EvictOldest).ConnState,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	served := make(chan error, 1)
	go func() { served <- r.serve(server, l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "router: serve")
	case <-ctx.Done():
	}
	return r.shutdown(server, requests)
}

func (r *Router) serve(server *http.Server, l net.Listener) error {
	if r.opts.CertFile == "" {
		return server.Serve(l)
	}
	return server.ServeTLS(l, r.opts.CertFile, r.opts.KeyFile)
}

// InProgress returns the number of callers' requests in progress.
func (r *Router) InProgress() int {
	return int(r.inProgress.Load())
}

// endTimeout limits the time to answer the requests that are ended at the drain timeout.
const endTimeout = time.Second

// shutdown makes the router unready, keeps serving for the drain delay because
// some callers have not noticed yet, then closes the listener and waits for
// the requests in progress. Those that exceed the drain timeout are ended.
func (r *Router) shutdown(server *http.Server, requests *stopContext) error {
	r.StartDrain()
	time.Sleep(r.opts.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.DrainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		counters.Add("drain_timeouts", 1)
		requests.stop()
		last, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		return errors.Wrap(errors.CombineErrors(err, server.Shutdown(last)), "router: graceful shutdown")
	}
	r.opts.Board.SetDrain(board.DrainDrained, board.OriginSelf)
	return nil
}

// StartDrain marks the router as draining, which makes it unready.
func (r *Router) StartDrain() {
	if r.opts.Board.SetDrain(board.DrainDraining, board.OriginSelf) {
		r.opts.Log.WithField("host", r.opts.Host).Info("draining")
		r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindDrainBegun})
	}
}

// Meta returns the metadata of this process for messages to its peers.
func (r *Router) Meta() wire.Meta {
	return wire.Meta{
		From:          r.opts.Host,
		Incarnation:   r.opts.Incarnation,
		ConfigVersion: r.opts.Board.ConfigVersion(),
		Clock:         r.opts.Timeline.Clock().Now(),
	}
}

// observeMeta processes the metadata of a reply: the sender's clock and
// configuration version.
func (r *Router) observeMeta(m wire.Meta) {
	r.opts.Timeline.Clock().Observe(m.Clock)
	r.opts.OnConfigVersion(m.From, m.ConfigVersion)
}

// withdraw takes one retry from the service's retry budget. It returns false
// if none is left.
func (r *Router) withdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Withdraw()
}

// retryLeft reports whether the service's retry budget has a retry left.
func (r *Router) retryLeft(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Available()
}

// deposit credits the service's retry budget for a first attempt.
func (r *Router) deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordFirstAttempt()
}

// budget returns the service's retry budget. The caller must hold mu.
func (r *Router) budget(service string) *retry.Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.Options{})
		r.budgets[service] = b
	}
	return b
}
