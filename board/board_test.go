package board

import (
	"sync"
	"testing"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/shoenig/test/must"
)

func newHost(name string, state store.HostState) store.Host {
	return store.Host{Name: name, Role: store.RoleAgent, Service: "llm", FailureDomain: "a", Address: "127.0.0.1:1", State: state}
}

// Each step is one observation and whether the host must be available after it.
func TestAvailable(t *testing.T) {
	var b *Board
	now := time.Duration(0)
	observeList := func(hosts ...store.Host) func() { return func() { b.ObserveHostList(hosts) } }
	observePeer := func(kind EvidenceKind, incarnation string) func() {
		return func() { b.ObservePeer(Evidence{Host: "e", Kind: kind, Incarnation: incarnation}) }
	}
	observePeerAt := func(address string, kind EvidenceKind, incarnation string) func() {
		return func() {
			b.ObservePeer(Evidence{Host: "e", Address: address, Kind: kind, Incarnation: incarnation})
		}
	}
	advance := func(d time.Duration) func() { return func() { now += d; b.Expire() } }
	live, other := newHost("e", store.HostLive), newHost("o", store.HostLive)
	moved := live
	moved.Address = "127.0.0.1:2"
	type step struct {
		do   func()
		want bool
	}
	for name, steps := range map[string][]step{
		"list reports leaving":                          {{observeList(live), true}, {observeList(newHost("e", store.HostLeaving)), false}, {observePeer(EvidenceServing, "1"), false}},
		"host reports leaving":                          {{observeList(live), true}, {observePeer(EvidenceLeaving, "1"), false}, {observeList(live), false}, {observePeer(EvidenceServing, "1"), false}, {observePeer(EvidenceServing, "2"), true}, {observePeer(EvidenceLeaving, "1"), true}},
		"replaced at another address":                   {{observeList(live), true}, {observePeer(EvidenceLeaving, "1"), false}, {observeList(moved), true}, {observePeer(EvidenceLeaving, "1"), true}, {observePeer(EvidenceReachable, "2"), true}},
		"missing from the list":                         {{observeList(live, other), true}, {observeList(other), false}, {observeList(live, other), true}},
		"list without agents":                           {{observeList(live), true}, {observeList(store.Host{Name: "r", Role: store.RoleRouter}), true}, {observeList(), true}},
		"leaving report survives missing from one list": {{observeList(live, other), true}, {observePeer(EvidenceLeaving, "1"), false}, {observeList(other), false}, {observeList(live, other), false}},
		"not listed yet":                                {{observePeer(EvidenceServing, "1"), false}, {observeList(live), true}},
		"backoff doubles":                               {{observeList(live), true}, {observePeer(EvidenceRefused, ""), false}, {advance(minBackoff), true}, {observePeer(EvidenceTimeout, ""), false}, {advance(minBackoff), false}, {advance(minBackoff), true}},
		"answer ends backoff":                           {{observeList(live), true}, {observePeer(EvidenceUpstreamDown, "1"), false}, {observePeer(EvidenceReachable, "1"), false}, {observePeer(EvidenceServing, "1"), true}, {observePeer(EvidenceTimeout, ""), false}, {observePeer(EvidenceReachable, "1"), true}},
		"leaving report expires":                        {{observeList(live), true}, {observePeer(EvidenceLeaving, "1"), false}, {advance(leavingReportTTL - 1), false}, {advance(1), true}, {observePeer(EvidenceLeaving, "1"), false}},
		"evidence for an old address":                   {{observeList(live), true}, {observePeer(EvidenceLeaving, "1"), false}, {observeList(moved), true}, {observePeerAt(live.Address, EvidenceLeaving, "1"), true}, {observePeerAt(live.Address, EvidenceRefused, ""), true}, {observePeerAt(moved.Address, EvidenceRefused, ""), false}},
		"refusals during backoff count once":            {{observeList(live), true}, {observePeer(EvidenceRefused, ""), false}, {observePeer(EvidenceRefused, ""), false}, {observePeer(EvidenceRefused, ""), false}, {advance(minBackoff), true}},
	} {
		b = NewWithClock(func() time.Duration { return now })
		for i, s := range steps {
			changed, before := b.Changed(), viewOfHost(b).Available()
			s.do()
			must.Eq(t, s.want, viewOfHost(b).Available(), must.Sprint(name, " step ", i))
			if before != s.want {
				select {
				case <-changed:
				default:
					t.Fatalf("%s step %d: Changed channel was not closed", name, i)
				}
			}
		}
	}
}

// viewOfHost returns the view of host "e". An unknown host counts as leaving.
func viewOfHost(b *Board) HostView {
	v, ok := b.Host("e")
	v.Leaving = v.Leaving || !ok
	return v
}

func TestHostViewsReportAges(t *testing.T) {
	now := time.Duration(0)
	b := NewWithClock(func() time.Duration { return now })
	b.ObserveHostList([]store.Host{newHost("e", store.HostLive), newHost("f", store.HostLive)})
	now = time.Second
	b.ObservePeer(Evidence{Host: "e", Kind: EvidenceServing, Incarnation: "1", ConfigVersion: 4, Load: &wire.Load{InFlight: 3}})
	now = 3 * time.Second
	v := b.Hosts()[0]
	must.Eq(t, 3*time.Second, v.ListAge)
	must.Eq(t, 2*time.Second, v.PeerAge)
	must.Eq(t, &Load{Load: wire.Load{InFlight: 3}, Age: 2 * time.Second}, v.Load)
	generation := b.Generation()
	b.ObservePeer(Evidence{Host: "e", Kind: EvidenceServing, Incarnation: "1", Load: &wire.Load{InFlight: 4}})
	must.Eq(t, generation, b.Generation(), must.Sprint("a load report must not count as a change"))
	b.ObserveHostList([]store.Host{newHost("f", store.HostLive)})
	now += unlistedRetention + time.Second
	b.Expire()
	must.Len(t, 1, b.Hosts())
}

func TestVersionsAndDrainStateOnlyAdvance(t *testing.T) {
	b := New()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			last := uint64(0)
			for v := range uint64(200) {
				b.Adopt(&config.Config{Version: v*8 + uint64(i) + 1}, "peer")
				must.GreaterEq(t, last, b.ConfigVersion())
				last = b.ConfigVersion()
			}
		})
	}
	wg.Wait()
	must.Eq(t, uint64(1600), b.ConfigVersion())
	must.False(t, b.Adopt(&config.Config{Version: 1600}, "peer"))
	must.True(t, b.SetDrain(DrainDraining, OriginSelf))
	must.False(t, b.SetDrain(DrainServing, OriginSelf))
	must.Eq(t, DrainDraining, b.Drain().Value)
}
