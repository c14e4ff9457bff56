// Package gossip exchanges state between the routers of a fleet: how recent their
// copies of the store's kinds are, their requests in progress at each upstream,
// which upstreams have read which prompt parts, which software version began which
// stream, with which prompt parts upstreams have ended, which limits upstreams name, and how many
// answers of plain upstreams failed. It also shares out the permits to send to upstreams
// that name limits. Large fleets exchange reports within failure domains, and sums of
// whole domains between them. Reports from peers are optional: a router without peers
// still works.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
)

const (
	// minInterval is the mean time between two calls to the same peer in a small
	// fleet.
	minInterval = 200 * time.Millisecond
	// callSpacing is the time between two calls of one router, whatever the
	// number of peers. It limits the cost of these calls for a router.
	callSpacing = 50 * time.Millisecond
	// callTimeout limits one call. It allows for a few round trips between
	// failure domains.
	callTimeout = 600 * time.Millisecond
	// fetchTimeout limits the transfer of a snapshot, of up to about a megabyte.
	fetchTimeout = 2 * time.Second
	// unresponsiveDelay is the mean delay until a peer that did not answer is called
	// again.
	unresponsiveDelay = time.Second
	// watchGracePeriod is how long a watcher leaves newer content of a peer to its own
	// watch of the store.
	watchGracePeriod = 150 * time.Millisecond
	// maxPeerContentBytes is the size up to which a router takes the content of the
	// store's new era from another router rather than from the store, which all
	// routers would list at once.
	maxPeerContentBytes = 128 << 10
	// heldGracePeriod is how long a router leaves a newer version that others have in
	// force to its own feed, which has the content some time before it is in force.
	heldGracePeriod = 500 * time.Millisecond
	// storeTimeout is how long a router that is behind waits for the store before
	// it fetches the whole content from the peer: hosts have links of low
	// bandwidth, the store does not.
	storeTimeout = 600 * time.Millisecond
	// announceSpacing is the time between two calls within a round of
	// announcements of newer content.
	announceSpacing = 10 * time.Millisecond
	// announceInterval is the minimum time between two rounds of announcements.
	announceInterval = 100 * time.Millisecond
	// maxAnnouncePeers is the maximum number of peers called in a round of
	// announcements. The others receive newer content through regular calls.
	maxAnnouncePeers = 32
	// maxWatchers is the number of routers that watch the store continuously.
	maxWatchers = 3
)

// service is the net/rpc service name, the prefix of the method names in calls.
const service = "Gossip"

// FetchArgs are the arguments of a call for the content of a kind.
type FetchArgs struct {
	Kind     int // index in Options.Feeds
	MaxBytes int // values of a greater total size are not sent; 0 means no limit
}

// ChangesArgs are the arguments of a call for the changes of a kind after a
// position.
type ChangesArgs struct {
	Kind  int    // index in Options.Feeds
	Era   uint64 // of the position
	After uint64 // revision of the position
}

// Changes are the changes of a kind.
type Changes struct {
	Known   bool // false if they are no longer kept, of another era or too large to send
	Changes []store.Change
	Era     uint64 // of the content after them
	At      uint64 // revision of the content after them
	Stamp   feed.Stamp
}

// Content is the content of a kind.
type Content struct {
	TooLarge bool // the snapshot is left out, because it exceeds FetchArgs.MaxBytes
	Snapshot feed.Snapshot
	Stamp    feed.Stamp
}

// Configuration is the configuration in force at this router.
type Configuration interface {
	// Version returns the version in force; 0 if there is none.
	Version() uint64
	// Records returns the store's records of the configuration in force.
	Records() []store.Record
	// Adopt puts the configuration of another router in force if it is newer.
	Adopt(records []store.Record)
}

// noConfiguration is the Configuration of a router that has none.
type noConfiguration struct{}

func (noConfiguration) Version() uint64         { return 0 }
func (noConfiguration) Records() []store.Record { return nil }
func (noConfiguration) Adopt([]store.Record)    {}

// HeldArgs are the arguments of a call for the configuration in force.
type HeldArgs struct{}

// Held is the configuration in force at a router.
type Held struct{ Records []store.Record }

