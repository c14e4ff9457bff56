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

func rowOf(name string, state store.HostState) store.Host {
	return store.Host{Name: name, Role: store.RoleAgent, Service: "llm", FailureDomain: "a", Address: "127.0.0.1:1", State: state}
}

// Each step is one observation; after it the host is choosable or not.
func TestChoosable(t *testing.T) {
	var b *Board
	now := time.Duration(0)
	lists := func(hosts ...store.Host) func() { return func() { b.ObserveHostList(hosts) } }
	sees := func(kind EvidenceKind, incarnation string) func() {
		return func() { b.ObservePeer(Evidence{Host: "e", Kind: kind, Incarnation: incarnation}) }
	}
	seesAt := func(address string, kind EvidenceKind, incarnation string) func() {
		return func() {
			b.ObservePeer(Evidence{Host: "e", Address: address, Kind: kind, Incarnation: incarnation})
		}
	}
	waits := func(d time.Duration) func() { return func() { now += d; b.Expire() } }
	live, other := rowOf("e", store.HostLive), rowOf("o", store.HostLive)
	moved := live
	moved.Address = "127.0.0.1:2"
	type step struct {
		do   func()
		want bool
	}
	for name, steps := range map[string][]step{
		"the list says leaving":   {{lists(live), true}, {lists(rowOf("e", store.HostLeaving)), false}, {sees(EvidenceAlive, "1"), false}},
		"its own word":            {{lists(live), true}, {sees(EvidenceLeaving, "1"), false}, {lists(live), false}, {sees(EvidenceAlive, "1"), false}, {sees(EvidenceAlive, "2"), true}, {sees(EvidenceLeaving, "1"), true}},
		"replaced elsewhere":      {{lists(live), true}, {sees(EvidenceLeaving, "1"), false}, {lists(moved), true}, {sees(EvidenceLeaving, "1"), true}, {sees(EvidenceHeard, "2"), true}},
		"missing in the list":     {{lists(live, other), true}, {lists(other), false}, {lists(live, other), true}},
		"a list without agents":   {{lists(live), true}, {lists(store.Host{Name: "r", Role: store.RoleRouter}), true}, {lists(), true}},
		"a flap keeps own words":  {{lists(live, other), true}, {sees(EvidenceLeaving, "1"), false}, {lists(other), false}, {lists(live, other), false}},
		"not listed yet":          {{sees(EvidenceAlive, "1"), false}, {lists(live), true}},
		"refused":                 {{lists(live), true}, {sees(EvidenceRefused, ""), false}, {waits(minHold), true}, {sees(EvidenceTimeout, ""), false}, {waits(minHold), false}, {waits(minHold), true}},
		"refused, then answering": {{lists(live), true}, {sees(EvidenceUpstreamDown, "1"), false}, {sees(EvidenceHeard, "1"), false}, {sees(EvidenceAlive, "1"), true}, {sees(EvidenceTimeout, ""), false}, {sees(EvidenceHeard, "1"), true}},
		"its own word ends":       {{lists(live), true}, {sees(EvidenceLeaving, "1"), false}, {waits(leavingMark - 1), false}, {waits(1), true}, {sees(EvidenceLeaving, "1"), false}},
		"another address":         {{lists(live), true}, {sees(EvidenceLeaving, "1"), false}, {lists(moved), true}, {seesAt(live.Address, EvidenceLeaving, "1"), true}, {seesAt(live.Address, EvidenceRefused, ""), true}, {seesAt(moved.Address, EvidenceRefused, ""), false}},
		"many refusals in a row":  {{lists(live), true}, {sees(EvidenceRefused, ""), false}, {sees(EvidenceRefused, ""), false}, {sees(EvidenceRefused, ""), false}, {waits(minHold), true}},
	} {
		b = NewWithClock(func() time.Duration { return now })
		for i, s := range steps {
			changed, before := b.Changed(), hostIn(b).Choosable()
			s.do()
			must.Eq(t, s.want, hostIn(b).Choosable(), must.Sprint(name, " step ", i))
			if before != s.want {
				select {
				case <-changed:
				default:
					t.Fatalf("%s step %d: change not announced", name, i)
				}
			}
		}
	}
}

func hostIn(b *Board) HostView {
	v, ok := b.Host("e")
	v.Leaving = v.Leaving || !ok
	return v
}

func TestEntriesCarryAge(t *testing.T) {
	now := time.Duration(0)
	b := NewWithClock(func() time.Duration { return now })
	b.ObserveHostList([]store.Host{rowOf("e", store.HostLive), rowOf("f", store.HostLive)})
	now = time.Second
	b.ObservePeer(Evidence{Host: "e", Kind: EvidenceAlive, Incarnation: "1", ConfigVersion: 4, Load: &wire.Load{InFlight: 3}})
	now = 3 * time.Second
	v := b.Hosts()[0]
	must.Eq(t, 3*time.Second, v.ListAge)
	must.Eq(t, 2*time.Second, v.PeerAge)
	must.Eq(t, &Load{Load: wire.Load{InFlight: 3}, Age: 2 * time.Second}, v.Load)
	generation := b.Generation()
	b.ObservePeer(Evidence{Host: "e", Kind: EvidenceAlive, Incarnation: "1", Load: &wire.Load{InFlight: 4}})
	must.Eq(t, generation, b.Generation(), must.Sprint("a load report is no change"))
	b.ObserveHostList([]store.Host{rowOf("f", store.HostLive)})
	now += forgetAfter + time.Second
	b.Expire()
	must.Len(t, 1, b.Hosts())
}

func TestOnlyGreaterVersionsAreAdopted(t *testing.T) {
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
