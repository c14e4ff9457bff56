// Package gossip lets the routers of a fleet tell each other what they know:
// how new their copies of the store's kinds are, their requests in progress at
// each upstream, and which upstreams have read which prompt parts. What a peer
// tells only helps: a router without peers still works.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/link"
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
	// nudgeSpacing is the time between two calls while peers are told of newer
	// content.
	nudgeSpacing = 10 * time.Millisecond
	// nudgePause is the time between two rounds of telling all peers.
	nudgePause = 100 * time.Millisecond
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
	// NewsAfter asks for the peer's placements from this number on.
	NewsAfter uint64
	// News are placements of the router itself, up to number NewsNext.
	News     []gateway.Placement
	NewsNext uint64
}

// FetchArgs asks for the content of a kind.
type FetchArgs struct{ Kind int } // index in Options.Feeds

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

	watching atomic.Bool
	catching []atomic.Bool // by kind: whether it is being brought up to date
	nudged   chan struct{}

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
	m := &Mesh{opts: opts, seeds: opts.Seeds, peers: make(map[string]*peer), nudged: make(chan struct{}, 1)}
	m.catching = make([]atomic.Bool, len(opts.Feeds))
	m.watching.Store(true)
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

// SetSeeds changes the seeds for the next time that no router is registered.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetPeers sets the addresses of the registered routers. While there are none,
// the seeds stand in.
func (m *Mesh) SetPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(addresses) <= 1 {
		addresses = append(append([]string(nil), addresses...), m.seeds...)
	}
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = a != m.opts.Address
	}
	for address := range m.peers {
		if !wanted[address] {
			delete(m.peers, address)
			m.clients.Remove(address)
		}
	}
	for address, other := range wanted {
		if other && m.peers[address] == nil {
			m.peers[address] = &peer{behind: make(map[int]time.Time)}
		}
	}
}

// Run calls the peers in turn until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(callSpacing)
	defer ticker.Stop()
	defer m.clients.Close()
	told := time.Now()
	for {
		nudged := m.nudged
		if time.Since(told) < nudgePause {
			nudged = nil // until the next tick
		}
		select {
		case <-ctx.Done():
			return
		case <-nudged:
			m.tellAll(ctx)
			told = time.Now()
		case <-ticker.C:
			m.rank()
			m.opts.Board.ExpirePeers()
			if address, after, ok := m.next(); ok {
				go m.exchange(ctx, address, after)
			}
		}
	}
}

// Nudge makes a watcher tell all peers at once, after new content came.
func (m *Mesh) Nudge() {
	if !m.Watcher() {
		return
	}
	select {
	case m.nudged <- struct{}{}:
	default: // already under way
	}
}

// tellAll calls all peers that answered last time, a moment apart.
func (m *Mesh) tellAll(ctx context.Context) {
	m.mu.Lock()
	for _, p := range m.peers {
		if !p.silent {
			p.due = time.Time{}
		}
	}
	m.mu.Unlock()
	for ctx.Err() == nil {
		address, after, ok := m.nextNudged()
		if !ok {
			return
		}
		go m.exchange(ctx, address, after)
		time.Sleep(nudgeSpacing)
	}
}

// nextNudged returns a peer that is still to be told.
func (m *Mesh) nextNudged() (address string, newsAfter uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, p := range m.peers {
		if !p.calling && p.due.IsZero() && !p.silent {
			p.begin(time.Now(), len(m.peers))
			return a, p.newsAfter, true
		}
	}
	return "", 0, false
}

// begin marks a call to the peer and sets when the next is due. The lock of the
// mesh is held.
func (p *peer) begin(now time.Time, peers int) {
	p.calling = true
	interval := max(minInterval, time.Duration(peers)*callSpacing)
	p.due = now.Add(interval*3/4 + rand.N(interval/2))
}

// Watcher tells whether this router is among those that watch the store all the
// time: the first few of an order that all routers agree on, silent ones left
// out.
func (m *Mesh) Watcher() bool { return m.watching.Load() }

