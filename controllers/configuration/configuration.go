// Package configuration keeps the configuration of a process up to date.
//
// Two routers of each failure domain watch the platform. A process that adopts
// a version offers it to a few routers and agents, as a delta if the receiver
// runs a recent version. A process that sees a different version in a message
// calls ObservePeerVersion, and whichever of the two is behind is brought up to
// date. Periodic exchanges with the same few peers repair lost messages. Agents
// only answer.
//
// Processes other than the watchers ask the platform only when they start and
// when the version in force has not been confirmed for long.
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

// ObjectKey is the key of the configuration object in the platform.
const ObjectKey = "dandelionrill/config/current"

// Default values of Options.
const (
	DefaultWatchWait        = 30 * time.Second
	DefaultExchangeInterval = 2 * time.Second
	DefaultConfirmInterval  = time.Minute
	DefaultPeerTimeout      = time.Second
)

const (
	maxStartupPeers        = 5  // peers that a starting process fetches from
	maxConcurrentPeerCalls = 32 // offers and exchanges in progress
	observationQueueLength = 64 // observations waiting to be processed
)

// Peer makes calls to another process. Each method fills in Meta, makes one
// call and returns when ctx is done. All methods may be called concurrently.
type Peer interface {
	Hello(ctx context.Context, args wire.HelloArgs) (wire.HelloReply, error)
	FetchConfig(ctx context.Context, args wire.ConfigArgs) (wire.ConfigReply, error)
	OfferConfig(ctx context.Context, args wire.OfferArgs) (wire.OfferReply, error)
}

// Peers returns the Peer for a host name.
type Peers interface {
	Peer(host string) (Peer, error)
}

// Options configures a Controller.
type Options struct {
	Host          string // name of this process
	FailureDomain string
	Role          store.Role
	Board         *board.Board
	Store         store.Store
	Peers         Peers    // nil for agents, which only answer
	Seeds         []string // hosts to fetch from at startup, before the host list is known
	Log           log.Interface
	Random        func() float64 // returns a number between 0 and 1; nil means schedule.Random

	WatchWait        time.Duration // longest time that one watch waits for a change; 0 means DefaultWatchWait
	ExchangeInterval time.Duration // mean time between exchanges with one router; 0 means DefaultExchangeInterval
	ConfirmInterval  time.Duration // the platform is asked when the last confirmation is between one and two intervals old; 0 means DefaultConfirmInterval
	PeerTimeout      time.Duration // per call to a peer; 0 means DefaultPeerTimeout
}

// Counters counts the actions of a Controller.
type Counters struct {
	Adopted          expvar.Int // versions adopted
	AdoptedFromPeers expvar.Int // versions adopted from peers
	Offers           expvar.Int // updates sent to peers
	OfferedBytes     expvar.Int // encoded bytes of those updates
	Exchanges        expvar.Int // periodic exchanges
	PlatformCalls    expvar.Int // calls to the platform, including watches
	Refused          expvar.Int // updates that could not be decoded or had findings
	PlatformBehind   expvar.Int // answers of the platform with a version less than the one in force
}

// Vars returns the counters for expvar.
func (c *Counters) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("adopted", &c.Adopted)
	m.Set("adopted_from_peers", &c.AdoptedFromPeers)
	m.Set("offers", &c.Offers)
	m.Set("offered_bytes", &c.OfferedBytes)
	m.Set("exchanges", &c.Exchanges)
	m.Set("platform_calls", &c.PlatformCalls)
	m.Set("refused", &c.Refused)
	m.Set("platform_behind", &c.PlatformBehind)
	return m
}

// Controller keeps the configuration of one process up to date. Call Run at
// most once. The other methods may be called concurrently at any time.
type Controller struct {
	Counters
	opts                 Options
	updates              updateCache
	topologies           topologyCache
	confirmed            atomic.Int64 // time of the last confirmation on the clock of the board, in nanoseconds plus 1; 0 if never
	applyMu              sync.Mutex   // serializes the decoding and adoption of updates from peers
	observations         chan observation
	pending              sync.Map       // hosts that have an entry in observations
	peerCallSlots        chan struct{}  // limits the offers and exchanges in progress
	peerCalls            sync.WaitGroup // goroutines that call peers
	lastLoggedRefusal    atomic.Uint64  // last version whose refusal was logged
	refusedObjectVersion atomic.Uint64  // version of the platform object that was refused last; a watch waits for a later one
}

