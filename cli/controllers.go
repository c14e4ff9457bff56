package cli

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/membership"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/peers"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"
)

func (p *process) announceStart(address string) {
	p.timeline.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	p.log.WithField("address", address).WithField("version", Version()).Info("started")
}

func (p *process) announceStop(err error) {
	p.timeline.Record(timeline.Event{Kind: timeline.KindProcessStopped})
	if err != nil {
		p.log.WithError(err).Error("stopped")
		return
	}
	p.log.Info("stopped")
}

// servePeers serves calls from other processes on ln. The returned function stops
// the server.
func (p *process) servePeers(server *link.Server, ln net.Listener) func() {
	go func() {
		if err := server.Serve(ln); err != nil {
			p.log.WithError(err).Error("listener for other processes failed")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The error is ignored because the process is exiting.
		_ = server.Shutdown(ctx)
	}
}

// newConfigurationController returns the controller that keeps the configuration
// up to date. Only routers contact peers; agents only answer them.
func (p *process) newConfigurationController(meta peers.Meta) *configuration.Controller {
	opts := configuration.Options{
		Host: p.settings.Host, FailureDomain: p.settings.FailureDomain, Role: p.role,
		Board: p.board, Store: p.api, Log: p.log,
	}
	if p.role == store.RoleRouter {
		opts.Peers = peers.NewLinks(p.board, p.pool, meta)
	}
	p.configuration = configuration.New(opts)
	publishCounters("configuration", p.configuration.Vars())
	return p.configuration
}

// publishCounters publishes counters under name unless the process has already
// published that name.
func publishCounters(name string, counters *expvar.Map) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, counters)
	}
}

// startControllers starts the controllers that update the board, and those that
// only this role has. They run until the returned function is called. Because a
// drain does not stop them, requests in progress are still served under the
// configuration in force.
func (p *process) startControllers(ctx context.Context, configController *configuration.Controller, roleControllers ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	members := membership.New(membership.Options{Board: p.board, List: p.api, Log: p.log, Probe: configController.Probe})
	publishCounters("membership", members.Vars())
	var wg sync.WaitGroup
	for _, run := range append(roleControllers, p.watchReadiness, p.recordAdoptions, configController.Run, members.Run) {
		wg.Go(func() { run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// recordAdoptions records each newly adopted configuration version in the timeline.
func (p *process) recordAdoptions(ctx context.Context) {
	last := uint64(0)
	for {
		changed := p.board.Changed()
		if a := p.board.Configuration(); a != nil && a.Config.Version > last {
			last = a.Config.Version
			p.timeline.Record(timeline.Event{Kind: timeline.KindConfigurationAdopted, Version: last, Reason: a.From})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
