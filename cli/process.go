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

// readinessInterval is how often the conditions of readiness are looked at
// when nothing changes on the board.
const readinessInterval = 200 * time.Millisecond

// process holds what a router and an agent have in common.
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
	pool     *link.Pool

	configuration *configuration.Controller // set by newConfiguration

	// choosable tells whether the router has an upstream to choose; nil for an
	// agent. It is set before the controllers start.
	choosable func() bool

	// drainBegun is closed when an operator asks for a planned stop.
	drainBegun chan struct{}
	draining   atomic.Bool
	drainSince atomic.Pointer[time.Time]
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
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: c.Platform})
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
		pool: link.NewPool(link.ClientOptions{
			TLS: c.TLS, DialTimeout: c.DialTimeout, Bulk: wire.IsBulk,
			HeartbeatInterval: c.Heartbeat, HeartbeatTimeout: c.Silence,
		}),
		drainBegun: make(chan struct{}),
	}, nil
}

func (p *process) linkOptions() link.ServerOptions {
	return link.ServerOptions{TLS: p.settings.TLS, MaxConnections: int(p.settings.MaxConnections)}
}

// drain begins the planned stop; called again it does nothing.
func (p *process) drain() {
	if p.draining.CompareAndSwap(false, true) {
		now := time.Now()
		p.drainSince.Store(&now)
		close(p.drainBegun)
	}
}

// untilDrain returns a context that ends with ctx or when a drain begins.
func (p *process) untilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-p.drainBegun:
			cancel()
		}
	}()
	context.AfterFunc(ctx, p.drain)
	return ctx, cancel
}

// watchReadiness keeps the conditions of readiness until ctx ends.
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
		case <-p.drainBegun:
			p.health.Set(health.Accepting, false, "draining")
			return
		case <-ticker.C:
		}
	}
}

func (p *process) updateReadiness() {
	p.health.Set(health.Configured, p.board.Configuration() != nil, "no configuration is in force yet")
	p.health.Set(health.Registered, p.choosable == nil || p.choosable(), "no upstream is known yet")
	if !p.draining.Load() {
		p.health.Set(health.Accepting, true, "")
	}
}

// serveAdmin serves operators on a listener. The returned function stops it.
func (p *process) serveAdmin(ln net.Listener, status func() admin.Status) func() {
	handler := admin.New(admin.Options{
		Token: p.settings.AdminToken, Health: p.health, Timeline: p.timeline,
		Status: status, Drain: p.drain,
		Configuration: &adminVersions{revision.New(revision.Options{Platform: p.api})},
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
		// The process ends anyway.
		_ = server.Shutdown(ctx)
	}
}

// listen opens all listeners, or none and reports every failure.
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