// Options configures a Mesh.
type Options struct {
	Router  string // name of this router
	Address string // of this router's listener, which the mesh never calls
	// FailureDomain of this router.
	FailureDomain string
	Seeds         []string     // addresses to call while no other router is registered
	Feeds         []*feed.Feed // in the same order at all routers; the first is that of the configuration
	Board         *gateway.Board
	Prompts       *gateway.Prompts
	Streams       *gateway.Streams // nil means a record of its own
	// TellsStreams reports whether streams can begin at several versions, so that this router tells
	// others of them before their first events for a time from the call on; nil means never.
	TellsStreams func() bool
	// NoEarlierStreams states that no stream has begun before the start of this router.
	NoEarlierStreams bool
	// StartedLately reports whether this router started within the time for which streams matter, not
	// at the first start of the fleet; nil means that it did not. StreamsRestored reports whether it
	// has read what the store holds of earlier streams; nil means that it has not.
	StartedLately   func() bool
	StreamsRestored func() bool
	Eras            *store.Eras   // of the store, also used by the feeds; nil means a tracker of its own
	Held            Configuration // nil means none
	// Leaving are the upstreams that said that they leave; nil means that none is known.
	Leaving *gateway.Leaving
	// MarkLeaving is called for each upstream that leaves by the report of another
	// router, with the time since the upstream said so; may be nil.
	MarkLeaving func(key catalog.Key, age time.Duration)
	// Restored returns the entries of departed upstreams that only the copy with which an
	// era of the store began lists as ready, and MergeRestored takes those that another
	// router reports; nil means that none is known.
	Restored      func() (era uint64, entries []catalog.RestoredEntry)
	MergeRestored func(era uint64, entries []catalog.RestoredEntry)
	// Crashes are the prompt parts with which upstreams have ended; nil means a record of
	// its own.
	Crashes *gateway.Crashes
	// Limits are the limits that upstreams name; nil means a record of its own.
	Limits *gateway.Limits
	// Loads predicts what requests cost; nil means that nothing is predicted.
	Loads *gateway.LoadModel
	// MergeLimit is called for each limit in the report of another router, and reports
	// whether a limit begins or ends by it; nil merges it into Limits.
	MergeLimit func(key catalog.Key, report gateway.LimitReport) (news bool)
	// Caches returns what the cache lists that this router reads tell of prompt parts of the
	// services; nil means nothing.
	Caches func(ctx context.Context, services []string, parts []uint64) gateway.CacheAnswer
	// Cold are the upstreams that are cold; nil means that none is known.
	Cold *gateway.Cold
	// MergeCold is called for each cold upstream in the report of another router, and reports
	// whether it begins to be cold by it; nil merges them into Cold.
	MergeCold func(key catalog.Key, report gateway.ColdReport) (news bool)
	// A cold upstream gets at most ColdOverrun times its rate, and ColdTolerance requests more,
	// in any one second.
	ColdOverrun   float64
	ColdTolerance float64
	// UpstreamKey returns the key of the upstream whose key has the short hash; nil
	// means that no upstream is known.
	UpstreamKey func(sum uint32) (catalog.Key, bool)
	Log         log.Interface
}

// Mesh exchanges reports with the other routers. Its methods may be called
// concurrently.
type Mesh struct {
	opts    Options
	server  *link.Server
	clients *link.Pool

	isWatcher     atomic.Bool
	key           uint64        // order among the routers
	catchingUp    []atomic.Bool // by kind: whether a catchUp is in progress
	fetchingHeld  atomic.Bool   // whether a fetchHeld is in progress
	announcements chan struct{}
	news          atomic.Bool // the next announcement also goes to other failure domains
	owners        limitOwners
	lookups       lookupQueues
	untold        untoldQueues
	cover         *coverage
	coldMembers   coldMembers
	coldPermits   *gateway.ColdPermits
	introduced    chan struct{} // closed by introduce

	mu            sync.Mutex
	seeds         []string
	peers         map[string]*peer // by address
	topology      *topology        // of the peers
	role          role
	listed        bool      // the registered routers are known
	isIntroduced  bool      // introduced is closed
	domainEntries int       // in the last report of this failure domain
	newerSince    time.Time // when holdsNewerConfiguration first saw a newer version; zero if none
}

