// Package entry assembles the process of an entry host on the platform: the
// gateway for callers, the feeds of what the store holds, the mesh with the
// other routers, readiness and the planned stop.
package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/gossip"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// configurationWait and upstreamsWait bound one watch: a connection that
	// went silent is found when it ends.
	configurationWait = 800 * time.Millisecond
	upstreamsWait     = 800 * time.Millisecond
	// storeTimeout bounds one call beyond its wait: the store answers in
	// milliseconds, and a connection that went silent must be given up.
	storeTimeout = 900 * time.Millisecond
	// routersWait is longer: a router that is not known yet makes itself known
	// by calling.
	routersWait = 5 * time.Second
	// returnWindow is how long after the store's return expired entries may be
	// back.
	returnWindow = 2200 * time.Millisecond
	// memoryShare of the limit is where the garbage collector works harder.
	memoryShare = 0.75
	// bodyShare of the memory limit is set aside for request bodies.
	bodyShare = 0.125
	// headerTimeout and maxHeaderBytes bound what a caller may send before the
	// configuration's own limits can be looked at.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// Options sets up an entry host.
type Options struct {
	Settings     platform.Settings
	SettingsPath string // read again when it changes; empty if there is no file
	MetricsPort  string // empty means none
	Log          log.Interface
}

// Host is the process of an entry host. Use Run.
type Host struct {
	opts    Options
	log     log.Interface
	store   *platform.Client
	gateway *gateway.Gateway
	mesh    *gossip.Mesh

	configuration *feed.Feed
	upstreams     *feed.Feed
	routers       *feed.Feed

	lapsing sync.Mutex // guards lapse
	lapse   catalog.Lapse

	idle *idleConns
	stop stopState
}

// New returns an entry host that is not running.
func New(opts Options) (*Host, error) {
	s := &opts.Settings
	client, err := platform.NewClient(platform.ClientOptions{
		BaseURL: "http://" + s.StoreAddress, Timeout: storeTimeout,
		Malformed: func(kind string, err error) {
			opts.Log.WithError(err).WithField("kind", kind).Warn("object of the store left out")
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "entry host")
	}
	h := &Host{
		opts:  opts,
		log:   opts.Log,
		store: client,
		lapse: catalog.Lapse{Return: returnWindow},
		idle:  newIdleConns(),
		stop:  stopState{limit: s.Bounds.Stop},
	}
	h.gateway = gateway.New(gateway.Options{
		Protocol:             platform.Protocol{},
		Log:                  opts.Log,
		FailureDomain:        s.FailureDomain,
		Policy:               policy(s),
		MaxBufferedBodyBytes: int64(float64(s.MemoryBytes) * bodyShare),
		ConfirmationAges: func() (configuration, upstreams time.Duration) {
			return h.configuration.Stamp().Age, h.upstreams.Stamp().Age
		},
	})
	h.configuration = h.feed(platform.KindConfiguration, configurationWait, h.applyConfiguration)
	h.upstreams = h.feed(platform.KindUpstreams, upstreamsWait, h.applyUpstreams)
	h.routers = h.feed(platform.KindRouters, routersWait, h.applyRouters)
	h.mesh, err = gossip.New(gossip.Options{
		Router:  s.Host,
		Address: s.PeersAddress,
		Seeds:   s.SeedAddresses,
		Feeds:   []*feed.Feed{h.configuration, h.upstreams, h.routers},
		Board:   h.gateway.Board(),
		Prompts: h.gateway.Prompts(),
		Log:     opts.Log,
	})
	return h, errors.Wrap(err, "entry host")
}

func (h *Host) feed(kind string, wait time.Duration, changed func(feed.Snapshot)) *feed.Feed {
	return feed.New(feed.Options{
		Kind: kind, Source: h.store, Wait: wait, Log: h.log,
		Watcher: func() bool { return h.mesh.Watcher() },
		Changed: func(s feed.Snapshot) {
			changed(s)
			h.mesh.Announce()
		},
	})
}

// Run serves until ctx ends and the planned stop that it begins is over.
func (h *Host) Run(ctx context.Context) error {
	s := &h.opts.Settings
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	listeners, err := listen(s.CallersAddress, s.ReadyAddress, s.PeersAddress)
	if err != nil {
		return err
	}
	h.announce("started")
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(running)
	h.serveAside(listeners[1], listeners[2])
	callers := &http.Server{
		Handler:                      h.gateway,
		ReadHeaderTimeout:            headerTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    h.idle.note,
		DisableGeneralOptionsHandler: true,
	}
	failed := make(chan error, 1)
	go func() { failed <- callers.Serve(listeners[0]) }()
	select {
	case err = <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	h.drain()
	_ = callers.Close() // the process ends
	h.announce("stopped")
	return nil
}

// listen opens the listeners, or none.
func listen(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func (h *Host) announce(event string) {
	s := &h.opts.Settings
	h.log.WithFields(log.Fields{
		"failure_domain": s.FailureDomain, "callers": s.CallersAddress, "peers": s.PeersAddress,
		"store": s.StoreAddress, "config": h.gateway.Version(),
	}).Info("router " + event)
}

// start runs everything beside the request path until ctx ends.
func (h *Host) start(ctx context.Context) {
	for _, run := range []func(context.Context){
		h.configuration.Run, h.upstreams.Run, h.routers.Run, h.mesh.Run,
		h.register, h.maintain, h.watchSettings, h.readCaches,
	} {
		go run(ctx)
	}
}

// serveAside serves readiness, the other routers and metrics. Their failure is
// logged: callers can be served without.
func (h *Host) serveAside(ready, peers net.Listener) {
	readiness := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.ReadyPath && h.ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h.serve("readiness", func() error {
		return (&http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}).Serve(ready)
	})
	h.serve("routers", func() error { return h.mesh.Server().Serve(peers) })
	if h.opts.MetricsPort == "" {
		return
	}
	host, _, err := net.SplitHostPort(h.opts.Settings.PeersAddress)
	if err != nil {
		return // the settings are checked
	}
	expvar.Publish("gateway", h.gateway.Metrics())
	server := &http.Server{
		Addr: net.JoinHostPort(host, h.opts.MetricsPort), Handler: expvar.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	h.serve("metrics", server.ListenAndServe)
}

func (h *Host) serve(what string, run func() error) {
	go func() {
		if err := run(); err != nil {
			h.log.WithError(err).Errorf("cannot serve %s", what)
		}
	}()
}

// ready tells whether new connections of callers are welcome. An outage of the
// store alone does not matter.
func (h *Host) ready() bool {
	return h.informed() && !h.stop.begun()
}

// informed tells whether the configuration and the upstreams are known.
func (h *Host) informed() bool {
	return h.gateway.Version() != 0 && h.upstreams.Stamp().Revision != 0
}
