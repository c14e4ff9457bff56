package membudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Memory that is free is never taken from a caller, however slow it is. When it is used up, the
// one without progress for longest gives way.
func TestStalledHoldingsGiveWayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		var evicted []string
		hold := func(name string) *Holding {
			h := b.Hold(func(stalled bool) {
				must.True(t, stalled)
				evicted = append(evicted, name)
			})
			time.Sleep(time.Millisecond)
			return h
		}
		old, mid, steady := hold("old"), hold("mid"), hold("steady")
		for _, h := range []*Holding{old, mid, steady} {
			must.True(t, h.Reserve(30))
		}
		must.False(t, hold("early").Reserve(30), must.Sprint("nobody has stalled yet"))
		time.Sleep(Grace)
		must.SliceEmpty(t, evicted)
		steady.Progress(progressBytes)
		old.Progress(progressBytes - 1) // a trickle
		next := hold("next")
		must.True(t, next.Reserve(30))
		must.Eq(t, []string{"old"}, evicted)
		must.False(t, old.Held())
		must.True(t, mid.Held())
		must.False(t, old.Reserve(1))
		must.False(t, old.Settle())
		old.Release()
		must.True(t, next.Reserve(40))
		must.Eq(t, []string{"old", "mid"}, evicted)
		must.Eq(t, 100, b.Used())
		must.True(t, steady.Settle())
		next.Release()
		must.Eq(t, 30, b.Used())
		time.Sleep(time.Hour)
		must.False(t, hold("last").Reserve(71), must.Sprint("what has settled stays"))
		steady.Release()
		must.Eq(t, 0, b.Used())
	})
}

// Large holdings leave room for small ones.
func TestLargeHoldingsLeaveRoomForSmallOnes(t *testing.T) {
	b := New(16 * smallBytes)
	large := b.Hold(func(bool) {})
	must.True(t, large.Reserve(14*smallBytes))
	must.False(t, large.Reserve(1))
	small := b.Hold(func(bool) {})
	must.True(t, small.Reserve(smallBytes))
	must.False(t, small.Reserve(1), must.Sprint("it is large from here on"))
	must.Eq(t, 2, b.Refused().Value())
}

// Holdings that cannot all be completed must not keep each other from it: the largest goes on.
func TestLargestHoldingGoesOn(t *testing.T) {
	b := New(16 * smallBytes)
	var evicted int
	var holdings []*Holding
	for i := range 4 {
		h := b.Hold(func(stalled bool) {
			must.False(t, stalled)
			evicted = i
		})
		must.True(t, h.Reserve(int64(1+i)*smallBytes))
		holdings = append(holdings, h)
	}
	must.False(t, holdings[0].Reserve(5*smallBytes))
	must.True(t, holdings[3].Reserve(5*smallBytes))
	must.Eq(t, 0, evicted)
	must.True(t, holdings[1].Settle())
	must.Eq(t, 1, b.Evicted().Value())
}

// What must not be refused is reserved beyond the limit, and what is returned counts no more.
func TestReserveAnywayAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		evicted := false
		stalled := b.Hold(func(bool) { evicted = true })
		must.True(t, stalled.Reserve(90))
		time.Sleep(Grace)
		answer := b.Hold(func(bool) {})
		answer.ReserveAnyway(150)
		must.True(t, evicted)
		must.Eq(t, 150, b.Used())
		answer.Return(60)
		stalled.Return(90) // it no longer holds them
		must.Eq(t, 90, b.Used())
		must.False(t, b.EvictStalled())
		time.Sleep(Grace)
		must.True(t, b.EvictStalled())
		must.Eq(t, 0, b.Used())
	})
}
