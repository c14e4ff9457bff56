// Package gossip lets the routers of a fleet tell each other what they know:
// how new their copies of the store's kinds are, their requests in progress at
// each upstream, which upstreams have read which prompt parts, and how many answers
// of plain upstreams failed. What a peer tells only helps: a router without peers
// still works.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// minInterval is the time between two calls to one peer in a small fleet.
	minInterval = 200 * time.Millisecond
	// callSpacing is the time between two calls of one router whatever the
	// number of peers: it bounds what a router spends on them.
	callSpacing = 50 * time.Millisecond
	// callTimeout bounds one call: a few round trips between failure domains.
	callTimeout = 600 * time.Millisecond
	// fetchTimeout bounds the transfer of a snapshot, up to a megabyte or so.
	fetchTimeout = 2 * time.Second
	// silentDelay is the time until a peer that did not answer is called again.
	silentDelay = time.Second
	// behindFor is how long a watcher leaves a newer content of a peer to its own
	// watch.
	behindFor = 150 * time.Millisecond
	// storeFirst is how long a router that is behind waits for the store before
	// it turns to the peer: hosts have narrow links, the store has not.
	storeFirst = 600 * time.Millisecond
	// announceSpacing is the time between two calls while peers are told of newer
	// content.
	announceSpacing = 10 * time.Millisecond
	// announcePause is the time between two rounds of telling all peers.
	announcePause = 100 * time.Millisecond
	// announcePeers is the most peers that are told at once; the others learn of it
	// by their own calls.
	announcePeers = 32
	// watchers is the number of routers that watch the store all the time.
	watchers = 3
)

// service is the name of the methods in calls.
const service = "Gossip"

// Report is what a router tells a peer. It is sent many times a second, so
// that its size counts.
type Report struct {
	Router  string
	Address string       // of the router's listener for other routers
	Stamps  []feed.Stamp // in the order of Options.Feeds
	// Upstreams and Requests are the requests in progress, by the short hash of
	// the upstream's key.
	Upstreams []uint32
	Requests  []uint
	// Answered are the upstreams, by the same hash, that gave answers lately.
	Answered []uint32
	Tallies  []gateway.Tally
	// NewsAfter asks for the peer's placements from this number on.
	NewsAfter uint64
	// News are placements of the router itself, up to number NewsNext.
	News     []gateway.Placement
	NewsNext uint64
}

// FetchArgs asks for the content of a kind.
type FetchArgs struct{ Kind int } // index in Options.Feeds

// ChangesArgs asks for the changes of a kind after a revision.
type ChangesArgs struct {
	Kind  int // index in Options.Feeds
	After uint64
}

// Changes are the changes of a kind.
type Changes struct {
	Known   bool // false if they are not kept any more, or are large
	Changes []store.Change
	At      uint64 // revision that they lead to
	Stamp   feed.Stamp
}

// Content is the content of a kind.
type Content struct {
	Snapshot feed.Snapshot
	Stamp    feed.Stamp
}

// Options sets up a Mesh.
type Options struct {
	Router  string // name of this router
	Address string // of this router's listener, not to be called
	Seeds   []string
	Feeds   []*feed.Feed // in the same order at all routers
	Board   *gateway.Board
	Prompts *gateway.Prompts
	Log     log.Interface
}

// Mesh exchanges reports with the other routers. All methods may be called
// concurrently.
type Mesh struct {
	opts    Options
	server  *link.Server
	clients *link.Pool

	watching  atomic.Bool
	catching  []atomic.Bool // by kind: whether it is being brought up to date
	announced chan struct{}

	mu    sync.Mutex
	seeds []string
	peers map[string]*peer // by address
}

// peer is guarded by the lock of its Mesh.
type peer struct {
	due       time.Time
	calling   bool
	silent    bool
	newsAfter uint64
	behind    map[int]time.Time // kinds of which the peer holds newer content, since when
}

// New returns a mesh that knows the seeds.
func New(opts Options) (*Mesh, error) {
	m := &Mesh{opts: opts, seeds: opts.Seeds, peers: make(map[string]*peer), announced: make(chan struct{}, 1)}
	m.catching = make([]atomic.Bool, len(opts.Feeds))
	m.clients = link.NewPool(link.ClientOptions{
		PrivateNetwork:    true,
		DialTimeout:       callTimeout,
		HeartbeatInterval: callTimeout / 2,
		HeartbeatTimeout:  callTimeout,
	})
	var err error
	m.server, err = link.NewServer(link.ServerOptions{PrivateNetwork: true}, service, &receiver{mesh: m})
	m.SetPeers(nil)
	return m, err
}

