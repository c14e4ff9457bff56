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

// propagationLimit is the time, on the virtual clock, within which a change
// must be in force in all processes.
const propagationLimit = 12 * time.Second

// node is one process of a test fleet. It runs on the virtual clock of
// synctest.
type node struct {
	*Controller
	host     store.Host
	fleet    *fleet
	isolated atomic.Bool // no message reaches or leaves the node
	cancel   context.CancelFunc
}

// fleet is a set of nodes that call each other directly, with delay and loss.
type fleet struct {
	t               *testing.T
	store           *memory.Platform
	mu              sync.Mutex
	random          *rand.Rand
	lossProbability float64
	partitioned     func(a, b string) bool // reports whether messages between two nodes are lost
	nodes           map[string]*node
	hostList        []store.Host
	wg              sync.WaitGroup
}

func (f *fleet) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// setFaults runs change, which sets the faults of the network, while holding
// the lock.
func (f *fleet) setFaults(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// dropMessage decides randomly, with lossProbability, whether a message between
// two nodes is lost. Messages between partitioned nodes are always lost.
func (f *fleet) dropMessage(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.lossProbability || f.partitioned != nil && (f.partitioned(a, b) || f.partitioned(b, a))
}

// newFleet starts routers and agents in three failure domains.
func newFleet(t *testing.T, routers, agentCount int) *fleet {
	f := &fleet{t: t, store: memory.New(), random: rand.New(rand.NewPCG(1, 2)), nodes: make(map[string]*node)}
	for i := range routers + agentCount {
		h := store.Host{Name: fmt.Sprintf("h%03d", i), Role: store.RoleRouter, FailureDomain: string(rune('a' + i%3)), Address: "127.0.0.1:1", State: store.HostLive}
		if i >= routers {
			h.Role = store.RoleAgent
		}
		f.hostList = append(f.hostList, h)
	}
	for _, h := range f.hostList {
		f.startNode(h, f.hostList)
	}
	t.Cleanup(f.stop)
	return f
}

// startNode starts a node. A router observes the given host list before it
// starts.
func (f *fleet) startNode(h store.Host, list []store.Host, seeds ...string) *node {
	n := &node{host: h, fleet: f}
	opts := Options{Host: h.Name, FailureDomain: h.FailureDomain, Role: h.Role, Board: board.New(), Store: n, Random: f.randomFloat,
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

// publish stores a new configuration in the platform and returns its version.
func (f *fleet) publish(change string) uint64 {
	object, _ := f.store.Get(context.Background(), ObjectKey)
	raw, err := config.Encode(&config.Config{ChangeID: change})
	must.NoError(f.t, err)
	v, err := f.store.Put(context.Background(), ObjectKey, raw, object.Version)
	must.NoError(f.t, err)
	return v
}

// nodesNotAt returns the names of the nodes that do not run version.
func (f *fleet) nodesNotAt(version uint64) (names []string) {
	for _, h := range f.hostList {
		if n := f.nodes[h.Name]; n.opts.Board.ConfigVersion() != version {
			names = append(names, h.Name)
		}
	}
	return names
}

// waitForVersion waits on the virtual clock until all nodes run version. It
// fails the test if that takes longer than limit.
func (f *fleet) waitForVersion(version uint64, limit time.Duration) time.Duration {
	startedAt := time.Now()
	for len(f.nodesNotAt(version)) != 0 {
		if time.Since(startedAt) > limit {
			f.t.Fatalf("version %d not in force at %v after %v", version, f.nodesNotAt(version), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// Peer implements Peers.
func (n *node) Peer(host string) (Peer, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	to, ok := n.fleet.nodes[host]
	if !ok {
		return nil, errors.Newf("no host %s", host)
	}
	return &peerLink{from: n, to: to}, nil
}

// peerLink carries the calls from one node to another.
type peerLink struct{ from, to *node }

func (e *peerLink) meta(n *node) wire.Meta {
	return wire.Meta{From: n.host.Name, Incarnation: n.host.Name, ConfigVersion: n.opts.Board.ConfigVersion()}
}

// deliver delays one message. If the message is lost, it blocks until ctx is
// done.
func (e *peerLink) deliver(ctx context.Context) error {
	f := e.from.fleet
	if e.from.isolated.Load() || e.to.isolated.Load() || f.dropMessage(e.from.host.Name, e.to.host.Name) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Duration(f.randomFloat() * float64(20*time.Millisecond)))
	return nil
}

func (e *peerLink) Hello(ctx context.Context, args wire.HelloArgs) (reply wire.HelloReply, err error) {
	args.Meta = e.meta(e.from)
	if err = e.deliver(ctx); err == nil {
		reply.Confirmed = e.to.ServeHello(args)
		reply.Meta = e.meta(e.to)
		err = e.deliver(ctx)
	}
	return reply, err
}

func (e *peerLink) FetchConfig(ctx context.Context, args wire.ConfigArgs) (reply wire.ConfigReply, err error) {
	if err = e.deliver(ctx); err == nil {
		if reply, err = e.to.ServeFetch(args); err == nil {
			err = e.deliver(ctx)
		}
	}
	return reply, err
}

func (e *peerLink) OfferConfig(ctx context.Context, args wire.OfferArgs) (reply wire.OfferReply, err error) {
	args.Meta = e.meta(e.from)
	if err = e.deliver(ctx); err == nil {
		reply = e.to.ServeOffer(args)
		reply.Meta = e.meta(e.to)
		err = e.deliver(ctx)
	}
	return reply, err
}

// checkReachable returns an error if the node is isolated from the platform.
func (n *node) checkReachable() error {
	if n.isolated.Load() {
		return &store.UnavailableError{}
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (store.Object, error) {
	if err := n.checkReachable(); err != nil {
		return store.Object{}, err
	}
	return n.fleet.store.Get(ctx, key)
}

func (n *node) List(ctx context.Context, prefix string, limit int) ([]store.Object, error) {
	if err := n.checkReachable(); err != nil {
		return nil, err
	}
	return n.fleet.store.List(ctx, prefix, limit)
}

func (n *node) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Object, error) {
	if err := n.checkReachable(); err != nil {
		return store.Object{}, err
	}
	object, err := n.fleet.store.Watch(ctx, key, after, wait)
	if unreachable := n.checkReachable(); unreachable != nil {
		return store.Object{}, unreachable
	}
	return object, err
}

func (n *node) Put(context.Context, string, []byte, uint64) (uint64, error) { panic("not used") }

func (n *node) Delete(context.Context, string, uint64) error { panic("not used") }

// runFleetTest runs a test with a fleet on a virtual clock.
func runFleetTest(t *testing.T, routers, agentCount int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, routers, agentCount)
		test(t, f)
	})
}
