// Package entry assembles the process of an entry host on the platform: the
// gateway for callers, the feeds of the records in the store, the mesh with the
// other routers, the readiness endpoint, and graceful shutdown.
package entry

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/gossip"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// configurationWatchTimeout and upstreamsWatchTimeout are the longest waits of a
	// watch: that the store tells it of no changes is detected when the watch ends. The
	// second is shorter, since an upstream that leaves must get no requests after its
	// drain time.
	configurationWatchTimeout = 800 * time.Millisecond
	upstreamsWatchTimeout     = 500 * time.Millisecond
	// storeCallTimeout limits one call to the store beyond its wait time: the
	// store answers within milliseconds, and a call on a connection that went
	// silent must be given up.
	storeCallTimeout = 900 * time.Millisecond
	// routersWatchTimeout is longer, because a router that is not listed yet
	// announces itself by connecting to the others.
	routersWatchTimeout = 5 * time.Second
	// reregistrationWindow is how long after the store is available again entries
	// that expired may still be registered again.
	reregistrationWindow = 2200 * time.Millisecond
	// leaseHeartbeats is the number of heartbeats without a write after which the
	// store removes an upstream's entry.
	leaseHeartbeats = 3
	// defaultHeartbeat is assumed if the settings name no heartbeat.
	defaultHeartbeat = 1200 * time.Millisecond
	// softMemoryShare is the share of the memory limit, without programBytes, above which the
	// garbage collector runs more often. It does not know of the memory of the program itself.
	softMemoryShare = 0.75
	programBytes    = 12 << 20
	// answerShare is the share of the memory limit reserved for answers that are held until
	// they can be delivered.
	answerShare = 0.125
	// readHeaderTimeout and maxHeaderBytes limit what a caller may send before the
	// limits of the configuration can be applied.
	readHeaderTimeout = routing.HeaderTimeout
	maxHeaderBytes    = routing.MaxHeaderBytes
)

// Options configures an entry host.
type Options struct {
	Settings     platform.Settings
	SettingsPath string // reloaded when it changes; empty if there is no file
	MetricsPort  string // empty disables the metrics endpoint
	// Hangup makes the host reload its settings; nil means SIGHUP from the start of Run on.
	Hangup <-chan os.Signal
	Log    log.Interface
}

// Host is the process of an entry host. Create it with New and start it with Run.
type Host struct {
	opts    Options
	log     log.Interface
	store   *platform.Client
	gateway *gateway.Gateway
	mesh    *gossip.Mesh

	configuration *feed.Feed
	upstreams     *feed.Feed
	routers       *feed.Feed
	blockedParts  *feed.Feed
	evacuations   *feed.Feed // nil if there are no evacuations in this deployment

	eras       *store.Eras
	held       *heldConfiguration
	confirmed  confirmations
	routerList routerList
	partList   partList
	invalid    invalidEntries

	started          time.Time
	streamsTried     chan struct{} // closed once the records of recent streams were read, or could not be
	streamsTriedOnce sync.Once     // closes streamsTried
	streamsRestored  atomic.Bool   // the records were read, or there are none
	versionsChanged  chan struct{} // has one element after a change of the upstreams of several versions

	upstreamsMu    sync.Mutex // guards the fields below
	missingEntries catalog.MissingEntries
	departed       catalog.Departed

	callers    *callerConns
	crowd      crowdState // used by maintain only
	stop       stopState
	introduced atomic.Bool // see awaitIntroduction
}

