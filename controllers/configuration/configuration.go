// Package configuration keeps the newest configuration in force in a process.
//
// Two routers of each failure domain watch the platform. Whoever adopts a
// version offers it to a few routers and agents, as a delta where the receiver
// runs a recent version; everybody who sees another version in a message calls
// Observe, and whichever of the two is behind is brought up to date. Periodic
// exchanges with the same few peers repair what was lost. Agents only answer.
// The platform is asked by others only at the start, and when nobody has
// confirmed the version for long.
package configuration

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// ObjectKey is the key of the configuration in the platform.
const ObjectKey = "dandelionrill/config/current"

// Defaults of Options.
const (
	DefaultWatchWait        = 30 * time.Second
	DefaultExchangeInterval = 2 * time.Second
	DefaultConfirmInterval  = time.Minute
	DefaultPeerTimeout      = time.Second
)

const (
	startPeers     = 5  // how many peers a starting process asks
	parallelOffers = 32 // offers under way at once
	observedPeers  = 64 // observations waiting to be acted on
)

// Peer is a link to another process. Each method fills in Meta, makes one call
// and returns when ctx ends. All methods may be called concurrently.
type Peer interface {
	Hello(ctx context.Context, args wire.HelloArgs) (wire.HelloReply, error)
	FetchConfig(ctx context.Context, args wire.ConfigArgs) (wire.ConfigReply, error)
	OfferConfig(ctx context.Context, args wire.OfferArgs) (wire.OfferReply, error)
}

// Peers finds links by the name of the host.
type Peers interface {
	Peer(host string) (Peer, error)
}

// Options sets up a Controller.
type Options struct {
	Host          string // own name
	FailureDomain string
	Role          store.Role
	Board         *board.Board
	Store         store.Store
	Peers         Peers    // nil for agents: they only answer
	Seeds         []string // hosts to ask at the start, before the host list is there
	Log           log.Interface
	Random        func() float64 // within 0 and 1; nil means schedule.Random

	WatchWait        time.Duration // longest waiting watch; 0 means DefaultWatchWait
	ExchangeInterval time.Duration // mean time between exchanges with one router; 0 means DefaultExchangeInterval
	ConfirmInterval  time.Duration // age of a confirmation after which the platform is asked; 0 means DefaultConfirmInterval
	PeerTimeout      time.Duration // of one call to a peer; 0 means DefaultPeerTimeout
}

// Counters count what the controller did.
type Counters struct {
	Adopted       expvar.Int // versions put in force
	FromPeers     expvar.Int // of those, versions brought by peers
	Offers        expvar.Int // updates sent to peers
	OfferedBytes  expvar.Int // encoded bytes of those
	Exchanges     expvar.Int // periodic exchanges
	PlatformCalls expvar.Int // watches included
	Refused       expvar.Int // updates that could not be decoded or had findings
	Behind        expvar.Int // answers of the platform with a version before the one in force
}

// Vars returns the counters for expvar.
func (c *Counters) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("adopted", &c.Adopted)
	m.Set("adopted_from_peers", &c.FromPeers)
	m.Set("offers", &c.Offers)
	m.Set("offered_bytes", &c.OfferedBytes)
	m.Set("exchanges", &c.Exchanges)
	m.Set("platform_calls", &c.PlatformCalls)
	m.Set("refused", &c.Refused)
	m.Set("platform_behind", &c.Behind)
	return m
}

// Controller keeps the configuration of one process. Run it once; the other
// methods may be called concurrently at any time.
type Controller struct {
	Counters
	opts      Options
	updates   updates
	cached    topologyCache
	confirmed atomic.Int64 // time on the board's clock plus 1; 0 if never
	applying  sync.Mutex   // one update is decoded at a time
	observed  chan observation
	pending   sync.Map // names in observed
	offering  chan struct{}
	calls     sync.WaitGroup // calls to peers that have goroutines of their own
	logged    atomic.Uint64  // last version whose refusal was logged
	unusable  atomic.Uint64  // version of the platform's object that was refused last
}

// observation is a peer with a version other than the one in force here.
type observation struct {
	host    string
	version uint64
}

