package gateway

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"github.com/shoenig/test/must"
)

func TestLoadsOfAllRoutersAreSummed(t *testing.T) {
	b := NewBoard(eject.Options{})
	x, y := catalog.Key{ID: "x", Born: 1}, catalog.Key{ID: "y"}
	b.BeginRequest(x)
	b.SetPeerReport("r1", "a", Loads{x.Sum(): 2, y.Sum(): 1}, nil)
	b.SetPeerReport("r2", "a", Loads{x.Sum(): 3}, nil)
	must.Eq(t, 6, b.Status(x).Load)
	must.Eq(t, 1, b.Status(x).OwnLoad)
	must.Eq(t, 1, b.Status(y).Load)
	b.SetPeerReport("r1", "a", Loads{}, nil) // a report replaces the previous one
	must.Eq(t, 4, b.Status(x).Load)
	must.Eq(t, 0, b.Status(y).Load)
	must.Eq(t, Loads{x.Sum(): 1}, b.OwnLoads())
	b.EndRequest(x)
	must.MapEmpty(t, b.OwnLoads())
}

// The loads reported by a router that no longer sends reports must not count
// forever.
func TestPeerReportsExpire(t *testing.T) {
	b := NewBoard(eject.Options{})
	x := catalog.Key{ID: "x"}
	b.SetPeerReport("r1", "a", Loads{x.Sum(): 2}, nil)
	b.ExpirePeerReports()
	must.Eq(t, 2, b.Status(x).Load)
	b.start = b.start.Add(-peerReportMaxAge - time.Second)
	b.ExpirePeerReports()
	must.Eq(t, 0, b.Status(x).Load)
	must.MapEmpty(t, b.peers.loads)
}

// An upstream that restarts under the same identifier starts without loads and
// failures.
func TestRestartedUpstreamIsANewUpstream(t *testing.T) {
	b := NewBoard(eject.Options{})
	old, restarted := catalog.Key{ID: "x", Born: 1}, catalog.Key{ID: "x", Born: 2}
	b.BeginRequest(old)
	b.RecordFailure(old, true)
	must.Eq(t, 0, b.Status(restarted).Load)
	must.Eq(t, UpstreamStatus{}, b.Status(restarted))
	b.EndRequest(old)
	b.RemoveUnlisted(func(key catalog.Key) bool { return key == restarted })
	must.Eq(t, UpstreamStatus{}, b.Status(old))
}

func TestOnlyNewOwnPlacementsAreReported(t *testing.T) {
	p := NewPrompts()
	x, y := catalog.Key{ID: "x"}, catalog.Key{ID: "y"}
	p.RecordSend(Placement{Part: 1, At: x})
	p.RecordSend(Placement{Part: 1, At: x})
	p.RecordSend(Placement{Part: 1, At: y})
	placements, next := p.PlacementsSince(0, OriginOwn)
	must.Eq(t, []Placement{{1, x}, {1, y}}, placements)
	placements, next = p.PlacementsSince(next, OriginOwn)
	must.SliceEmpty(t, placements)
	p.Record(Placement{Part: 2, At: x}, OriginDomain)
	placements, _ = p.PlacementsSince(next, OriginOwn)
	must.SliceEmpty(t, placements)
	placements, _ = p.PlacementsSince(next, OriginOwn|OriginDomain)
	must.Eq(t, []Placement{{2, x}}, placements)
	placements, _ = p.PlacementsSince(1<<40, OriginOwn) // a number from before a restart of this process
	must.Len(t, 2, placements)
	p.RemoveUnlisted(func(key catalog.Key) bool { return key == y })
	var cachedAt []catalog.Key
	p.CachedAt(1, func(key catalog.Key) { cachedAt = append(cachedAt, key) })
	must.Eq(t, []catalog.Key{y}, cachedAt)
}

