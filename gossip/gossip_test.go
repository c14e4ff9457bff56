package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// deadStore is a store that answers nobody.
type deadStore struct{}

func (deadStore) ListKind(context.Context, string) ([]store.Record, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (deadStore) WatchKind(context.Context, string, uint64, time.Duration) ([]store.Change, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (deadStore) WriteRecord(context.Context, string, string, []byte) error {
	return store.ErrUnavailable
}

type router struct {
	mesh    *Mesh
	feed    *feed.Feed
	board   *gateway.Board
	prompts *gateway.Prompts
	address string
	changed chan feed.Snapshot
}

// start runs a router of a fleet whose store is away. Its feed is not run, so
// that it learns by its peers alone.
func start(t *testing.T, name string, seeds ...string) *router {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &router{
		board: gateway.NewBoard(eject.Options{}), prompts: gateway.NewPrompts(),
		address: listener.Addr().String(), changed: make(chan feed.Snapshot, 16),
	}
	r.feed = feed.New(feed.Options{
		Kind: "things", Source: deadStore{}, Log: logger,
		Changed: func(s feed.Snapshot) { r.changed <- s },
	})
	r.mesh, err = New(Options{
		Router: name, Address: r.address, Seeds: seeds, Feeds: []*feed.Feed{r.feed},
		Board: r.board, Prompts: r.prompts, Log: logger,
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served, ran := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		_ = r.mesh.Server().Serve(listener)
	}()
	go func() {
		defer close(ran)
		r.mesh.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		_ = r.mesh.Server().Shutdown(ctx)
		<-served
		<-ran
	})
	return r
}

func snapshot(revision uint64) feed.Snapshot {
	return feed.Snapshot{Revision: revision, Records: []store.Record{{Name: "a", Revision: revision, Value: []byte("v")}}}
}

// A router that starts while the store is away takes the newest content from
// its peers, and knows them by its seeds.
func TestContentSpreadsWhileTheStoreIsAway(t *testing.T) {
	one := start(t, "r1")
	must.True(t, one.feed.Adopt(snapshot(7), feed.Stamp{}))
	two := start(t, "r2", one.address)
	must.Eq(t, snapshot(7).Records, (<-two.changed).Records)
	// A newer version reaches it as well, an older one changes nothing.
	must.True(t, one.feed.Adopt(snapshot(9), feed.Stamp{}))
	must.Eq(t, 9, (<-two.changed).Revision)
	must.False(t, one.feed.Adopt(snapshot(8), feed.Stamp{}))
	must.Eq(t, 9, two.feed.Stamp().Revision)
}

func TestLoadsAndPlacementsSpread(t *testing.T) {
	one := start(t, "r1")
	two := start(t, "r2", one.address)
	x := catalog.Key{ID: "x", Born: 5}
	two.board.Begin(x)
	two.board.Answered(x, true)
	one.prompts.Placed(gateway.Placement{Part: 9, At: x})
	holds := func() (held bool) {
		two.prompts.Holders(9, func(catalog.Key) { held = true })
		return held
	}
	for one.board.Known(x).Load != 1 || !holds() {
		time.Sleep(time.Millisecond)
	}
	must.Greater(t, 0.5, one.board.Tally(x).Failures) // came with the load
	two.board.End(x)
	for one.board.Known(x).Load != 0 {
		time.Sleep(time.Millisecond)
	}
}

// The routers agree on who watches the store; one that falls silent is
// replaced.
func TestWatchersAreAFewAndReplaced(t *testing.T) {
	var routers []*router
	var addresses []string
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5"} {
		r := start(t, name)
		routers = append(routers, r)
		addresses = append(addresses, r.address)
	}
	for _, r := range routers {
		r.mesh.SetPeers(addresses)
	}
	count := func() (n int, first *router) {
		for _, r := range routers {
			if r.mesh.Watcher() {
				n++
				first = r
			}
		}
		return n, first
	}
	var gone *router
	for n := 0; n != watchers; n, gone = count() {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, gone.mesh.Server().Shutdown(context.Background()))
	replaced := func() bool {
		n := 0
		for _, r := range routers {
			if r != gone && r.mesh.Watcher() {
				n++
			}
		}
		return n == watchers
	}
	for !replaced() {
		time.Sleep(time.Millisecond)
	}
}

func TestMalformedReportsAreTaken(t *testing.T) {
	one := start(t, "r1")
	var reply Report
	r := &receiver{mesh: one.mesh}
	must.NoError(t, r.Exchange(&Report{Upstreams: []uint32{1, 2, 3}, Requests: []uint{1 << 60}, Stamps: make([]feed.Stamp, 9)}, &reply))
	must.Error(t, r.Fetch(&FetchArgs{Kind: 9}, &Content{}))
	must.Error(t, r.Fetch(&FetchArgs{Kind: -1}, &Content{}))
}
