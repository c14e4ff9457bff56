package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
)

// Options sets up a Gateway.
type Options struct {
	Protocol      Protocol
	Log           log.Interface
	FailureDomain string
	Policy        Policy
	// BodyBytes bounds the request bodies held at once.
	BodyBytes int64
	// Ages tells how long ago the configuration and the upstreams were last
	// confirmed to be the newest; nil means just now.
	Ages func() (configuration, upstreams time.Duration)
}

// Policy holds the figures by which a gateway decides.
type Policy struct {
	Prompt      place.PromptOptions
	Least       place.LeastOptions
	RepeatShare float64 // repeated sends to a service, as a share of its requests, of this router
	RepeatExtra float64 // repeated sends beyond that share in a window, of all routers
	Eject       eject.Options
}

// Gateway serves callers. It implements http.Handler. All methods may be called
// concurrently.
type Gateway struct {
	opts    Options
	pool    *forward.Pool
	board   *Board
	prompts *Prompts
	metrics *metrics

	policy   atomic.Pointer[Policy]
	table    atomic.Pointer[routing.Table]
	first    chan struct{} // closed once there are a table and a catalog
	opened   sync.Once     // closes first
	catalog  atomic.Pointer[catalog.Catalog]
	routers  atomic.Int64                // that share the budget of repeats
	draining atomic.Pointer[plannedStop] // nil unless one has begun
	active   atomic.Int64                // requests being served
	bodies   atomic.Int64                // bytes of request bodies held

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by service
}

// New returns a gateway without configuration: it refuses all requests.
func New(opts Options) *Gateway {
	if opts.Ages == nil {
		opts.Ages = func() (configuration, upstreams time.Duration) { return 0, 0 }
	}
	g := &Gateway{
		opts:    opts,
		board:   NewBoard(opts.Policy.Eject),
		prompts: NewPrompts(),
		metrics: newMetrics(),
		budgets: make(map[string]*retry.Budget),
		first:   make(chan struct{}),
	}
	g.policy.Store(&opts.Policy)
	g.routers.Store(1)
	g.catalog.Store(noCatalog)
	g.pool = forward.NewPool(forward.Options{
		Matches: func(r *forward.Request, a *forward.Response) bool {
			return opts.Protocol.AnswerAttempt(a.Header) == r.ID
		},
		Dialed: g.metrics.dialed,
	})
	return g
}

// noCatalog stands in until the first catalog is known.
var noCatalog = catalog.New(0, nil)

// open lets the requests go on that wait for the first table and catalog.
func (g *Gateway) open() {
	if g.table.Load() != nil && g.catalog.Load() != noCatalog {
		g.opened.Do(func() { close(g.first) })
	}
}

// Board returns what the gateway knows of upstreams.
func (g *Gateway) Board() *Board { return g.board }

// Prompts returns what the gateway knows of cached prompts.
func (g *Gateway) Prompts() *Prompts { return g.prompts }

// SetTable puts a configuration in force for the requests that come from now
// on. An older version than the one in force is ignored.
func (g *Gateway) SetTable(t *routing.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && t.Version <= current.Version {
			return false
		}
		if g.table.CompareAndSwap(current, t) {
			g.open()
			return true
		}
	}
}

// Version returns the version of the configuration in force; 0 if none.
func (g *Gateway) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// IdleTimeout returns how long a caller may keep a connection without a
// request; 0 if no configuration is known.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.table.Load(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// SetCatalog replaces the upstreams for the requests that come from now on.
func (g *Gateway) SetCatalog(c *catalog.Catalog) {
	g.catalog.Store(c)
	g.open()
	listed := func(key catalog.Key) bool {
		u := c.Find(key.ID)
		return u != nil && u.Born == key.Born
	}
	g.board.Forget(listed)
	g.prompts.Forget(listed)
}

// SetPolicy changes the figures by which the gateway decides, but for those of
// ejection.
func (g *Gateway) SetPolicy(p Policy) { g.policy.Store(&p) }

// SetRouters sets how many routers share the budget of repeats.
func (g *Gateway) SetRouters(n int) { g.routers.Store(int64(max(1, n))) }

// plannedStop is a stop that has begun.
type plannedStop struct {
	begun time.Time
	limit time.Duration // until the process ends
}

// Drain makes the gateway ask callers to close their connections, and refuse
// what could not end before the process does, at limit from now.
func (g *Gateway) Drain(limit time.Duration) {
	g.draining.CompareAndSwap(nil, &plannedStop{begun: time.Now(), limit: limit})
}

// Active returns the number of requests being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Sweep closes connections to upstreams that are idle or no longer listed.
func (g *Gateway) Sweep() {
	known := make(map[string]bool)
	g.catalog.Load().All(func(u *catalog.Upstream) { known[u.Address] = true })
	g.pool.Sweep(time.Now(), func(address string) bool { return known[address] })
}

// budget returns the budget of repeats of a service. g.mu is held.
func (g *Gateway) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Ratio: g.policy.Load().RepeatShare, Burst: g.burst()})
		g.budgets[service] = b
	}
	b.SetBurst(g.burst())
	return b
}

// burst is this router's part of the repeats beyond the share.
func (g *Gateway) burst() float64 {
	return max(1, g.policy.Load().RepeatExtra/float64(g.routers.Load()))
}

func (g *Gateway) deposit(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Deposit()
}

func (g *Gateway) withdraw(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Withdraw()
}