// New returns an entry host that is not running.
func New(opts Options) (*Host, error) {
	s := &opts.Settings
	eras := &store.Eras{}
	client, err := platform.NewClient(platform.ClientOptions{
		BaseURL: "http://" + s.StoreAddress, Timeout: storeCallTimeout, Eras: eras,
		Malformed: func(kind string, err error) {
			opts.Log.WithError(err).WithField("kind", kind).Warn("object in the store is malformed and ignored")
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "entry host")
	}
	h := &Host{
		opts:           opts,
		log:            opts.Log,
		store:          client,
		eras:           eras,
		missingEntries: catalog.MissingEntries{GracePeriod: reregistrationWindow},
		departed:       catalog.Departed{Window: reregistrationWindow + leaseHeartbeats*cmp.Or(s.Heartbeat, defaultHeartbeat)},
		callers:        newCallerConns(),

		started:         time.Now(),
		streamsTried:    make(chan struct{}),
		versionsChanged: make(chan struct{}, 1),
		stop:            stopState{limit: s.Bounds.Stop},
	}
	h.held = &heldConfiguration{host: h}
	h.confirmed.host = h
	h.gateway = gateway.New(gateway.Options{
		Protocol:       platform.Protocol{},
		Log:            opts.Log,
		FailureDomain:  s.FailureDomain,
		Regions:        s.Regions,
		Policy:         policy(s),
		MaxCallerBytes: callerMemory(s),

		MaxBufferedAnswerBytes: int64(float64(s.MemoryBytes) * answerShare),

		ConfirmationAges: func() (configuration, upstreams time.Duration) {
			return h.configuration.Stamp().Age, h.upstreams.Stamp().Age
		},
		LookUpStream: func(ctx context.Context, query gateway.StreamQuery) gateway.StreamAnswer {
			return h.mesh.LookUpStream(ctx, query)
		},
		TellStreams: func(ctx context.Context, home uint64, streams []gateway.Stream) bool {
			return h.mesh.TellStreams(ctx, home, streams)
		},
		StreamsComplete: func() bool { return h.mesh.StreamsComplete() },
		StreamsStored:   func() bool { return h.mesh.StreamsStored() },

		ConfirmUpstreams: h.confirmed.Confirm,
		AwaitStreams:     h.awaitStreams,
		StreamsRestored:  h.streamsRestored.Load,
		CacheShare:       h.cacheShare,
		Permit: func(ctx context.Context, key catalog.Key, rate float64) (bool, time.Duration) {
			return h.mesh.Permit(ctx, key.Sum(), rate)
		},
		ColdPermit: func(ctx context.Context, key catalog.Key, perSecond float64) (bool, time.Duration) {
			return h.mesh.ColdPermit(ctx, key.Sum(), perSecond)
		},
		Evacuations: s.Bounds.Evacuation > 0,
		PermitTrial: func(ctx context.Context) bool { return h.mesh.PermitTrial(ctx) },
	})
	h.callers.memory, h.callers.most = h.gateway.Memory(), maxCallers(s)
	h.configuration = h.newFeed(platform.KindConfiguration, configurationWatchTimeout, h.applyConfiguration)
	h.upstreams = h.newFeed(platform.KindUpstreams, upstreamsWatchTimeout, func(feed.Snapshot) { h.applyUpstreams() })
	h.routers = h.newFeed(platform.KindRouters, routersWatchTimeout, h.applyRouters)
	h.blockedParts = h.newFeed(platform.KindBlockedParts, partsWatchTimeout, h.applyBlockedParts)
	if s.Bounds.Evacuation > 0 {
		h.evacuations = h.newFeed(platform.KindEvacuations, upstreamsWatchTimeout, h.applyEvacuations)
	}
	h.mesh, err = gossip.New(gossip.Options{
		Router:        s.Host,
		Address:       s.PeersAddress,
		FailureDomain: s.FailureDomain,
		Seeds:         s.SeedAddresses,
		Feeds:         h.feeds(),
		Board:         h.gateway.Board(),
		Prompts:       h.gateway.Prompts(),
		Streams:       h.gateway.Streams(),
		TellsStreams:  h.gateway.TellsStreams,
		StartedLately: h.startedLately,

		NoEarlierStreams: s.FirstStart,
		StreamsRestored:  h.streamsRestored.Load,

		Leaving:       h.gateway.Leaving(),
		Crashes:       h.gateway.Crashes(),
		Limits:        h.gateway.Limits(),
		MergeLimit:    h.gateway.MergeLimit,
		Loads:         h.gateway.LoadModel(),
		Cold:          h.gateway.Cold(),
		MergeCold:     h.gateway.MergeCold,
		ColdOverrun:   s.Bounds.ColdOverrun,
		ColdTolerance: s.Bounds.ColdTolerance,
		MarkLeaving: func(key catalog.Key, age time.Duration) {
			h.gateway.MarkLeaving(key, gateway.LeavingPeer, age)
		},
		Restored:      h.restoredEntries,
		MergeRestored: h.mergeRestored,
		Caches:        h.gateway.LookUpCaches,
		Eras:          eras,
		Held:          h.held,
		UpstreamKey:   h.gateway.UpstreamKey,
		Log:           opts.Log,
	})
	if err != nil {
		return nil, errors.Wrap(err, "entry host")
	}
	return h, nil
}

// feeds returns the feeds in the order that all routers use for messages to each other.
func (h *Host) feeds() []*feed.Feed {
	feeds := []*feed.Feed{h.configuration, h.upstreams, h.routers, h.blockedParts}
	if h.evacuations != nil {
		feeds = append(feeds, h.evacuations)
	}
	return feeds
}

func (h *Host) newFeed(kind string, wait time.Duration, changed func(feed.Snapshot)) *feed.Feed {
	return feed.New(feed.Options{
		Kind: kind, Source: h.store, Wait: wait, Log: h.log, Eras: h.eras,
		Watcher: func() bool { return h.mesh.Watcher() },
		Changed: func(s feed.Snapshot) {
			defer panics.Recover(h.log, "content", log.Fields{"kind": kind, "revision": s.Revision})
			changed(s)
			h.mesh.Announce()
		},
	})
}

// Run serves until ctx ends and the graceful shutdown that follows is complete.
func (h *Host) Run(ctx context.Context) error {
	s := &h.opts.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(max(0, s.MemoryBytes-programBytes)) * softMemoryShare))
	}
	listeners, err := listen(s.CallersAddress, s.ReadyAddress, s.PeersAddress)
	if err != nil {
		return err
	}
	h.logState("started")
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(running)
	h.serveInternal(listeners[1], listeners[2])
	callers := &http.Server{
		Handler:                      h.gateway,
		ReadHeaderTimeout:            readHeaderTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    h.callers.trackState,
		DisableGeneralOptionsHandler: true,
	}
	failed := make(chan error, 1)
	go func() { failed <- callers.Serve(callerListener{listeners[0], h.callers}) }()
	select {
	case err = <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	h.drain(listeners[0])
	_ = callers.Close() // the process exits next
	h.logState("stopped")
	return nil
}

