package cli

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/health"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/logging"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/revision"
	"dandelionrill.example/fleet/settings"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// readinessInterval is how often the readiness conditions are checked while the
// board does not change.
const readinessInterval = 200 * time.Millisecond

// process holds the parts that a router and an agent have in common.
type process struct {
	settings *settings.Common
	role     store.Role
	started  time.Time
	log      log.Interface
	board    *board.Board
	timeline *timeline.Timeline
	health   *health.Health
	signer   *ticket.Signer
	api      *platform.Client
	eras     *store.Eras // of the answers to api
	pool     *link.Pool

	configuration *configuration.Controller // set by newConfigurationController

	// hasUpstream tells whether the router knows an upstream that it can route
	// requests to; nil for an agent. It is set before the controllers start.
	hasUpstream func() bool

	// drainStarted is closed when a drain starts: when an operator asks for one
	// or the context of untilDrain ends.
	drainStarted   chan struct{}
	draining       atomic.Bool
	drainStartedAt atomic.Pointer[time.Time]
}

func newProcess(c *settings.Common, role store.Role, incarnation string) (*process, error) {
	name := c.Host + "/" + string(role)
	logger, err := logging.New(logging.Options{Level: c.LogLevel, Process: name})
	if err != nil {
		return nil, err
	}
	signer, err := ticket.NewSigner([]byte(c.TicketKey))
	if err != nil {
		return nil, err
	}
	eras := &store.Eras{}
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: c.Platform, Eras: eras})
	if err != nil {
		return nil, err
	}
	return &process{
		settings: c,
		role:     role,
		started:  time.Now(),
		log:      logger,
		board:    board.New(),
		timeline: timeline.New(timeline.Options{
			Process: name, Incarnation: incarnation,
			RequestEvents: int(c.RequestEvents), StateEvents: int(c.StateEvents),
		}),
		health: health.New(health.Configured, health.Registered, health.Accepting),
		signer: signer,
		api:    api,
		eras:   eras,
		pool: link.NewPool(link.ClientOptions{
			TLS: c.TLS, DialTimeout: c.DialTimeout, Bulk: wire.IsBulk,
			HeartbeatInterval: c.HeartbeatInterval, HeartbeatTimeout: c.HeartbeatTimeout,
		}),
		drainStarted: make(chan struct{}),
	}, nil
}

func (p *process) linkOptions() link.ServerOptions {
	return link.ServerOptions{TLS: p.settings.TLS, MaxConnections: int(p.settings.MaxConnections)}
}

// drain starts a graceful shutdown. Further calls do nothing.
func (p *process) drain() {
	if p.draining.CompareAndSwap(false, true) {
		now := time.Now()
		p.drainStartedAt.Store(&now)
		close(p.drainStarted)
	}
}

// untilDrain returns a context that ends with ctx or when a drain starts. The end
// of ctx starts a drain, too.
func (p *process) untilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-p.drainStarted:
			cancel()
		}
	}()
	context.AfterFunc(ctx, p.drain)
	return ctx, cancel
}

// watchReadiness updates the readiness conditions until ctx ends or a drain
// starts.
func (p *process) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		changed := p.board.Changed()
		p.updateReadiness()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-p.drainStarted:
			p.health.Set(health.Accepting, false, "draining")
			return
		case <-ticker.C:
		}
	}
}

func (p *process) updateReadiness() {
	p.health.Set(health.Configured, p.board.Configuration() != nil, "no configuration is in force yet")
	p.health.Set(health.Registered, p.hasUpstream == nil || p.hasUpstream(), "no upstream is known yet")
	if !p.draining.Load() {
		p.health.Set(health.Accepting, true, "")
	}
}

// serveAdmin serves the admin API on ln. The returned function stops the server.
func (p *process) serveAdmin(ln net.Listener, status func() admin.Status) func() {
	handler := admin.New(admin.Options{
		Token: p.settings.AdminToken, Health: p.health, Timeline: p.timeline,
		Status: status, Drain: p.drain,
		Configuration: &adminConfigurationStore{revision.New(revision.Options{Platform: p.api})},
	})
	server := admin.NewServer(handler, p.settings.HTTPCert, p.settings.HTTPKey)
	go func() {
		if err := server.Serve(ln); err != nil {
			p.log.WithError(err).Error("admin listener failed")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The error is ignored because the process is exiting.
		_ = server.Shutdown(ctx)
	}
}

// listen opens a listener on each address. If any of them fails, it closes the
// others and returns all errors.
func listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	var failures error
	for _, address := range addresses {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			failures = errors.CombineErrors(failures, errors.Wrap(err, "listen"))
			continue
		}
		listeners = append(listeners, ln)
	}
	if failures != nil {
		for _, ln := range listeners {
			_ = ln.Close()
		}
		return nil, failures
	}
	return listeners, nil
}
