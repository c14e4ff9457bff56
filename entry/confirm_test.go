package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/fleet/platform"
	standin "dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/wire"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// A router whose list of upstreams lags must have the newest one in use once it is confirmed, and
// must not take its own list for confirmed while the store does not answer. Requests that ask at
// the same time share the calls to the store.
func TestConfirmationPutsTheNewestListInUse(t *testing.T) {
	s := newStoreFixture(t)
	s.publish(7)
	h, err := New(Options{ // not started: its feeds lag for ever
		Settings: platform.Settings{Host: "r-0", FailureDomain: "a", PeersAddress: "127.0.0.1:1", StoreAddress: s.address, FirstStart: true, MemoryBytes: 256 << 20},
		Log:      &log.Logger{Handler: discard.New()},
	})
	must.NoError(t, err)
	for round := range 2 {
		id := fmt.Sprint("joined-", round)
		s.SetObject(wire.KindUpstreams, id, wire.Upstream("s", "127.0.0.1:9", "v2", false))
		before := s.Counts()
		var requests sync.WaitGroup
		for range 50 {
			requests.Go(func() {
				if !h.confirmed.Confirm(t.Context()) {
					t.Error("not confirmed")
				}
				if h.gateway.Catalog().Find(id) == nil {
					t.Error("confirmed without the upstream")
				}
			})
		}
		requests.Wait()
		must.LessEq(t, 10, s.Counts().List+s.Counts().Watch-before.List-before.Watch)
	}
	s.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	must.False(t, h.confirmed.Confirm(t.Context()))
	s.SetFaults(standin.Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	must.False(t, h.confirmed.Confirm(ctx))
}
