package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/shoenig/test/must"
)

func TestChangeReachesAllWithDelayAndLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		inBubble(t, 12, 48, func(_ *testing.T, f *fleet) {
			f.set(func() { f.loss = loss })
			f.within(f.put("first"), 2*inForceWithin)
			for i := range 5 {
				f.within(f.put(fmt.Sprint("change", i)), inForceWithin)
				time.Sleep(time.Second)
			}
		})
	}
}

// One router alone learns the version before the outage, and is cut off from
// the others until the platform is out.
func TestChangeSpreadsThroughPeersInAnOutage(t *testing.T) {
	inBubble(t, 12, 48, func(t *testing.T, f *fleet) {
		f.within(f.put("first"), inForceWithin)
		hosts := f.nodes["h000"].opts.Board.Hosts()
		i := slices.IndexFunc(f.rows, func(h store.Host) bool { return watches(h.Name, 1, hosts) })
		for _, h := range f.rows {
			f.nodes[h.Name].cut.Store(h.Name != f.rows[i].Name)
		}
		version := f.put("second")
		time.Sleep(time.Second)
		must.Len(t, len(f.rows)-1, f.behind(version))
		f.store.SetOut(true)
		for _, n := range f.nodes {
			n.cut.Store(false)
		}
		f.within(version, inForceWithin)
	})
}

func TestStartInAnOutageTakesTheGreatestOfSeveral(t *testing.T) {
	inBubble(t, 6, 0, func(t *testing.T, f *fleet) {
		f.within(f.put("first"), inForceWithin)
		f.set(func() { f.apart = func(a, b string) bool { return (a == "h000" || a == "h001") && b != "new" } })
		f.nodes["h000"].cut.Store(true)
		f.nodes["h001"].cut.Store(true)
		version := f.put("second")
		time.Sleep(inForceWithin)
		f.store.SetOut(true)
		f.nodes["h000"].cut.Store(false)
		f.nodes["h001"].cut.Store(false)
		n := f.start(store.Host{Name: "new", Role: store.RoleRouter, FailureDomain: "a"}, nil, "h000", "h001", "h002")
		must.Nil(t, n.opts.Board.Configuration())
		time.Sleep(DefaultPeerTimeout)
		must.Eq(t, version, n.opts.Board.ConfigVersion())
	})
}

// A region that is cut off for an hour goes on with its version, knows that it
// is not confirmed, and catches up.
func TestRegionCutOffForAnHour(t *testing.T) {
	inBubble(t, 6, 9, func(t *testing.T, f *fleet) {
		old := f.put("first")
		f.within(old, inForceWithin)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			must.Between(t, 0, n.Confirmed(), 3*time.Minute)
			n.cut.Store(n.row.FailureDomain == "a")
		}
		last := f.put("second")
		time.Sleep(time.Hour)
		for _, n := range f.nodes {
			if n.row.FailureDomain == "a" {
				must.Eq(t, old, n.opts.Board.ConfigVersion())
				n.ServeHello(wire.HelloArgs{Meta: wire.Meta{From: "far", ConfigVersion: old - 1}})
				must.Greater(t, 59*time.Minute, n.Confirmed())
			}
			n.cut.Store(false)
		}
		f.within(last, inForceWithin)
	})
}

// At the end of an outage the calls of the whole fleet stay spread.
func TestNoHerdWhenThePlatformReturns(t *testing.T) {
	inBubble(t, 10, 70, func(t *testing.T, f *fleet) {
		f.within(f.put("first"), inForceWithin)
		time.Sleep(2 * time.Minute)
		calls := f.store.Calls()
		time.Sleep(time.Minute)
		idle := f.store.Calls() - calls
		f.store.SetOut(true)
		time.Sleep(10 * time.Minute)
		f.store.SetOut(false)
		most := 0
		for range 30 {
			calls = f.store.Calls()
			time.Sleep(time.Second)
			most = max(most, f.store.Calls()-calls)
		}
		t.Logf("80 processes: %d calls in an idle minute, at most %d in a second after the outage", idle, most)
		must.Less(t, 60, idle)
		must.Less(t, 12, most)
	})
}

func TestPlatformThatGoesBackOrHoldsGarbage(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, f *fleet) {
		f.within(f.put("first"), inForceWithin)
		version := f.put("second")
		f.within(version, inForceWithin)
		ctx := t.Context()
		garbage, err := f.store.Put(ctx, ObjectKey, []byte(`{"colour":1}`), version)
		must.NoError(t, err)
		calls := f.store.Calls()
		time.Sleep(time.Minute)
		must.SliceEmpty(t, f.behind(version))
		must.Less(t, 60, f.store.Calls()-calls, must.Sprint("a refused value is not read for ever"))
		must.NoError(t, f.store.Delete(ctx, ObjectKey, garbage))
		time.Sleep(time.Minute)
		must.SliceEmpty(t, f.behind(version))
		f.within(f.put("third"), inForceWithin)
		n := f.nodes["h000"]
		must.NoError(t, n.take(store.Object{Key: ObjectKey, Version: 1, Value: []byte("{}")}))
		must.Eq(t, 1, n.Behind.Value())
		must.SliceEmpty(t, f.behind(n.opts.Board.ConfigVersion()))
	})
}