// Server returns the server for the calls of other routers.
func (m *Mesh) Server() *link.Server { return m.server }

// exchange tells the peer this router's report and takes the peer's.
func (m *Mesh) exchange(ctx context.Context, address string, newsAfter uint64) {
	client, err := m.clients.Client(address)
	if err != nil {
		return // the mesh is closed
	}
	args := m.report()
	args.NewsAfter = newsAfter
	var reply Report
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	err = client.Call(calling, service+".Exchange", &args, &reply)
	cancel()
	m.noteCall(address, &reply, err)
	if err != nil {
		return
	}
	m.take(&reply)
	for _, p := range reply.News {
		m.opts.Prompts.Learn(p)
	}
	for _, kind := range m.behind(address, &reply) {
		m.catchUp(ctx, client, kind)
	}
}

// noteCall records the outcome of a call, and logs when a peer falls silent or
// answers again.
func (m *Mesh) noteCall(address string, reply *Report, err error) {
	m.mu.Lock()
	p := m.peers[address]
	if p == nil {
		m.mu.Unlock()
		return
	}
	p.calling = false
	changed := p.silent != (err != nil)
	p.silent = err != nil
	if err != nil {
		p.due = time.Now().Add(silentDelay/2 + rand.N(silentDelay))
	} else {
		p.newsAfter = reply.NewsNext
	}
	m.mu.Unlock()
	if changed && err != nil {
		m.opts.Log.WithError(err).WithField("peer", address).Warn("router does not answer")
	} else if changed {
		m.opts.Log.WithFields(log.Fields{"peer": address, "router": reply.Router}).Info("router answers again")
	}
}

// report returns what this router tells.
func (m *Mesh) report() Report {
	r := Report{Router: m.opts.Router, Address: m.opts.Address, Stamps: make([]feed.Stamp, len(m.opts.Feeds))}
	for i, f := range m.opts.Feeds {
		r.Stamps[i] = f.Stamp()
	}
	for sum, n := range m.opts.Board.OwnLoads() {
		r.Upstreams = append(r.Upstreams, sum)
		r.Requests = append(r.Requests, uint(n))
	}
	for sum, t := range m.opts.Board.OwnTallies() {
		r.Answered = append(r.Answered, sum)
		r.Tallies = append(r.Tallies, t)
	}
	return r
}

// take learns from a report what needs no further call.
func (m *Mesh) take(r *Report) {
	loads := make(gateway.Loads, len(r.Upstreams))
	for i, sum := range r.Upstreams[:min(len(r.Upstreams), len(r.Requests))] {
		loads[sum] = int(min(r.Requests[i], maxRequests))
	}
	tallies := make(gateway.Tallies, len(r.Answered))
	for i, sum := range r.Answered[:min(len(r.Answered), len(r.Tallies))] {
		tallies[sum] = r.Tallies[i]
	}
	m.opts.Board.SetPeer(r.Router, loads, tallies)
}

// maxRequests is the most requests in progress at one upstream that a router is
// believed to have.
const maxRequests = 1 << 16

// receiver serves the calls of other routers.
type receiver struct{ mesh *Mesh }

// Exchange takes a report and returns this router's.
func (r *receiver) Exchange(args *Report, reply *Report) error {
	m := r.mesh
	m.take(args)
	if kinds := m.behind(args.Address, args); len(kinds) > 0 {
		if client, err := m.clients.Client(args.Address); err == nil {
			go func() {
				for _, kind := range kinds {
					m.catchUp(context.Background(), client, kind)
				}
			}()
		}
	}
	*reply = m.report()
	reply.News, reply.NewsNext = m.opts.Prompts.News(args.NewsAfter)
	return nil
}

// Changes returns the changes of a kind after a revision.
func (r *receiver) Changes(args *ChangesArgs, reply *Changes) error {
	f, err := r.feed(args.Kind)
	if err != nil {
		return err
	}
	reply.Stamp = f.Stamp()
	reply.Changes, reply.At, reply.Known = f.Changes(args.After)
	if !reply.Known {
		reply.Changes = nil
	}
	return nil
}

// feed returns the feed of a kind.
func (r *receiver) feed(kind int) (*feed.Feed, error) {
	if kind < 0 || kind >= len(r.mesh.opts.Feeds) {
		return nil, errors.Newf("gossip: unknown kind %d", kind)
	}
	return r.mesh.opts.Feeds[kind], nil
}

// Fetch returns the content of a kind.
func (r *receiver) Fetch(args *FetchArgs, reply *Content) error {
	f, err := r.feed(args.Kind)
	if err != nil {
		return err
	}
	reply.Stamp = f.Stamp()
	reply.Snapshot = f.Snapshot()
	return nil
}