// New returns a controller that has not started.
func New(opts Options) *Controller {
	setDefault(&opts.WatchWait, DefaultWatchWait)
	setDefault(&opts.ExchangeInterval, DefaultExchangeInterval)
	setDefault(&opts.ConfirmInterval, DefaultConfirmInterval)
	setDefault(&opts.PeerTimeout, DefaultPeerTimeout)
	if opts.Log == nil {
		opts.Log = log.Log
	}
	if opts.Random == nil {
		opts.Random = schedule.Random
	}
	return &Controller{
		opts:     opts,
		observed: make(chan observation, observedPeers),
		offering: make(chan struct{}, parallelOffers),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run works until ctx ends, and returns when its goroutines have ended.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer c.calls.Wait()
	defer wg.Wait()
	c.start(ctx)
	if c.opts.Peers != nil {
		wg.Go(func() { c.settle(ctx) })
		wg.Go(func() { c.spread(ctx) })
		wg.Go(func() { c.exchange(ctx) })
	}
	if c.opts.Role == store.RoleRouter {
		wg.Go(func() { c.watch(ctx) })
	}
	wg.Go(func() { c.confirm(ctx) })
}

// Confirmed returns the age of the last proof that the version in force is the
// newest; negative if there was none.
func (c *Controller) Confirmed() time.Duration {
	at := c.confirmed.Load()
	if at == 0 {
		return -1
	}
	return c.opts.Board.Now() - time.Duration(at-1)
}

// noteConfirmed notes that the version in force was the newest age ago.
func (c *Controller) noteConfirmed(version uint64, age time.Duration) {
	if age < 0 || version != c.opts.Board.ConfigVersion() {
		return
	}
	at := int64(max(0, c.opts.Board.Now()-age)) + 1
	for {
		last := c.confirmed.Load()
		if at <= last || c.confirmed.CompareAndSwap(last, at) {
			return
		}
	}
}

// adopt puts cfg in force if its version is greater.
func (c *Controller) adopt(cfg *config.Config, from string) bool {
	if !c.opts.Board.Adopt(cfg, from) {
		return false
	}
	c.updates.keep(cfg)
	c.Adopted.Add(1)
	if from != string(board.OriginPlatform) {
		c.FromPeers.Add(1)
	}
	c.opts.Log.WithFields(log.Fields{"version": cfg.Version, "change": cfg.ChangeID, "from": from}).Info("configuration in force")
	return true
}

// adoptUpdate decodes an update of a peer and puts it in force.
func (c *Controller) adoptUpdate(update wire.ConfigUpdate, from string) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	if len(update.Encoded) == 0 || update.Version <= c.opts.Board.ConfigVersion() {
		return nil
	}
	cfg, err := decodeUpdate(update, c.opts.Board.Configuration())
	if err != nil {
		if !errors.Is(err, config.ErrDelta) {
			c.refuse(update.Version, from, err)
		}
		return err
	}
	c.adopt(cfg, from)
	return nil
}

func (c *Controller) refuse(version uint64, from string, err error) {
	c.Refused.Add(1)
	if c.logged.Swap(version) != version {
		c.opts.Log.WithError(err).WithFields(log.Fields{"version": version, "from": from}).Error("configuration refused")
	}
}

// Observe notes the version that a message of a peer carried. If it differs
// from the one in force, whoever is behind is brought up to date. It does not
// wait.
func (c *Controller) Observe(host string, version uint64) {
	if c.opts.Peers == nil || host == c.opts.Host || version == c.opts.Board.ConfigVersion() {
		return
	}
	if _, waiting := c.pending.LoadOrStore(host, true); waiting {
		return
	}
	select {
	case c.observed <- observation{host, version}:
	default:
		c.pending.Delete(host)
	}
}

// settle acts on observations, one after the other.
func (c *Controller) settle(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.observed:
			c.pending.Delete(o.host)
			c.settleWith(ctx, o)
		}
	}
}

func (c *Controller) settleWith(ctx context.Context, o observation) {
	peer, err := c.opts.Peers.Peer(o.host)
	if err != nil {
		return
	}
	switch version := c.opts.Board.ConfigVersion(); {
	case o.version > version:
		_ = c.fetch(ctx, o.host, peer)
	case o.version < version:
		c.offer(ctx, o.host, peer, o.version)
	}
}

// fetch takes the newest version of a peer; a second call asks for the full
// value if the first brought a delta that does not fit.
func (c *Controller) fetch(ctx context.Context, host string, peer Peer) error {
	after := c.opts.Board.ConfigVersion()
	for range 2 {
		reply, err := c.fetchOnce(ctx, peer, after)
		if err != nil {
			return err
		}
		if err = c.adoptUpdate(reply.ConfigUpdate, host); !errors.Is(err, config.ErrDelta) {
			return err
		}
		after = 0
	}
	return nil
}

func (c *Controller) fetchOnce(ctx context.Context, peer Peer, after uint64) (wire.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	return peer.FetchConfig(ctx, wire.ConfigArgs{After: after})
}