// rank decides whether this router is a watcher.
func (m *Mesh) rank() {
	own := place.Key(m.opts.Address)
	before := 0
	m.mu.Lock()
	for address, p := range m.peers {
		if key := place.Key(address); !p.silent && key < own {
			before++
		}
	}
	m.mu.Unlock()
	if watching := before < watchers; m.watching.Swap(watching) != watching {
		m.opts.Log.WithFields(log.Fields{"watcher": watching, "before": before}).Info("watch of the store changed")
	}
}

// next returns the peer whose call has been due for longest.
func (m *Mesh) next() (address string, newsAfter uint64, ok bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen *peer
	for a, p := range m.peers {
		if !p.calling && !p.due.After(now) && (chosen == nil || p.due.Before(chosen.due)) {
			chosen, address = p, a
		}
	}
	if chosen == nil {
		return "", 0, false
	}
	chosen.begin(now, len(m.peers))
	return address, chosen.newsAfter, true
}

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
	return r
}

// take learns from a report what needs no further call.
func (m *Mesh) take(r *Report) {
	loads := make(gateway.Loads, len(r.Upstreams))
	for i, sum := range r.Upstreams[:min(len(r.Upstreams), len(r.Requests))] {
		loads[sum] = int(min(r.Requests[i], maxRequests))
	}
	m.opts.Board.SetPeerLoads(r.Router, loads)
}

// maxRequests is the most requests in progress at one upstream that a router is
// believed to have.
const maxRequests = 1 << 16

// behind returns the kinds of which the peer has held newer content for some
// time.
func (m *Mesh) behind(address string, r *Report) []int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil {
		return nil
	}
	var kinds []int
	for kind, f := range m.opts.Feeds[:min(len(m.opts.Feeds), len(r.Stamps))] {
		if !f.Confirm(r.Stamps[kind]) {
			delete(p.behind, kind)
			continue
		}
		since, known := p.behind[kind]
		if !known {
			p.behind[kind] = now
		}
		if !m.Watcher() || f.Stamp().Revision == 0 || known && now.Sub(since) >= behindFor {
			kinds = append(kinds, kind)
			delete(p.behind, kind)
		}
	}
	return kinds
}

// catchUp brings a kind up to date: from the store, and from the peer if the
// store does not answer soon. Only one call at a time does so for a kind.
func (m *Mesh) catchUp(ctx context.Context, client *link.Client, kind int) {
	if !m.catching[kind].CompareAndSwap(false, true) {
		return
	}
	defer m.catching[kind].Store(false)
	f := m.opts.Feeds[kind]
	if f.Lost() {
		m.fetch(ctx, client, kind)
		return
	}
	done := make(chan error, 1)
	go func() { done <- f.Refresh(ctx) }()
	timer := time.NewTimer(storeFirst)
	defer timer.Stop()
	select {
	case err := <-done:
		if err == nil {
			return
		}
	case <-timer.C:
	}
	m.fetch(ctx, client, kind)
}

// fetch takes the content of a kind from a peer.
func (m *Mesh) fetch(ctx context.Context, client *link.Client, kind int) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f := m.opts.Feeds[kind]
	fields := log.Fields{"peer": client.Address(), "kind": f.Kind()}
	var content Content
	if err := client.Call(ctx, service+".Fetch", &FetchArgs{Kind: kind}, &content); err != nil {
		m.opts.Log.WithError(err).WithFields(fields).Warn("cannot fetch newer content")
		return
	}
	if f.Adopt(content.Snapshot, content.Stamp) {
		fields["revision"], fields["age_ms"] = content.Snapshot.Revision, content.Stamp.Age.Milliseconds()
		m.opts.Log.WithFields(fields).Info("newer content adopted from another router")
	}
}

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

// Fetch returns the content of a kind.
func (r *receiver) Fetch(args *FetchArgs, reply *Content) error {
	if args.Kind < 0 || args.Kind >= len(r.mesh.opts.Feeds) {
		return errors.Newf("gossip: unknown kind %d", args.Kind)
	}
	f := r.mesh.opts.Feeds[args.Kind]
	reply.Stamp = f.Stamp()
	reply.Snapshot = f.Snapshot()
	return nil
}
