package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
)

const (
	incarnationBytes = 16
	pollInterval     = 500 * time.Millisecond
	configKey        = "config/current"
)

// newIncarnation draws the identity of this start of the process.
func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

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

// startControllers starts what keeps the board, until the returned function is
// called. The controllers outlive a drain, so that work in progress is served
// under the rules in force.
func (p *process) startControllers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { p.watchReadiness(ctx) })
	wg.Go(func() { p.poll(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// poll reads the configuration and the host list.
func (p *process) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *process) pollOnce(ctx context.Context) {
	if hosts, err := p.api.Hosts(ctx); err == nil {
		p.board.ObserveHostList(hosts)
	}
	object, err := p.api.Get(ctx, configKey)
	if err != nil {
		return
	}
	cfg, err := config.Decode(object.Value)
	if err != nil {
		cfg = &config.Config{}
		if err := config.DecodeJSON(object.Value, cfg); err != nil {
			return
		}
	}
	if p.board.Adopt(cfg, "platform") {
		p.timeline.Record(timeline.Event{Kind: timeline.KindConfigurationAdopted, Version: cfg.Version})
	}
}