// A delta from a version that the receiver does not run is followed by one that
// fits; a full value is taken by any.
func TestUpdatesFitTheReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u updates
		var customers []config.Customer
		for i := range 20 {
			hash := sha256.Sum256([]byte{byte(i)})
			customers = append(customers, config.Customer{ID: fmt.Sprint("c", i), Weight: 1, KeyHashes: []string{hex.EncodeToString(hash[:])}})
		}
		var rules []config.Rule
		for v := range uint64(keptVersions + 4) {
			rules = append(rules, config.Rule{Customer: "*", Service: "*", Host: fmt.Sprint("h", v), FailureDomain: "*"})
			cfg := &config.Config{Version: v + 1, Customers: customers, Rules: slices.Clone(rules)}
			config.Normalize(cfg)
			u.keep(cfg)
		}
		newest := u.kept[len(u.kept)-1]
		for after, wantBase := range map[uint64]uint64{0: 0, 2: 0, 17: 17, newest.Version - 1: newest.Version - 1} {
			update, err := u.after(after)
			must.NoError(t, err)
			must.Eq(t, wantBase, update.Base)
			if base := u.base(after); base != nil {
				got, err := decodeUpdate(update, &board.Adopted{Config: base})
				must.NoError(t, err)
				must.Eq(t, newest, got)
			}
			if update.Base != 0 {
				_, err = decodeUpdate(update, nil)
				must.ErrorIs(t, err, config.ErrDelta)
			}
			update.Version++
			_, err = decodeUpdate(update, &board.Adopted{Config: u.base(after)})
			must.Error(t, err)
		}
		update, err := u.after(newest.Version)
		must.NoError(t, err)
		must.Eq(t, wire.ConfigUpdate{}, update)
	})
}

// A peer that was paused between making an update and sending it brings an old
// version to a process that has none.
func TestOfferThatItsSenderHasLeftIsNotTaken(t *testing.T) {
	encoded, err := config.Encode(&config.Config{Version: 4})
	must.NoError(t, err)
	for sender, want := range map[uint64]uint64{4: 4, 5: 0} {
		c := New(Options{Board: board.New(), Role: store.RoleAgent})
		c.ServeOffer(wire.OfferArgs{Meta: wire.Meta{ConfigVersion: sender}, ConfigUpdate: wire.ConfigUpdate{Version: 4, Encoded: encoded}})
		must.Eq(t, want, c.opts.Board.ConfigVersion())
	}
}

func TestTopologyConnectsAllRoutersAndAgents(t *testing.T) {
	for _, tc := range [][2]int{{1, 5}, {2, 5}, {3, 5}, {12, 5}, {50, 5}, {50, 50}} {
		routers, domains := tc[0], tc[1]
		var hosts []board.HostView
		for i := range routers * 4 {
			h := board.HostView{Listed: true, Host: store.Host{Name: fmt.Sprint("h", i), Role: store.RoleAgent, FailureDomain: fmt.Sprint("d", i%domains)}}
			if i < routers {
				h.Role = store.RoleRouter
			}
			hosts = append(hosts, h)
		}
		reached := map[string]bool{"h0": true}
		for queue := []string{"h0"}; len(queue) > 0; queue = queue[1:] {
			i := slices.IndexFunc(hosts, func(h board.HostView) bool { return h.Name == queue[0] })
			for _, n := range neighbours(queue[0], hosts[i].FailureDomain, hosts) {
				if !reached[n] {
					reached[n] = true
					queue = append(queue, n)
				}
			}
		}
		must.MapLen(t, routers, reached)
		served, watchers := make(map[string]int), make(map[string]int)
		for _, h := range hosts[:routers] {
			for _, a := range agents(h.Name, hosts) {
				served[a]++
			}
			if watches(h.Name, 7, hosts) {
				watchers[h.FailureDomain]++
			}
		}
		must.MapLen(t, len(hosts)-routers, served)
		must.MapLen(t, min(routers, domains), watchers)
		for _, count := range watchers {
			must.LessEq(t, watchersPerDomain, count)
		}
		must.Eq(t, min(routers, routersPerAgent), served[fmt.Sprint("h", routers)])
	}
}
