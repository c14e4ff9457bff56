package gateway

import (
	"cmp"
	"context"
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/cold"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/internal/membudget"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
)

// Options configures a Gateway.
type Options struct {
	Protocol      Protocol
	Log           log.Interface
	FailureDomain string
	Regions       map[string]string // region by failure domain
	Policy        Policy
	// MaxCallerBytes limits the memory for callers: request bodies, large answers that have not
	// been read, and what else is reserved in Memory; 0 means no limit.
	MaxCallerBytes int64
	// MaxBufferedAnswerBytes limits the total size of the answers that are held until they
	// can be delivered, such as incomplete events, beyond the first 16 kB of each; 0 means
	// DefaultMaxBufferedAnswerBytes.
	MaxBufferedAnswerBytes int64
	// ConfirmationAges returns how long ago the configuration and the list of
	// upstreams were last confirmed to be the newest; nil means just now.
	ConfirmationAges func() (configuration, upstreams time.Duration)
	// LookUpStream asks other routers for the version that began a stream; nil means that
	// none knows. It returns when ctx ends.
	LookUpStream func(ctx context.Context, query StreamQuery) StreamAnswer
	// TellStreams tells other routers of records of a stream whose first event is about to be
	// delivered, so that its caller can take it up there; home is the hash by which they are chosen.
	// It returns when those know it that rely on it, or false if ctx ends before; nil means that
	// there are none.
	TellStreams func(ctx context.Context, home uint64, streams []Stream) bool
	// StreamsComplete reports whether each stream that a caller can take up is recorded here,
	// whichever router began it; nil means that it is not known.
	StreamsComplete func() bool
	// StreamsStored reports whether all other routers had ended before this one started a short time
	// ago, and the records of streams that the store holds were read; nil means that it is not so.
	StreamsStored func() bool
	// ConfirmUpstreams reads what has changed in the list of upstreams, puts it in use, and
	// reports whether the list is the newest one of a moment after the call. Nil means that it
	// always is.
	ConfirmUpstreams func(ctx context.Context) bool
	// AwaitStreams waits until the records of streams from before the start of this router are
	// there, or until ctx ends or they are not to be expected; nil means that there are none.
	AwaitStreams func(ctx context.Context)
	// StreamsRestored reports whether the records of streams and of upstreams from before the
	// start of this router were read, or there are none; nil means that it always does.
	StreamsRestored func() bool
	// CacheShare returns which upstreams' cache lists this router reads for lookups of other
	// routers. It is called for each lookup; nil means all.
	CacheShare func() func(*catalog.Upstream) bool
	// Permit asks for a permit to send one request to an upstream that names a limit, in
	// requests a second. If it is denied, wait is the time after which it may be asked for
	// again. Nil means that this router sends alone.
	Permit func(ctx context.Context, key catalog.Key, rate float64) (granted bool, wait time.Duration)
	// ColdPermit asks for a permit to send one request to a cold upstream, which takes
	// perSecond requests a second. If it is denied, wait is the time after which it may be
	// asked for again. Nil means that this router sends alone.
	ColdPermit func(ctx context.Context, key catalog.Key, perSecond float64) (granted bool, wait time.Duration)
	// Evacuations is true if failure domains can be evacuated in this deployment. Requests
	// then wait for the first list of them.
	Evacuations bool
	// PermitTrial asks whether a blocked request may be let through to find out whether it is
	// sound, as the only one of the whole fleet. Nil means never.
	PermitTrial func(ctx context.Context) bool
}

// Policy holds the parameters of a gateway's placement, retry and ejection
// decisions.
type Policy struct {
	Prompt     place.PromptOptions
	Least      place.LeastOptions
	RetryRatio float64 // this router's retries to a service, as a share of its requests to it
	RetryExtra float64 // retries of all routers together beyond that share, per window
	// QueueShare is the queue at each plain upstream for which this router still sends, as a
	// share of the upstream's slots; 0 means a default for a few routers.
	QueueShare float64
	Eject      eject.Options
	// Queue makes requests without prompt parts wait at the router while their service has no
	// capacity.
	Queue bool
}

// Gateway serves requests from callers. It implements http.Handler. All methods
// may be called concurrently.
type Gateway struct {
	opts    Options
	pool    *forward.Pool
	board   *Board
	prompts *Prompts
	streams *Streams
	leaving *Leaving
	limits  *Limits
	loads   *LoadModel
	cold    *Cold
	crashes *Crashes
	caches  *CacheIndex
	// listReads has an element for each cache list that is being read.
	listReads chan struct{}
	metrics   *metrics
	slowest   *slowestAnswers
	queues    *queues
	memory    *membudget.Budget // held for callers

	policy         atomic.Pointer[Policy]
	regions        atomic.Pointer[map[string]string]
	table          atomic.Pointer[routing.Table]
	evacuations    atomic.Pointer[evacuationState] // nil if no failure domain is evacuated
	evacuationMu   sync.Mutex                      // serializes changes of evacuations
	configured     chan struct{}                   // closed once a table, a catalog and the evacuations are set
	configuredOnce sync.Once                       // closes configured
	catalog        atomic.Pointer[catalog.Catalog]
	routerCount    atomic.Int64               // routers that share the retry budgets and the upstreams' connection limits
	draining       atomic.Pointer[drainState] // nil until a drain begins
	drainBegun     context.Context            // ends once draining is set
	endDrainBegun  context.CancelFunc
	started        time.Time
	tellsUntil     atomic.Int64    // nanoseconds from started; see promisesToTell
	running        context.Context // ends when the requests in progress are canceled
	cancelRunning  context.CancelFunc
	activeRequests atomic.Int64 // requests being served
	answers        answerMemory
	versions       versionHistory
	sessions       sessions
	loggedBlocked  map[uint64]bool // parts that were last logged as blocked

	mu           sync.Mutex
	retryBudgets map[string]*retry.Budget // keyed by service
}

