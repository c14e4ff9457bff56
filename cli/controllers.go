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

// servePeers serves the other processes. The returned function stops it.
func (p *process) servePeers(server *link.Server, ln net.Listener) func() {
	go func() {
		if err := server.Serve(ln); err != nil {
			p.log.WithError(err).Error("listener for other processes failed")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The process ends anyway.
		_ = server.Shutdown(ctx)
	}
}

// newConfiguration returns the controller that keeps the configuration. Only
// routers seek peers; agents answer.
func (p *process) newConfiguration(meta peers.Meta) *configuration.Controller {
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

// publishCounters publishes counters under a name, once in a process.
func publishCounters(name string, counters *expvar.Map) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, counters)
	}
}

// startControllers starts what keeps the board, and more that belongs to the
// role, until the returned function is called. The controllers outlive a drain,
// so that work in progress is served under the rules in force.
func (p *process) startControllers(ctx context.Context, keeper *configuration.Controller, more ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	members := membership.New(membership.Options{Board: p.board, List: p.api, Log: p.log, Probe: keeper.Probe})
	publishCounters("membership", members.Vars())
	var wg sync.WaitGroup
	for _, run := range append(more, p.watchReadiness, p.recordAdoptions, keeper.Run, members.Run) {
		wg.Go(func() { run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// recordAdoptions enters each adopted version into the time line.
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