// peer is the state of another router. It is guarded by the mutex of its Mesh.
type peer struct {
	address         string
	domain          string    // failure domain; empty if unknown
	key             uint64    // order among the routers
	partner         bool      // this router exchanges reports with it
	due             time.Time // when the next call is due; zero means immediately
	sumsSent        time.Time // when the reports of other failure domains were last sent to it
	calling         bool
	unresponsive    bool // the last call failed
	consulted       bool // it did not answer, or said what it knows; see Introduced
	placementsAfter uint64
	streamsAfter    uint64
	streamsOf       uint64            // incarnation to which streamsAfter belongs
	askedAll        time.Time         // when it was last asked for all records
	behind          map[int]time.Time // when the peer was first seen with newer content, by kind
}

// New returns a mesh whose first peers are the seeds.
func New(opts Options) (*Mesh, error) {
	if opts.Eras == nil {
		opts.Eras = &store.Eras{}
	}
	if opts.UpstreamKey == nil {
		opts.UpstreamKey = func(uint32) (catalog.Key, bool) { return catalog.Key{}, false }
	}
	if opts.Streams == nil {
		opts.Streams = gateway.NewStreams()
	}
	if opts.TellsStreams == nil {
		opts.TellsStreams = func() bool { return false }
	}
	if opts.StartedLately == nil {
		opts.StartedLately = func() bool { return false }
	}
	if opts.StreamsRestored == nil {
		opts.StreamsRestored = func() bool { return false }
	}
	if opts.Leaving == nil {
		opts.Leaving = gateway.NewLeaving()
	}
	if opts.Crashes == nil {
		opts.Crashes = gateway.NewCrashes()
	}
	if opts.Limits == nil {
		opts.Limits = gateway.NewLimits()
	}
	if opts.Loads == nil {
		opts.Loads = gateway.NewLoadModel(func(catalog.Key) string { return "" })
	}
	if opts.MergeLimit == nil {
		opts.MergeLimit = func(key catalog.Key, report gateway.LimitReport) bool {
			news, _, _ := opts.Limits.Merge(key, report)
			return news
		}
	}
	if opts.Caches == nil {
		opts.Caches = func(context.Context, []string, []uint64) gateway.CacheAnswer { return gateway.CacheAnswer{} }
	}
	if opts.Cold == nil {
		opts.Cold = gateway.NewCold()
	}
	if opts.MergeCold == nil {
		opts.MergeCold = opts.Cold.Merge
	}
	if opts.MarkLeaving == nil {
		opts.MarkLeaving = func(catalog.Key, time.Duration) {}
	}
	if opts.Restored == nil {
		opts.Restored = func() (uint64, []catalog.RestoredEntry) { return 0, nil }
	}
	if opts.MergeRestored == nil {
		opts.MergeRestored = func(uint64, []catalog.RestoredEntry) {}
	}
	if opts.Held == nil {
		opts.Held = noConfiguration{}
	}
	m := &Mesh{opts: opts, key: place.Key(opts.Address), seeds: opts.Seeds, peers: make(map[string]*peer), announcements: make(chan struct{}, 1)}
	m.lookups.queues = make(map[lookupQueueKey]*lookupQueue)
	m.cover = newCoverage(opts.NoEarlierStreams)
	m.owners = newLimitOwners()
	m.coldPermits = gateway.NewColdPermits()
	m.introduced = make(chan struct{})
	m.catchingUp = make([]atomic.Bool, len(opts.Feeds))
	m.clients = link.NewPool(link.ClientOptions{
		PrivateNetwork:    true,
		DialTimeout:       callTimeout,
		HeartbeatInterval: callTimeout / 2,
		HeartbeatTimeout:  callTimeout,
	})
	var err error
	m.server, err = link.NewServer(link.ServerOptions{PrivateNetwork: true}, service, &receiver{mesh: m})
	m.SetPeers(nil)
	opts.Crashes.OnChange(m.AnnounceNews)
	opts.Limits.OnChange(m.AnnounceNews)
	opts.Cold.OnChange(m.AnnounceNews)
	return m, err
}

// Server returns the server for the calls of other routers.
func (m *Mesh) Server() *link.Server { return m.server }

