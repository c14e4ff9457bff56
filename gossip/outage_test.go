package gossip

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/store"
	"github.com/shoenig/test/must"
)

// answeringStore is a store without changes, whose next call of one router can be made to
// fail.
type answeringStore struct{ failNext atomic.Bool }

func (s *answeringStore) ListKind(context.Context, string) ([]store.Record, store.Position, error) {
	return []store.Record{{Name: "a", Revision: 1, Value: []byte("v")}}, store.Position{Revision: 5}, nil
}

func (s *answeringStore) WatchKind(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	if s.failNext.CompareAndSwap(true, false) {
		time.Sleep(callTimeout + time.Second)
		return nil, after, &store.UnavailableError{}
	}
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (*answeringStore) WriteRecord(context.Context, string, string, []byte) (uint64, error) {
	return 0, store.ErrUnavailable
}

// Guards against requests to upstreams that have left: routers of a failure domain without
// a watcher that failed one call each to the store took this for an outage that went on,
// since they called it no more, and kept the entries that were removed meanwhile.
func TestFailedCallIsNotKeptAsAnOutageInAnyDomain(t *testing.T) {
	for _, fleet := range []struct{ routers, domains int }{{5, 3}, {28, 4}, {68, 6}, {120, 4}} {
		synctest.Test(t, func(t *testing.T) { failedCallIsNotKeptAsAnOutage(t, fleet.routers, fleet.domains) })
	}
}

func failedCallIsNotKeptAsAnOutage(t *testing.T, routers, domains int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stores := make([]*answeringStore, routers)
	feeds := make([]*feed.Feed, routers)
	fleet := newFleetWithFeeds(t, routers, domains, func(i int, mesh *atomic.Pointer[Mesh]) *feed.Feed {
		stores[i] = &answeringStore{}
		feeds[i] = feed.New(feed.Options{
			Kind: "things", Source: stores[i], Wait: 500 * time.Millisecond, Log: discarded,
			Watcher: func() bool { return mesh.Load().Watcher() },
			Changed: func(feed.Snapshot) {},
		})
		return feeds[i]
	})
	rounds := func(d time.Duration, check func()) {
		for until := time.Now().Add(d); time.Now().Before(until); {
			time.Sleep(minInterval)
			exchangeAll(t, fleet)
			check()
		}
	}
	exchangeAll(t, fleet)
	for _, f := range feeds {
		go f.Run(ctx)
	}
	const calm = 5 * time.Second
	rounds(calm, func() {})
	for i, m := range fleet {
		if !m.Watcher() {
			stores[i].failNext.Store(true)
			go func() { _ = feeds[i].Refresh(ctx) }()
		}
	}
	rounds(calm, func() {})
	rounds(calm, func() {
		for i, f := range feeds {
			must.GreaterEq(t, calm, f.Steady(), must.Sprintf("router %d of %d in %s", i, routers, fleet[i].opts.FailureDomain))
		}
	})
}