// New returns a gateway without a configuration. It refuses all requests until a
// table and a catalog are set.
func New(opts Options) *Gateway {
	if opts.ConfirmationAges == nil {
		opts.ConfirmationAges = func() (configuration, upstreams time.Duration) { return 0, 0 }
	}
	if opts.LookUpStream == nil {
		opts.LookUpStream = func(context.Context, StreamQuery) StreamAnswer { return StreamAnswer{} }
	}
	if opts.TellStreams == nil {
		opts.TellStreams = func(context.Context, uint64, []Stream) bool { return true }
	}
	if opts.StreamsComplete == nil {
		opts.StreamsComplete = func() bool { return false }
	}
	if opts.StreamsStored == nil {
		opts.StreamsStored = func() bool { return false }
	}
	if opts.ConfirmUpstreams == nil {
		opts.ConfirmUpstreams = func(context.Context) bool { return true }
	}
	if opts.AwaitStreams == nil {
		opts.AwaitStreams = func(context.Context) {}
	}
	if opts.StreamsRestored == nil {
		opts.StreamsRestored = func() bool { return true }
	}
	if opts.PermitTrial == nil {
		opts.PermitTrial = func(context.Context) bool { return false }
	}
	if opts.Permit == nil {
		permits := NewPermits()
		opts.Permit = func(_ context.Context, key catalog.Key, rate float64) (bool, time.Duration) {
			return permits.Grant(key.Sum(), rate)
		}
	}
	if opts.ColdPermit == nil {
		permits := NewColdPermits()
		opts.ColdPermit = func(_ context.Context, key catalog.Key, perSecond float64) (bool, time.Duration) {
			return permits.Grant(key.Sum(), cold.Share{Rate: perSecond, Burst: 1})
		}
	}
	g := &Gateway{
		opts:         opts,
		board:        NewBoard(opts.Policy.Eject),
		prompts:      NewPrompts(),
		streams:      NewStreams(),
		leaving:      NewLeaving(),
		limits:       NewLimits(),
		cold:         NewCold(),
		crashes:      NewCrashes(),
		caches:       NewCacheIndex(),
		listReads:    make(chan struct{}, cacheListConcurrency),
		metrics:      newMetrics(),
		slowest:      newSlowestAnswers(time.Now()),
		queues:       newQueues(),
		memory:       membudget.New(cmp.Or(opts.MaxCallerBytes, math.MaxInt64)),
		retryBudgets: make(map[string]*retry.Budget),
		configured:   make(chan struct{}),
		started:      time.Now(),
	}
	g.loads = NewLoadModel(func(key catalog.Key) string {
		if u := g.catalog.Load().Find(key.ID); u != nil {
			return u.Service
		}
		return ""
	})
	g.answers.limit = cmp.Or(opts.MaxBufferedAnswerBytes, DefaultMaxBufferedAnswerBytes)
	g.board.ownWork = g.loads.OwnWork
	g.metrics.vars.Set("predictions", g.loads.errors)
	g.metrics.vars.Set("caller_memory", expvar.Func(func() any { return g.memory.Used() }))
	g.metrics.vars.Set("caller_memory_evicted", g.memory.Evicted())
	g.metrics.vars.Set("caller_memory_refused", g.memory.Refused())
	g.running, g.cancelRunning = context.WithCancel(context.Background())
	g.drainBegun, g.endDrainBegun = context.WithCancel(context.Background())
	g.policy.Store(&opts.Policy)
	g.regions.Store(&opts.Regions)
	g.routerCount.Store(1)
	g.catalog.Store(emptyCatalog)
	if opts.Evacuations {
		g.evacuations.Store(&evacuationState{unknown: true})
	}
	g.pool = forward.NewPool(forward.Options{
		Matches: func(r *forward.Request, a *forward.Response) bool {
			return opts.Protocol.AnswerAttempt(a.Header) == r.ID
		},
		LateAnswer: func(*forward.Request, *forward.Response) { g.metrics.lateAnswers.Add(1) },
		Dialed:     g.metrics.dialed,
		Panicked:   func(r *forward.Request, value any) { g.reportPanic("body", r.ID, value) },
	})
	return g
}