// observation is a peer that reported a version other than the one in force.
type observation struct {
	host    string
	version uint64
}

// New returns a Controller. Call Run to start it.
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
		opts:          opts,
		observations:  make(chan observation, observationQueueLength),
		peerCallSlots: make(chan struct{}, maxConcurrentPeerCalls),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run keeps the configuration up to date until ctx is done. It returns when all
// of its goroutines have ended.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer c.peerCalls.Wait()
	defer wg.Wait()
	c.bootstrap(ctx)
	if c.opts.Peers != nil {
		wg.Go(func() { c.reconcileLoop(ctx) })
		wg.Go(func() { c.propagate(ctx) })
		wg.Go(func() { c.exchangeWithAll(ctx) })
	}
	if c.opts.Role == store.RoleRouter {
		wg.Go(func() { c.watchLoop(ctx) })
	}
	wg.Go(func() { c.confirmLoop(ctx) })
}

// Confirmed returns the time since the version in force was last known to be
// the newest. It is negative if that was never known.
func (c *Controller) Confirmed() time.Duration {
	at := c.confirmed.Load()
	if at == 0 {
		return -1
	}
	return c.opts.Board.Now() - time.Duration(at-1)
}

// recordConfirmation records that version was known to be the newest the given
// age ago. It ignores versions other than the one in force and negative ages.
func (c *Controller) recordConfirmation(version uint64, age time.Duration) {
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

// adopt puts cfg in force if its version is greater than the one in force. It
// reports whether it did.
func (c *Controller) adopt(cfg *config.Config, from string) bool {
	if !c.opts.Board.Adopt(cfg, from) {
		return false
	}
	c.updates.add(cfg)
	c.Adopted.Add(1)
	if from != string(board.OriginPlatform) {
		c.AdoptedFromPeers.Add(1)
	}
	c.opts.Log.WithFields(log.Fields{"version": cfg.Version, "change": cfg.ChangeID, "from": from}).Info("configuration in force")
	return true
}

// adoptUpdate decodes an update from a peer and adopts the result. It ignores
// an update whose version is not greater than the one in force.
func (c *Controller) adoptUpdate(update wire.ConfigUpdate, from string) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if len(update.Encoded) == 0 || update.Version <= c.opts.Board.ConfigVersion() {
		return nil
	}
	cfg, err := decodeUpdate(update, c.opts.Board.Configuration())
	if err != nil {
		if !errors.Is(err, config.ErrDeltaMismatch) {
			c.recordRefusal(update.Version, from, err)
		}
		return err
	}
	c.adopt(cfg, from)
	return nil
}

// recordRefusal counts a refused version. Consecutive refusals of one version
// are logged once.
func (c *Controller) recordRefusal(version uint64, from string, err error) {
	c.Refused.Add(1)
	if c.lastLoggedRefusal.Swap(version) != version {
		c.opts.Log.WithError(err).WithFields(log.Fields{"version": version, "from": from}).Error("configuration refused")
	}
}

// ObservePeerVersion records the version in a message from a peer. If it differs
// from the one in force, the process that is behind is brought up to date in the
// background. ObservePeerVersion never blocks: if the queue is full, it drops
// the observation.
func (c *Controller) ObservePeerVersion(host string, version uint64) {
	if c.opts.Peers == nil || host == c.opts.Host || version == c.opts.Board.ConfigVersion() {
		return
	}
	if _, queued := c.pending.LoadOrStore(host, true); queued {
		return
	}
	select {
	case c.observations <- observation{host, version}:
	default:
		c.pending.Delete(host)
	}
}

// reconcileLoop processes observations one at a time.
func (c *Controller) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.observations:
			c.pending.Delete(o.host)
			c.reconcile(ctx, o)
		}
	}
}

// reconcile fetches the version of a peer that is ahead, or offers the newest
// version to a peer that is behind.
func (c *Controller) reconcile(ctx context.Context, o observation) {
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

// fetch adopts the newest version of a peer. If the reply is a delta from a
// version other than the one in force, a second call requests the full value.
func (c *Controller) fetch(ctx context.Context, host string, peer Peer) error {
	after := c.opts.Board.ConfigVersion()
	for range 2 {
		reply, err := c.fetchOnce(ctx, peer, after)
		if err != nil {
			return err
		}
		if err = c.adoptUpdate(reply.ConfigUpdate, host); !errors.Is(err, config.ErrDeltaMismatch) {
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
