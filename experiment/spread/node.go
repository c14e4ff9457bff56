// Package spread measures how configuration changes propagate to the processes of a
// fleet. The fleet's nodes run in one process with the product's controllers, links over
// loopback and a stand-in for the platform.
package spread

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/membership"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/peers"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	standin "dandelionrill.example/standin/platform"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
)

// Options sets up a Fleet.
type Options struct {
	Routers int
	Agents  int
	Domains int
	Delay   time.Duration // one way, on each link between nodes
	Loss    float64       // share of messages that are delayed by a retransmission
}

// node is one process of the fleet.
type node struct {
	board         *board.Board
	configuration *configuration.Controller

	mu      sync.Mutex
	adopted map[uint64]time.Time
}

// Fleet is a set of running nodes. Close stops it.
type Fleet struct {
	opts     Options
	platform *standin.Server
	http     *httptest.Server
	nodes    []*node
	links    []*link.Pool
	servers  []*link.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New starts a fleet without a configuration.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, platform: standin.New(standin.Options{})}
	f.http = httptest.NewServer(http.HandlerFunc(f.platform.ServeHTTP))
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	var rows []standin.Host
	var listeners []net.Listener
	for i := range opts.Routers + opts.Agents {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "spread: listen")
		}
		row := standin.Host{Name: fmt.Sprintf("host-%04d", i), Role: string(store.RoleAgent), Service: "registry-llm",
			FailureDomain: fmt.Sprint("domain-", i%opts.Domains), Address: ln.Addr().String(), State: string(store.HostLive)}
		if i < opts.Routers {
			row.Role, row.Service = string(store.RoleRouter), ""
		}
		rows, listeners = append(rows, row), append(listeners, ln)
	}
	f.platform.SetHosts(rows)
	for i, row := range rows {
		if err := f.start(ctx, row, listeners[i]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, row standin.Host, ln net.Listener) error {
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: f.http.URL})
	if err != nil {
		return err
	}
	discardLog := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	n := &node{board: board.New(), adopted: make(map[uint64]time.Time)}
	meta := func() wire.Meta {
		return wire.Meta{From: row.Name, Incarnation: "incarnation-of-" + row.Name, ConfigVersion: n.board.ConfigVersion()}
	}
	opts := configuration.Options{Host: row.Name, FailureDomain: row.FailureDomain, Role: store.Role(row.Role), Board: n.board, Store: api, Log: discardLog}
	if opts.Role == store.RoleRouter {
		pool := link.NewPool(link.ClientOptions{Dial: f.dial})
		f.links = append(f.links, pool)
		opts.Peers = peers.NewLinks(n.board, pool, meta)
	}
	n.configuration = configuration.New(opts)
	server, err := link.NewServer(link.ServerOptions{}, peers.ReceiverName, peers.NewReceiver(n.configuration, meta))
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	f.nodes = append(f.nodes, n)
	members := membership.New(membership.Options{Board: n.board, List: api, Log: discardLog})
	f.wg.Go(func() { _ = server.Serve(ln) })
	f.wg.Go(func() { members.Run(ctx) })
	f.wg.Go(func() { n.configuration.Run(ctx) })
	f.wg.Go(func() { n.record(ctx) })
	return nil
}

// record stores when each version came into force at the node.
func (n *node) record(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.board.Changed()
		if v := n.board.ConfigVersion(); v > 0 {
			n.mu.Lock()
			if _, ok := n.adopted[v]; !ok {
				n.adopted[v] = time.Now()
			}
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// since returns how long after accepted the node first had the version or a later one in
// force, and false if it hasn't yet.
func (n *node) since(version uint64, accepted time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first, found := time.Duration(0), false
	for v, at := range n.adopted {
		if took := at.Sub(accepted); v >= version && (!found || took < first) {
			first, found = took, true
		}
	}
	return first, found
}

// Close stops the fleet and waits for its goroutines.
func (f *Fleet) Close() {
	f.cancel()
	for _, pool := range f.links {
		pool.Close()
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, server := range f.servers {
		_ = server.Shutdown(shutdownCtx)
	}
	f.http.CloseClientConnections()
	f.http.Close()
	f.wg.Wait()
}
