package cli

import (
	"context"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/load"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/peers"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/fleet/settings"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"
)

// Router runs a router until ctx ends or an operator drains it, and returns
// the exit code.
func Router(ctx context.Context, args []string, env Environment) int {
	s, err := settings.ParseRouter(args, env.Getenv)
	if code, done := handleAction(s.Action, settings.RouterHelp(), err, env); done {
		return code
	}
	return reportResult(runRouter(ctx, s), env)
}

func runRouter(ctx context.Context, s *settings.Router) error {
	incarnation := randid.New()
	p, err := newProcess(&s.Common, store.RoleRouter, incarnation)
	if err != nil {
		return err
	}
	defer p.pool.Close()
	keys := claims.New(claims.Options{Store: p.api, Eras: p.eras})
	// Set before the process accepts calls, so that OnConfigVersion never sees nil.
	var configController *configuration.Controller
	r, err := router.New(router.Options{
		Host: s.Host, FailureDomain: s.FailureDomain, Incarnation: incarnation,
		Signer: p.signer, Board: p.board, Pool: p.pool, Timeline: p.timeline, Log: p.log,
		MaxBodyBytes: s.MaxBodyBytes, BodyMemoryBytes: s.BodyMemoryBytes, MaxHeaderBytes: int(s.MaxHeaderBytes), MaxAnswerBytes: s.MaxAnswerBytes,
		MaxRequests: s.MaxRequests, MaxConnections: int(s.CallerConnections), Timeout: s.RequestTimeout, MaxTimeout: s.MaxRequestTimeout,
		HeaderTimeout: s.ReadHeaderTimeout, BodyTimeout: s.ReadTimeout,
		IdleTimeout: s.IdleTimeout, WriteTimeout: s.WriteTimeout, EventTimeout: s.EventTimeout,
		DrainDelay: s.DrainDelay, DrainTimeout: s.DrainTimeout,
		CertFile: s.HTTPCert, KeyFile: s.HTTPKey,
		Keys:            keys,
		OnConfigVersion: func(host string, version uint64) { configController.ObservePeerVersion(host, version) },
	})
	if err != nil {
		return err
	}
	p.hasUpstream = r.HasUpstream
	configController = p.newConfigurationController(r.Meta)
	listeners, err := listen(s.Listen, s.AdminListen, s.RPCListen)
	if err != nil {
		return err
	}
	server, err := link.NewServer(p.linkOptions(), timeline.ReceiverName, &timeline.Receiver{Timeline: p.timeline})
	if err != nil {
		return err
	}
	if err := server.Register(peers.ReceiverName, peers.NewReceiver(configController, r.Meta)); err != nil {
		return err
	}
	collectors := load.NewCollectors(p.board)
	if err := server.Register(load.RPCName, load.NewService(collectors)); err != nil {
		return err
	}
	defer p.serveAdmin(listeners[1], func() admin.Status { return p.status(incarnation, r.InProgress()) })()
	defer p.servePeers(server, listeners[2])()
	exchange := load.ExchangeOptions{Host: s.Host, Caller: load.PoolCaller{Pool: p.pool}}
	collect := func(ctx context.Context) { collectors.Run(ctx, exchange) }
	sweeper := claims.NewSweeper(claims.SweeperOptions{Store: p.api})
	defer p.startControllers(ctx, configController, collect, sweeper.Run, keys.Run)()
	p.announceStart(s.Listen)
	serveCtx, cancel := p.untilDrain(ctx)
	defer cancel()
	err = r.Run(serveCtx, listeners[0])
	p.announceStop(err)
	return err
}