// emptyCatalog is used until the first catalog is set.
var emptyCatalog = catalog.New(0, nil)

// markConfigured releases the requests that wait for the first table, catalog and list of
// evacuations, once all are set.
func (g *Gateway) markConfigured() {
	evacuations := g.evacuations.Load()
	if g.table.Load() != nil && g.catalog.Load() != emptyCatalog && (evacuations == nil || !evacuations.unknown) {
		g.configuredOnce.Do(func() { close(g.configured) })
	}
}

// Catalog returns the list of upstreams in use.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Board returns the record of the state of each upstream.
func (g *Gateway) Board() *Board { return g.board }

// Prompts returns the record of which upstreams have cached which prompt parts.
func (g *Gateway) Prompts() *Prompts { return g.prompts }

// Streams returns the record of the versions that began resumable streams.
func (g *Gateway) Streams() *Streams { return g.streams }

// SetTable puts a configuration in force for requests that arrive from now on, and
// reports whether it did. A version that is not newer than the one in force is
// ignored.
func (g *Gateway) SetTable(t *routing.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && t.Version <= current.Version {
			return false
		}
		if g.table.CompareAndSwap(current, t) {
			g.markConfigured()
			return true
		}
	}
}

// UpstreamKey returns the key of the listed upstream whose key has the short hash.
func (g *Gateway) UpstreamKey(sum uint32) (catalog.Key, bool) {
	u := g.catalog.Load().FindSum(sum)
	if u == nil {
		return catalog.Key{}, false
	}
	return u.Key(), true
}

// Memory returns the limit on the memory that is held for callers.
func (g *Gateway) Memory() *membudget.Budget { return g.memory }

// Version returns the version of the configuration in force; 0 if none.
func (g *Gateway) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// IdleTimeout returns how long a caller may keep a connection open without a
// request; 0 if no configuration is known.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.table.Load(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// SetCatalog replaces the list of upstreams for requests that arrive from now on. It reports
// whether upstreams of a service with several versions have joined, left or begun to leave.
func (g *Gateway) SetCatalog(c *catalog.Catalog) (versionsChanged bool) {
	previous := g.catalog.Load()
	changes := g.cold.SetList(c, g.coldTime)         // before the list is used
	versionsChanged = g.versions.Update(previous, c) // before the list is used without a version that has left
	g.catalog.Store(c)
	g.markConfigured()
	g.logListedLeaving(previous, c)
	g.logCold(changes...)
	listed := lists(c)
	g.board.RemoveUnlisted(listed)
	g.prompts.RemoveUnlisted(listed)
	g.caches.RemoveUnlisted(listed)
	g.limits.RemoveUnlisted(listed)
	g.loads.RemoveUnlisted(listed)
	return versionsChanged
}

// lists returns whether a catalog lists an upstream.
func lists(c *catalog.Catalog) func(catalog.Key) bool {
	return func(key catalog.Key) bool {
		u := c.Find(key.ID)
		return u != nil && u.Born == key.Born
	}
}

// SetPolicy replaces the policy, except for its ejection options.
func (g *Gateway) SetPolicy(p Policy) { g.policy.Store(&p) }

// SetRouterCount sets how many routers share the retry budgets and the connection
// limits of upstreams.
func (g *Gateway) SetRouterCount(n int) { g.routerCount.Store(int64(max(1, n))) }

// drainState describes a graceful shutdown in progress.
type drainState struct {
	started time.Time
	limit   time.Duration // from started to the end of the process
}

// Drain starts a graceful shutdown: the gateway asks callers to close their
// connections, and refuses requests that could not finish before the process ends,
// at limit from now, also those that have arrived in part or wait to be passed on.
func (g *Gateway) Drain(limit time.Duration) {
	g.draining.CompareAndSwap(nil, &drainState{started: time.Now(), limit: limit})
	g.endDrainBegun()
}

// CancelRequests ends the requests in progress, and later ones, at once: as failed, or cut
// if part of the answer was delivered.
func (g *Gateway) CancelRequests() { g.cancelRunning() }

// Active returns the number of requests being served.
func (g *Gateway) Active() int64 { return g.activeRequests.Load() }

// Sweep closes connections that are idle and those to upstreams that are no longer
// listed.
func (g *Gateway) Sweep() {
	listed := make(map[string]bool)
	g.catalog.Load().All(func(u *catalog.Upstream) { listed[u.Address] = true })
	g.pool.Sweep(time.Now(), func(address string) bool { return listed[address] })
}

// retryBudget returns the retry budget of a service. The caller must hold g.mu.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Ratio: g.policy.Load().RetryRatio, Burst: g.retryBurst()})
		g.retryBudgets[service] = b
	}
	b.SetBurst(g.retryBurst())
	return b
}

// retryBurst returns this router's part of the retries allowed beyond the ratio.
func (g *Gateway) retryBurst() float64 {
	return max(1, g.policy.Load().RetryExtra/float64(g.routerCount.Load()))
}

func (g *Gateway) depositRetry(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).RecordFirstAttempt()
}

func (g *Gateway) withdrawRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(service).Withdraw()
}
