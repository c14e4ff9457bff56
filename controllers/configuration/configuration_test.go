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

func TestChangeReachesAllNodesDespiteDelayAndLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		runFleetTest(t, 12, 48, func(_ *testing.T, f *fleet) {
			f.setFaults(func() { f.lossProbability = loss })
			f.waitForVersion(f.publish("first"), 2*propagationLimit)
			for i := range 5 {
				f.waitForVersion(f.publish(fmt.Sprint("change", i)), propagationLimit)
				time.Sleep(time.Second)
			}
		})
	}
}

// Only one router receives the version before the outage of the platform. It is
// isolated from the other routers until the outage has begun.
func TestChangePropagatesThroughPeersDuringOutage(t *testing.T) {
	runFleetTest(t, 12, 48, func(t *testing.T, f *fleet) {
		f.waitForVersion(f.publish("first"), propagationLimit)
		hosts := f.nodes["h000"].opts.Board.Hosts()
		i := slices.IndexFunc(f.hostList, func(h store.Host) bool { return shouldWatch(h.Name, 1, hosts) })
		for _, h := range f.hostList {
			f.nodes[h.Name].isolated.Store(h.Name != f.hostList[i].Name)
		}
		version := f.publish("second")
		time.Sleep(time.Second)
		must.Len(t, len(f.hostList)-1, f.nodesNotAt(version))
		f.store.SetUnavailable(true)
		for _, n := range f.nodes {
			n.isolated.Store(false)
		}
		f.waitForVersion(version, propagationLimit)
	})
}

func TestStartDuringOutageAdoptsHighestPeerVersion(t *testing.T) {
	runFleetTest(t, 6, 0, func(t *testing.T, f *fleet) {
		f.waitForVersion(f.publish("first"), propagationLimit)
		f.setFaults(func() { f.partitioned = func(a, b string) bool { return (a == "h000" || a == "h001") && b != "new" } })
		f.nodes["h000"].isolated.Store(true)
		f.nodes["h001"].isolated.Store(true)
		version := f.publish("second")
		time.Sleep(propagationLimit)
		f.store.SetUnavailable(true)
		f.nodes["h000"].isolated.Store(false)
		f.nodes["h001"].isolated.Store(false)
		n := f.startNode(store.Host{Name: "new", Role: store.RoleRouter, FailureDomain: "a"}, nil, "h000", "h001", "h002")
		must.Nil(t, n.opts.Board.Configuration())
		time.Sleep(DefaultPeerTimeout)
		must.Eq(t, version, n.opts.Board.ConfigVersion())
	})
}

// A failure domain that is partitioned for an hour keeps its version, reports
// that the version is not confirmed, and catches up afterwards.
func TestFailureDomainPartitionedForOneHour(t *testing.T) {
	runFleetTest(t, 6, 9, func(t *testing.T, f *fleet) {
		oldVersion := f.publish("first")
		f.waitForVersion(oldVersion, propagationLimit)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			must.Between(t, 0, n.Confirmed(), 3*time.Minute)
			n.isolated.Store(n.host.FailureDomain == "a")
		}
		newVersion := f.publish("second")
		time.Sleep(time.Hour)
		for _, n := range f.nodes {
			if n.host.FailureDomain == "a" {
				must.Eq(t, oldVersion, n.opts.Board.ConfigVersion())
				n.ServeHello(wire.HelloArgs{Meta: wire.Meta{From: "far", ConfigVersion: oldVersion - 1}})
				must.Greater(t, 59*time.Minute, n.Confirmed())
			}
			n.isolated.Store(false)
		}
		f.waitForVersion(newVersion, propagationLimit)
	})
}

// After an outage of the platform, the calls of all processes remain
// distributed over time.
func TestNoThunderingHerdAfterPlatformOutage(t *testing.T) {
	runFleetTest(t, 10, 70, func(t *testing.T, f *fleet) {
		f.waitForVersion(f.publish("first"), propagationLimit)
		time.Sleep(2 * time.Minute)
		calls := f.store.Calls()
		time.Sleep(time.Minute)
		idleCalls := f.store.Calls() - calls
		f.store.SetUnavailable(true)
		time.Sleep(10 * time.Minute)
		f.store.SetUnavailable(false)
		maxPerSecond := 0
		for range 30 {
			calls = f.store.Calls()
			time.Sleep(time.Second)
			maxPerSecond = max(maxPerSecond, f.store.Calls()-calls)
		}
		t.Logf("80 processes: %d calls in an idle minute, at most %d in a second after the outage", idleCalls, maxPerSecond)
		must.Less(t, 60, idleCalls)
		must.Less(t, 12, maxPerSecond)
	})
}