func TestPromptsAreBounded(t *testing.T) {
	p := NewPrompts()
	for i := range uint64(promptShards*maxPartsPerShard + 1000) {
		p.RecordSend(Placement{Part: i, At: catalog.Key{ID: "x"}})
	}
	total := 0
	for i := range p.shards {
		total += len(p.shards[i].cachedAt)
	}
	must.LessEq(t, promptShards*maxPartsPerShard, total)
	placements, _ := p.PlacementsSince(0, OriginOwn)
	must.LessEq(t, maxLoggedPlacements, len(placements))
	for i := range 3 * maxUpstreamsPerPart {
		p.RecordSend(Placement{Part: 7, At: catalog.Key{ID: "x", Born: int64(i)}})
	}
	upstreams := 0
	p.CachedAt(7, func(catalog.Key) { upstreams++ })
	must.LessEq(t, maxUpstreamsPerPart, upstreams)
}

// A single request in progress may have a long prompt, and its caller may
// disconnect early: that alone is not a fault of the upstream.
func TestSilenceLimitIsHigherForASingleRequest(t *testing.T) {
	for _, c := range []struct {
		own     int
		silence time.Duration
		want    bool
	}{
		{0, 0, false},
		{1, 500 * time.Millisecond, false},
		{1, 900 * time.Millisecond, true},
		{2, 300 * time.Millisecond, false},
		{2, 500 * time.Millisecond, true},
	} {
		must.Eq(t, c.want, tooSilent(UpstreamStatus{OwnLoad: c.own, Silence: c.silence}), must.Sprintf("%+v", c))
	}
}

func TestUnreachableUntilActivity(t *testing.T) {
	b := NewBoard(eject.Options{})
	x := catalog.Key{ID: "x"}
	b.RecordFailure(x, true)
	must.False(t, b.Status(x).Unreachable)
	b.RecordFailure(x, false)
	must.True(t, b.Status(x).Unreachable)
	b.RecordActivity(x)
	must.False(t, b.Status(x).Unreachable)
}

// The routers of a failure domain are counted by the report of their domain or one by
// one, never both, and again one by one once the domain no longer reports.
func TestDomainReportReplacesThoseOfItsRouters(t *testing.T) {
	b := NewBoard(eject.Options{})
	x := catalog.Key{ID: "x"}
	b.SetPeerReport("r1", "near", Loads{x.Sum(): 1}, nil)
	b.SetPeerReport("r2", "far", Loads{x.Sum(): 2}, nil)
	b.SetDomainReport(DomainReport{Domain: "far", Age: time.Second, Loads: Loads{x.Sum(): 4 * LoadUnits}})
	must.Eq(t, 5, b.Status(x).Load)
	b.SetPeerReport("r2", "far", Loads{x.Sum(): 2}, nil)
	must.Eq(t, 5, b.Status(x).Load)
	b.SetDomainReport(DomainReport{Domain: "far", Age: time.Minute, Loads: Loads{x.Sum(): 9 * LoadUnits}})
	must.Eq(t, 5, b.Status(x).Load, must.Sprint("an older report that came by another way"))
	b.SetDomainReport(DomainReport{Domain: "far", Loads: Loads{x.Sum(): LoadUnits / 2}})
	must.Eq(t, 1.5, b.Status(x).Load)
	b.start = b.start.Add(-peerReportMaxAge - time.Second)
	b.ExpirePeerReports()
	b.SetPeerReport("r2", "far", Loads{x.Sum(): 2}, nil)
	must.Eq(t, 2, b.Status(x).Load)
}

// All routers of the other domains act on the same report. With the loads of one moment
// they would all send to the upstream that happened to have none.
func TestDomainReportsHoldAverages(t *testing.T) {
	var a loadAverage
	const upstream = 7
	now := time.Duration(0)
	for i := range 400 {
		now += loadAverageTime / 50
		sample := Loads{}
		if i%2 == 0 {
			sample[upstream] = 4
		}
		a.add(sample, now)
	}
	must.Between(t, 2*LoadUnits-2, a.loads()[upstream], 2*LoadUnits+2)
	for range 400 {
		now += loadAverageTime / 50
		a.add(Loads{}, now)
	}
	must.MapEmpty(t, a.values)
}