// listen opens all the listeners; on error it closes those already open.
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

func (h *Host) logState(state string) {
	s := &h.opts.Settings
	h.log.WithFields(log.Fields{
		"failure_domain": s.FailureDomain, "callers": s.CallersAddress, "peers": s.PeersAddress,
		"store": s.StoreAddress, "config": h.gateway.Version(),
	}).Info("router " + state)
}

// start starts all background tasks; they run until ctx ends.
func (h *Host) start(ctx context.Context) {
	for _, f := range h.feeds() {
		go f.Run(ctx)
	}
	for _, run := range []func(context.Context){
		h.mesh.Run, h.register, h.maintain, h.watchSettings, h.readCaches, h.listBlockedParts, h.awaitEvacuations, h.awaitIntroduction,
		h.storeStreams, h.restoreStreams,
	} {
		go h.runTask(ctx, run)
	}
}

// taskRestartDelay is the time after which a background task that panicked is started again.
const taskRestartDelay = time.Second

// runTask runs a background task. If it panics, it is started again: without it the router
// would go on with content that grows old.
func (h *Host) runTask(ctx context.Context, run func(context.Context)) {
	for {
		ended := func() bool {
			defer panics.Recover(h.log, "task", nil)
			run(ctx)
			return true
		}()
		if ended || ctx.Err() != nil {
			return
		}
		sleep(ctx, taskRestartDelay)
	}
}

// serveInternal serves readiness, connections of other routers, and metrics. A
// failure of any of them is only logged, since callers can be served without them.
func (h *Host) serveInternal(ready, peers net.Listener) {
	readiness := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.ReadyPath && h.ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h.serveInBackground("readiness", func() error {
		return newInternalServer(readiness).Serve(ready)
	})
	h.serveInBackground("routers", func() error { return h.mesh.Server().Serve(peers) })
	if h.opts.MetricsPort == "" {
		return
	}
	host, _, err := net.SplitHostPort(h.opts.Settings.PeersAddress)
	if err != nil {
		return // does not happen: the settings were validated
	}
	expvar.Publish("gateway", h.gateway.Metrics())
	expvar.Publish("callers", expvar.Func(func() any { return h.callers.counts() }))
	expvar.Publish("store", expvar.Func(h.storeMetrics))
	server := newInternalServer(expvar.Handler())
	server.Addr = net.JoinHostPort(host, h.opts.MetricsPort)
	h.serveInBackground("metrics", server.ListenAndServe)
}

// storeMetrics returns what is known of the store: its era, how often it has returned
// from a copy, and the age of the content of each kind.
func (h *Host) storeMetrics() any {
	ages := make(map[string]int64)
	for _, f := range h.feeds() {
		stamp := f.Stamp()
		ages[f.Kind()] = stamp.Age.Milliseconds()
	}
	return map[string]any{"era": h.eras.Newest(), "returns": h.eras.Returns(), "content_age_ms": ages}
}

func (h *Host) serveInBackground(what string, run func() error) {
	go func() {
		if err := run(); err != nil {
			h.log.WithError(err).Errorf("cannot serve %s", what)
		}
	}()
}

// ready reports whether the router accepts new connections of callers. An outage
// of the store alone does not make it unready.
func (h *Host) ready() bool {
	return h.initialized() && !h.stop.begun()
}

// initialized reports whether the configuration, the upstreams and the evacuations are
// known.
func (h *Host) initialized() bool {
	at := h.upstreams.Stamp()
	return h.gateway.Version() != 0 && at.Revision != 0 && !h.awaitsIntroduction(at.Era) && h.gateway.KnowsEvacuations()
}
