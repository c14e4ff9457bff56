package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/store/memory"
	"dandelionrill.example/fleet/wire"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// inForceWithin is the promise that the fleet keeps, on the virtual clock.
const inForceWithin = 12 * time.Second

// node is one process of a test fleet, on the virtual clock of synctest.
type node struct {
	*Controller
	row    store.Host
	fleet  *fleet
	cut    atomic.Bool // nothing reaches it or leaves it
	cancel context.CancelFunc
}

// fleet is a set of nodes that call each other directly, with delay and loss.
type fleet struct {
	t      *testing.T
	store  *memory.Platform
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	apart  func(a, b string) bool // no message passes between these
	nodes  map[string]*node
	rows   []store.Host
	wg     sync.WaitGroup
}

func (f *fleet) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// set changes the faults of the links.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// lost draws whether a message between two nodes is lost.
func (f *fleet) lost(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.loss || f.apart != nil && (f.apart(a, b) || f.apart(b, a))
}

// newFleet starts routers and agents over three failure domains.
func newFleet(t *testing.T, routers, agentCount int) *fleet {
	f := &fleet{t: t, store: memory.New(), random: rand.New(rand.NewPCG(1, 2)), nodes: make(map[string]*node)}
	for i := range routers + agentCount {
		h := store.Host{Name: fmt.Sprintf("h%03d", i), Role: store.RoleRouter, FailureDomain: string(rune('a' + i%3)), Address: "127.0.0.1:1", State: store.HostLive}
		if i >= routers {
			h.Role = store.RoleAgent
		}
		f.rows = append(f.rows, h)
	}
	for _, h := range f.rows {
		f.start(h, f.rows)
	}
	t.Cleanup(f.stop)
	return f
}

// start starts a node that has taken a host list and knows seeds.
func (f *fleet) start(h store.Host, list []store.Host, seeds ...string) *node {
	n := &node{row: h, fleet: f}
	opts := Options{Host: h.Name, FailureDomain: h.FailureDomain, Role: h.Role, Board: board.New(), Store: n, Random: f.draw,
		Seeds: seeds, Log: &log.Logger{Handler: discard.New()}}
	if h.Role == store.RoleRouter {
		opts.Peers = n
		opts.Board.ObserveHostList(list)
	}
	n.Controller = New(opts)
	f.mu.Lock()
	f.nodes[h.Name] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.wg.Go(func() { n.Run(ctx) })
	return n
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	f.wg.Wait()
}

// put accepts a configuration at the platform.
func (f *fleet) put(change string) uint64 {
	object, _ := f.store.Get(context.Background(), ObjectKey)
	raw, err := config.Encode(&config.Config{ChangeID: change})
	must.NoError(f.t, err)
	v, err := f.store.Put(context.Background(), ObjectKey, raw, object.Version)
	must.NoError(f.t, err)
	return v
}

// behind returns the nodes that are not at version.
func (f *fleet) behind(version uint64) (names []string) {
	for _, h := range f.rows {
		if n := f.nodes[h.Name]; n.opts.Board.ConfigVersion() != version {
			names = append(names, h.Name)
		}
	}
	return names
}

// within waits on the virtual clock until all nodes are at version.
func (f *fleet) within(version uint64, limit time.Duration) time.Duration {
	began := time.Now()
	for len(f.behind(version)) != 0 {
		if time.Since(began) > limit {
			f.t.Fatalf("version %d not in force at %v after %v", version, f.behind(version), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Peer implements Peers.
func (n *node) Peer(host string) (Peer, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	to, ok := n.fleet.nodes[host]
	if !ok {
		return nil, errors.Newf("no host %s", host)
	}
	return &edge{from: n, to: to}, nil
}

// edge carries the calls of one node to another.
type edge struct{ from, to *node }

func (e *edge) meta(n *node) wire.Meta {
	return wire.Meta{From: n.row.Name, Incarnation: n.row.Name, ConfigVersion: n.opts.Board.ConfigVersion()}
}

// carry delays one message or loses it.
func (e *edge) carry(ctx context.Context) error {
	f := e.from.fleet
	if e.from.cut.Load() || e.to.cut.Load() || f.lost(e.from.row.Name, e.to.row.Name) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Duration(f.draw() * float64(20*time.Millisecond)))
	return nil
}

func (e *edge) Hello(ctx context.Context, args wire.HelloArgs) (reply wire.HelloReply, err error) {
	args.Meta = e.meta(e.from)
	if err = e.carry(ctx); err == nil {
		reply.Confirmed = e.to.ServeHello(args)
		reply.Meta = e.meta(e.to)
		err = e.carry(ctx)
	}
	return reply, err
}

func (e *edge) FetchConfig(ctx context.Context, args wire.ConfigArgs) (reply wire.ConfigReply, err error) {
	if err = e.carry(ctx); err == nil {
		if reply, err = e.to.ServeFetch(args); err == nil {
			err = e.carry(ctx)
		}
	}
	return reply, err
}

func (e *edge) OfferConfig(ctx context.Context, args wire.OfferArgs) (reply wire.OfferReply, err error) {
	args.Meta = e.meta(e.from)
	if err = e.carry(ctx); err == nil {
		reply = e.to.ServeOffer(args)
		reply.Meta = e.meta(e.to)
		err = e.carry(ctx)
	}
	return reply, err
}

// The node reaches the platform unless it is cut off.
func (n *node) reach() error {
	if n.cut.Load() {
		return &store.UnavailableError{}
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (store.Object, error) {
	if err := n.reach(); err != nil {
		return store.Object{}, err
	}
	return n.fleet.store.Get(ctx, key)
}

func (n *node) List(ctx context.Context, prefix string, limit int) ([]store.Object, error) {
	if err := n.reach(); err != nil {
		return nil, err
	}
	return n.fleet.store.List(ctx, prefix, limit)
}

func (n *node) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Object, error) {
	if err := n.reach(); err != nil {
		return store.Object{}, err
	}
	object, err := n.fleet.store.Watch(ctx, key, after, wait)
	if cut := n.reach(); cut != nil {
		return store.Object{}, cut
	}
	return object, err
}

func (n *node) Put(context.Context, string, []byte, uint64) (uint64, error) { panic("not used") }

func (n *node) Delete(context.Context, string, uint64) error { panic("not used") }

// inBubble runs a test on a virtual clock.
func inBubble(t *testing.T, routers, agentCount int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, routers, agentCount)
		test(t, f)
	})
}