// exchange sends this router's report to the peer, applies the peer's report, and
// catches up on the kinds of which the peer has newer content.
func (m *Mesh) exchange(ctx context.Context, c dueCall) {
	address := c.address
	defer func() {
		if value := recover(); value != nil {
			m.reportPanic("exchange", address, value)
			m.recordCall(address, nil, errPanicked) // otherwise it is never called again
			m.openStreams()
		}
	}()
	client, err := m.clients.Client(address)
	if err != nil {
		return // the mesh is closed
	}
	asked := time.Now()
	args := m.reportFor(c)
	var reply Report
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err = client.Call(callCtx, service+".Exchange", &args, &reply)
	cancel()
	reply.sanitize()
	m.recordCall(address, &reply, err)
	if err != nil {
		m.noteFailure(address, err)
		m.probe(ctx, client, err)
		return
	}
	m.applyReport(&reply)
	m.recordPromise(address, asked, args.AsksAll, &reply)
	if m.holdsNewerConfiguration(&reply) {
		m.fetchHeld(ctx, client)
	}
	for _, kind := range m.kindsBehind(address, &reply) {
		m.catchUp(ctx, client, kind)
	}
	if reply.Configuration != 0 {
		m.introduce()
	}
}

// reportFor returns the report for a call.
func (m *Mesh) reportFor(c dueCall) Report {
	var r Report
	if c.crossesDomains {
		r = m.domainReport()
	} else {
		r = m.ownReport(c.address)
	}
	r.NewsAfter, r.StreamsAfter, r.StreamsOf = c.placementsAfter, c.streamsAfter, c.streamsOf
	r.AsksPromise, r.AsksAll = !c.crossesDomains, c.asksAll
	return r
}

// beginRelay reports whether the reports of other failure domains are to be passed on
// to a peer now, and returns when they last were.
func (m *Mesh) beginRelay(address string) (last time.Time, relays bool) {
	if !m.relaysTo(address) {
		return time.Time{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil || time.Since(p.sumsSent) < relayInterval {
		return time.Time{}, false
	}
	last = p.sumsSent
	p.sumsSent = time.Now()
	return last, true
}

// recordCall records the result of a call, and logs when a peer stops answering or
// answers again.
func (m *Mesh) recordCall(address string, reply *Report, err error) {
	m.mu.Lock()
	p := m.peers[address]
	if p == nil {
		m.mu.Unlock()
		return
	}
	p.calling = false
	if err != nil || m.topology.flat || reply.Configuration != 0 {
		p.consulted = true
	}
	changed := p.unresponsive != (err != nil)
	p.unresponsive = err != nil
	if err != nil {
		p.due = time.Now().Add(unresponsiveDelay/2 + rand.N(unresponsiveDelay))
	} else {
		p.placementsAfter, p.streamsAfter, p.streamsOf = reply.NewsNext, reply.StreamsNext, reply.Incarnation
	}
	m.mu.Unlock()
	m.owners.mu.Lock()
	m.owners.recordReached(address, err == nil)
	m.owners.mu.Unlock()
	if changed && err != nil {
		m.opts.Log.WithError(err).WithField("peer", address).Warn("router does not answer")
	} else if changed {
		m.opts.Log.WithFields(log.Fields{"peer": address, "router": reply.Router}).Info("router answers again")
	}
}

// holdsNewerConfiguration reports whether other routers have had a newer version of the
// configuration in force for heldGracePeriod although their copy of the store is not
// newer: the store has returned from a copy with an older version. r is the report of one
// of them.
func (m *Mesh) holdsNewerConfiguration(r *Report) bool {
	if len(r.Stamps) == 0 {
		return false
	}
	own, peer := m.opts.Feeds[0].Stamp(), r.Stamps[0]
	version := m.opts.Held.Version()
	newer := r.Configuration > version && !own.Position().IsZero() && peer.Position().Compare(own.Position()) <= 0
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !newer:
		if r.Configuration == version {
			m.newerSince = time.Time{}
		}
		return false
	case m.newerSince.IsZero():
		m.newerSince = time.Now()
	}
	return time.Since(m.newerSince) >= heldGracePeriod
}
