package gateway

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"github.com/shoenig/test/must"
)

func TestLoadsOfAllRoutersAddUp(t *testing.T) {
	b := NewBoard(eject.Options{})
	x, y := catalog.Key{ID: "x", Born: 1}, catalog.Key{ID: "y"}
	b.Begin(x)
	b.SetPeer("r1", Loads{x.Sum(): 2, y.Sum(): 1}, nil)
	b.SetPeer("r2", Loads{x.Sum(): 3}, nil)
	must.Eq(t, 6, b.Known(x).Load)
	must.Eq(t, 1, b.Known(x).Own)
	must.Eq(t, 1, b.Known(y).Load)
	b.SetPeer("r1", Loads{}, nil) // a report replaces the one before
	must.Eq(t, 4, b.Known(x).Load)
	must.Eq(t, 0, b.Known(y).Load)
	must.Eq(t, Loads{x.Sum(): 1}, b.OwnLoads())
	b.End(x)
	must.MapEmpty(t, b.OwnLoads())
}

// What a router told that has been silent for long must not count for ever.
func TestLoadsOfSilentRoutersExpire(t *testing.T) {
	b := NewBoard(eject.Options{})
	x := catalog.Key{ID: "x"}
	b.SetPeer("r1", Loads{x.Sum(): 2}, nil)
	b.ExpirePeers()
	must.Eq(t, 2, b.Known(x).Load)
	b.start = b.start.Add(-peerReportAge - time.Second)
	b.ExpirePeers()
	must.Eq(t, 0, b.Known(x).Load)
	must.MapEmpty(t, b.peers.loads)
}

// A restart under the same identifier knows nothing of before.
func TestRestartIsAnotherUpstream(t *testing.T) {
	b := NewBoard(eject.Options{})
	old, reborn := catalog.Key{ID: "x", Born: 1}, catalog.Key{ID: "x", Born: 2}
	b.Begin(old)
	b.Failed(old, true)
	must.Eq(t, 0, b.Known(reborn).Load)
	must.Eq(t, Known{}, b.Known(reborn))
	b.End(old)
	b.Forget(func(key catalog.Key) bool { return key == reborn })
	must.Eq(t, Known{}, b.Known(old))
}

func TestPromptsTellOnlyWhatIsNew(t *testing.T) {
	p := NewPrompts()
	x, y := catalog.Key{ID: "x"}, catalog.Key{ID: "y"}
	p.Placed(Placement{Part: 1, At: x})
	p.Placed(Placement{Part: 1, At: x})
	p.Placed(Placement{Part: 1, At: y})
	news, next := p.News(0)
	must.Eq(t, []Placement{{1, x}, {1, y}}, news)
	news, next = p.News(next)
	must.SliceEmpty(t, news)
	p.Learn(Placement{Part: 2, At: x}) // another router's word is not told on
	news, _ = p.News(next)
	must.SliceEmpty(t, news)
	news, _ = p.News(1 << 40) // asked by the number of an earlier process
	must.Len(t, 2, news)
	p.Forget(func(key catalog.Key) bool { return key == y })
	var holders []catalog.Key
	p.Holders(1, func(key catalog.Key) { holders = append(holders, key) })
	must.Eq(t, []catalog.Key{y}, holders)
}

func TestPromptMemoryIsBounded(t *testing.T) {
	p := NewPrompts()
	for i := range uint64(promptShards*maxPrompts + 1000) {
		p.Placed(Placement{Part: i, At: catalog.Key{ID: "x"}})
	}
	total := 0
	for i := range p.shards {
		total += len(p.shards[i].holders)
	}
	must.LessEq(t, promptShards*maxPrompts, total)
	news, _ := p.News(0)
	must.LessEq(t, maxNews, len(news))
	for i := range 3 * maxHolders {
		p.Placed(Placement{Part: 7, At: catalog.Key{ID: "x", Born: int64(i)}})
	}
	held := 0
	p.Holders(7, func(catalog.Key) { held++ })
	must.LessEq(t, maxHolders, held)
}

// One answer that is owed may be that to a long prompt, and its caller may leave
// early: that alone speaks against no upstream.
func TestSilenceOfOneAnswerCountsLater(t *testing.T) {
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
		must.Eq(t, c.want, tooSilent(Known{Own: c.own, Silence: c.silence}), must.Sprintf("%+v", c))
	}
}

func TestUnreachableUntilSomethingComes(t *testing.T) {
	b := NewBoard(eject.Options{})
	x := catalog.Key{ID: "x"}
	b.Failed(x, true)
	must.False(t, b.Known(x).Unreachable)
	b.Failed(x, false)
	must.True(t, b.Known(x).Unreachable)
	b.Heard(x)
	must.False(t, b.Known(x).Unreachable)
}
