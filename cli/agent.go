package cli

import (
	"context"
	"net/url"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/load"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/peers"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/settings"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"

	"github.com/cockroachdb/errors"
)

// Agent runs an agent until ctx ends or an operator drains it, and returns the
// exit code.
func Agent(ctx context.Context, args []string, env Environment) int {
	s, err := settings.ParseAgent(args, env.Getenv)
	if code, done := handleAction(s.Action, settings.AgentHelp(), err, env); done {
		return code
	}
	return reportResult(runAgent(ctx, s), env)
}

func runAgent(ctx context.Context, s *settings.Agent) error {
	upstream, err := url.Parse(s.Upstream)
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	incarnation := randid.New()
	p, err := newProcess(&s.Common, store.RoleAgent, incarnation)
	if err != nil {
		return err
	}
	defer p.pool.Close()
	listeners, err := listen(s.Listen, s.AdminListen)
	if err != nil {
		return err
	}
	// Set before the process accepts calls, so that OnConfigVersion never sees nil.
	var configController *configuration.Controller
	a, err := agent.New(agent.Options{
		Host: s.Host, Service: s.Service, FailureDomain: s.FailureDomain, Address: s.Advertise,
		Incarnation: incarnation,
		Upstream:    upstream, Signer: p.signer, Board: p.board, Timeline: p.timeline, Log: p.log,
		KeptAnswerBytes: s.KeptAnswerBytes, MaxAnswerBytes: s.MaxAnswerBytes, MaxRunning: int(s.MaxRunning),
		MaxQueued: int(s.MaxQueued), MaxQueueWait: s.MaxQueueWait,
		WindowDuration: s.WindowDuration, Windows: int(s.WindowsKept), MaxRecords: int(s.MaxTickets),
		UpstreamTimeout: s.UpstreamTimeout, UnreadRetention: s.KeptAnswerTime, DrainTimeout: s.DrainTimeout, DrainQuiet: s.DrainQuiet,
		Listener:        listeners[0],
		ReadLimit:       platform.ReadLimit,
		OnConfigVersion: func(host string, version uint64) { configController.ObservePeerVersion(host, version) },
	})
	if err != nil {
		return err
	}
	configController = p.newConfigurationController(a.Meta)
	server, err := link.NewServer(p.linkOptions(), agent.RPCName, agent.NewService(a))
	if err != nil {
		return err
	}
	if err := server.Register(peers.ReceiverName, peers.NewReceiver(configController, a.Meta)); err != nil {
		return err
	}
	if err := server.Register(timeline.ReceiverName, &timeline.Receiver{Timeline: p.timeline}); err != nil {
		return err
	}
	status := func() admin.Status {
		load := a.Load()
		st := p.status(incarnation, load.InFlight+load.Queued)
		st.Upstream = &admin.Upstream{Service: s.Service, InFlight: load.InFlight, Queued: load.Queued, Bound: load.Bound, Window: a.Window()}
		return st
	}
	defer p.serveAdmin(listeners[1], status)()
	reporter := load.NewReporter(load.ReporterOptions{
		Host: s.Host, Service: s.Service, FailureDomain: s.FailureDomain,
		Board: p.board, Caller: load.PoolCaller{Pool: p.pool}, Upstream: a,
	})
	defer p.startControllers(ctx, configController, reporter.Run)()
	p.announceStart(s.Listen)
	serveCtx, cancel := p.untilDrain(ctx)
	defer cancel()
	err = a.Run(serveCtx, server)
	p.announceStop(err)
	return err
}
