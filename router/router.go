// Package router serves callers on an entry host: it authenticates customers,
// chooses an upstream for each request, hands the request to the agent beside
// it, and gives the caller the whole answer or a true refusal.
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
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// Router serves callers. All methods may be called concurrently.
type Router struct {
	opts      Options
	pools     atomic.Pointer[pools]
	peers     peerCache
	ejections ejections

	inProgress atomic.Int64 // requests

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Budget
}

// New returns a router with a fresh incarnation.
func New(opts Options) (*Router, error) {
	opts = opts.withDefaults()
	if opts.Signer == nil || opts.Board == nil || opts.Pool == nil {
		return nil, errors.New("router: signer, board and pool are required")
	}
	if opts.Incarnation == "" {
		opts.Incarnation = randid.New()
	}
	r := &Router{opts: opts, budgets: make(map[string]*retry.Budget)}
	r.pools.Store(r.buildPools())
	return r, nil
}

// Incarnation identifies this start of the process.
func (r *Router) Incarnation() string {
	return r.opts.Incarnation
}

// Run serves callers on l until ctx ends, then stops gracefully: requests in
// progress run to their end, at most for the drain time-out.
func (r *Router) Run(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.keepPools(background)
	server := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: r.opts.HeaderTimeout,
		IdleTimeout:       r.opts.IdleTimeout,
		MaxHeaderBytes:    r.opts.MaxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- r.serve(server, l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "router: serve")
	case <-ctx.Done():
	}
	return r.stop(server)
}

func (r *Router) serve(server *http.Server, l net.Listener) error {
	if r.opts.CertFile == "" {
		return server.Serve(l)
	}
	return server.ServeTLS(l, r.opts.CertFile, r.opts.KeyFile)
}

// InProgress returns how many requests of callers are in progress.
func (r *Router) InProgress() int {
	return int(r.inProgress.Load())
}

// stop turns readiness off, still serves those who have not noticed, and lets
// requests in progress end.
func (r *Router) stop(server *http.Server) error {
	r.Leave()
	time.Sleep(r.opts.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.DrainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		counters.Add("drain_timeouts", 1)
		return errors.Wrap(err, "router: graceful stop")
	}
	r.opts.Board.SetDrain(board.DrainDrained, board.OriginSelf)
	return nil
}

// Leave marks the router as draining: readiness turns false.
func (r *Router) Leave() {
	if r.opts.Board.SetDrain(board.DrainDraining, board.OriginSelf) {
		r.opts.Log.WithField("host", r.opts.Host).Info("draining")
		r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindDrainBegun})
	}
}

// Meta describes this process to its peers.
func (r *Router) Meta() wire.Meta {
	return wire.Meta{
		From:          r.opts.Host,
		Incarnation:   r.opts.Incarnation,
		ConfigVersion: r.opts.Board.ConfigVersion(),
		Clock:         r.opts.Timeline.Clock().Now(),
	}
}

// observe takes what a reply says of its sender.
func (r *Router) observe(m wire.Meta) {
	r.opts.Timeline.Clock().Observe(m.Clock)
	r.opts.Observed(m.From, m.ConfigVersion)
}

// withdraw takes a retry of the service from its budget.
func (r *Router) withdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Withdraw()
}

// retryLeft tells whether the service's budget has a retry left.
func (r *Router) retryLeft(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Left()
}

// deposit records a first attempt on the service.
func (r *Router) deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Deposit()
}

// budget returns the service's retry budget. The caller holds mu.
func (r *Router) budget(service string) *retry.Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.Options{})
		r.budgets[service] = b
	}
	return b
}