func TestPlatformVersionRollbackAndInvalidValue(t *testing.T) {
	runFleetTest(t, 3, 3, func(t *testing.T, f *fleet) {
		f.waitForVersion(f.publish("first"), propagationLimit)
		version := f.publish("second")
		f.waitForVersion(version, propagationLimit)
		ctx := t.Context()
		invalidVersion, err := f.store.Put(ctx, ObjectKey, []byte(`{"colour":1}`), version)
		must.NoError(t, err)
		calls := f.store.Calls()
		time.Sleep(time.Minute)
		must.SliceEmpty(t, f.nodesNotAt(version))
		must.Less(t, 60, f.store.Calls()-calls, must.Sprint("a refused value must not be read again and again"))
		must.NoError(t, f.store.Delete(ctx, ObjectKey, invalidVersion))
		time.Sleep(time.Minute)
		must.SliceEmpty(t, f.nodesNotAt(version))
		f.waitForVersion(f.publish("third"), propagationLimit)
		n := f.nodes["h000"]
		must.NoError(t, n.adoptObject(store.Object{Key: ObjectKey, Version: 1, Value: []byte("{}")}))
		must.Eq(t, 1, n.PlatformBehind.Value())
		must.SliceEmpty(t, f.nodesNotAt(n.opts.Board.ConfigVersion()))
	})
}

// A receiver rejects a delta whose base version is not the one that it runs,
// and accepts a delta from its own version. Any receiver accepts a full value.
func TestUpdatesApplyToReceiverVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u updateCache
		var customers []config.Customer
		for i := range 20 {
			hash := sha256.Sum256([]byte{byte(i)})
			customers = append(customers, config.Customer{ID: fmt.Sprint("c", i), Weight: 1, KeyHashes: []string{hex.EncodeToString(hash[:])}})
		}
		var rules []config.Rule
		for v := range uint64(maxBaseVersions + 4) {
			rules = append(rules, config.Rule{Customer: "*", Service: "*", Host: fmt.Sprint("h", v), FailureDomain: "*"})
			cfg := &config.Config{Version: v + 1, Customers: customers, Rules: slices.Clone(rules)}
			config.Normalize(cfg)
			u.add(cfg)
		}
		newest := u.versions[len(u.versions)-1]
		for after, wantBase := range map[uint64]uint64{0: 0, 2: 0, 17: 17, newest.Version - 1: newest.Version - 1} {
			update, err := u.updateFrom(after)
			must.NoError(t, err)
			must.Eq(t, wantBase, update.Base)
			if base := u.findVersion(after); base != nil {
				got, err := decodeUpdate(update, &board.Adopted{Config: base})
				must.NoError(t, err)
				must.Eq(t, newest, got)
			}
			if update.Base != 0 {
				_, err = decodeUpdate(update, nil)
				must.ErrorIs(t, err, config.ErrDeltaMismatch)
			}
			update.Version++
			_, err = decodeUpdate(update, &board.Adopted{Config: u.findVersion(after)})
			must.Error(t, err)
		}
		update, err := u.updateFrom(newest.Version)
		must.NoError(t, err)
		must.Eq(t, wire.ConfigUpdate{}, update)
	})
}

// A peer that was paused after creating an update may send it to a process
// without a configuration when the peer itself already runs a later version.
func TestOfferOlderThanSenderVersionIsIgnored(t *testing.T) {
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
			for _, n := range neighborRouters(queue[0], hosts[i].FailureDomain, hosts) {
				if !reached[n] {
					reached[n] = true
					queue = append(queue, n)
				}
			}
		}
		must.MapLen(t, routers, reached)
		served, watchers := make(map[string]int), make(map[string]int)
		for _, h := range hosts[:routers] {
			for _, a := range assignedAgents(h.Name, hosts) {
				served[a]++
			}
			if shouldWatch(h.Name, 7, hosts) {
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
