package gateway

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/forward"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// crashed records n crashes of different upstreams with the parts, a moment apart, and lets
// them settle.
func crashed(c *Crashes, first, n uint32, parts ...uint64) {
	for u := first; u < first+n; u++ {
		c.RecordCrash(u, parts)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(CrashSettleTime)
	c.Tick()
}

// refuses reports whether a request with the parts is refused.
func refuses(c *Crashes, parts ...uint64) bool {
	refuse, _ := c.RecordRefused(parts...)
	return refuse
}

func isBlocked(c *Crashes, part uint64) bool {
	_, blocked := c.Blocked([]uint64{part})
	return blocked
}

// A grey upstream that breaks requests off and goes on answering others has not ended.
func TestUpstreamThatAnswersHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		crashed(c, 1, 2, 7)
		c.RecordCrash(3, []uint64{7})
		time.Sleep(2 * aliveFrom)
		c.RecordAlive(3, 0)
		time.Sleep(CrashSettleTime)
		c.Tick()
		must.False(t, isBlocked(c, 7))
		c.RecordCrash(4, []uint64{7})
		time.Sleep(CrashSettleTime)
		c.RecordAlive(4, CrashSettleTime+time.Second) // sent before the end
		c.Tick()
		must.True(t, isBlocked(c, 7))
		time.Sleep(aliveUntil)
		c.RecordAlive(4, 0) // started again
		must.True(t, isBlocked(c, 7))
	})
}

// An upstream that has broken a request off and gone on may crash later, and that counts.
func TestUpstreamThatWasAliveCanCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, other := NewCrashes(), NewCrashes()
		for u := range uint32(3) {
			c.RecordCrash(u, []uint64{7})
			time.Sleep(2 * aliveFrom)
			c.RecordAlive(u, 0)
		}
		other.Merge(c.Reports(), c.Alive())
		time.Sleep(time.Second)
		crashed(c, 0, 3, 7)
		must.True(t, isBlocked(c, 7))
		other.Merge(c.Reports(), c.Alive())
		other.Tick()
		must.True(t, isBlocked(other, 7))
	})
}

// What shows that an upstream was alive may arrive after its end: that crash counts.
func TestLateReportOfAnAliveUpstreamKeepsItsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		crashed(c, 0, 3, 7)
		early := uint32((time.Minute).Milliseconds())
		c.Merge(nil, []AliveReport{{Upstream: 0, AgeMs: early}, {Upstream: 1, AgeMs: early}, {Upstream: 2, AgeMs: early}})
		must.Eq(t, 3, c.Count(7))
		c.Merge(nil, []AliveReport{{Upstream: 1}})
		must.Eq(t, 2, c.Count(7))
	})
}

// A sound part that was blamed by chance must be released once it is answered.
func TestBlockedPartIsTriedAgainAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, other := NewCrashes(), NewCrashes()
		crashed(c, 1, 3, 7)
		must.True(t, isBlocked(c, 7))
		must.True(t, refuses(c, 7))
		time.Sleep(2 * trialInterval)
		other.Merge(c.Reports(), nil)
		must.False(t, refuses(c, 7))
		must.True(t, refuses(c, 7), must.Sprint("one request at a time"))
		other.Merge(c.Reports(), nil)
		must.True(t, refuses(other, 7), must.Sprint("tried by another router"))
		c.RecordAnswered([]uint64{7})
		must.False(t, isBlocked(c, 7))
	})
}

// A part that has crashed five upstreams is not tried again, however long requests come.
func TestCertainPartStaysBlockedWhileItIsRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		crashed(c, 1, certainCrashes, 7)
		for range 100 {
			time.Sleep(blockMemory / 2)
			c.Tick()
			must.True(t, isBlocked(c, 7))
			must.True(t, refuses(c, 7))
		}
		time.Sleep(blockMemory + time.Second)
		c.Tick()
		must.False(t, isBlocked(c, 7))
		must.False(t, c.Any())
	})
}

// Parts that are answered all the time are not recorded at each end of an upstream, and
// records are bounded.
func TestCrashRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		c.RecordAnswered([]uint64{1, 2})
		c.RecordCrash(9, []uint64{1, 2})
		must.False(t, c.Any())
		for part := range uint64(2 * maxCrashedParts) {
			c.RecordCrash(uint32(part), []uint64{100 + part})
		}
		crashed(c, 1, 3, 7)
		must.LessEq(t, maxCrashedParts, len(c.parts))
		must.LessEq(t, maxReportedParts, len(c.Reports()))
		must.True(t, isBlocked(c, 7))
		must.Eq(t, 7, c.Reports()[0].Part)
		for range 3 * maxCrashesPerPart {
			crashed(c, uint32(len(c.parts[7].crashes)*1000), 1, 7)
		}
		must.LessEq(t, maxCrashesPerPart, len(c.parts[7].crashes))
		time.Sleep(blockMemory + crashMemory)
		c.Tick()
		c.Tick()
		must.False(t, c.Any())
	})
}

// Evidence of different routers adds up, answers seen by one release a part at all, and
// what comes back late does not count again.
func TestCrashesOfOtherRoutersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewCrashes(), NewCrashes()
		a.RecordCrash(1, []uint64{7, 8})
		b.RecordCrash(2, []uint64{7})
		b.RecordCrash(3, []uint64{7})
		must.True(t, b.Merge(a.Reports(), a.Alive()))
		must.False(t, b.Merge(a.Reports(), a.Alive()), must.Sprint("nothing new"))
		must.True(t, a.Merge(b.Reports(), b.Alive()))
		time.Sleep(CrashSettleTime)
		a.Tick()
		b.Tick()
		must.True(t, isBlocked(a, 7))
		must.True(t, isBlocked(b, 7))
		must.False(t, isBlocked(a, 8))
		time.Sleep(time.Second)
		a.RecordAnswered([]uint64{7})
		old := b.Reports()
		b.Merge(a.Reports(), a.Alive())
		must.False(t, isBlocked(b, 7))
		a.Merge(old, nil)
		must.False(t, isBlocked(a, 7))
	})
}

// All routers may be killed at once: what the store lists is blocked from the start, until
// the part is answered, and is not blocked again by the list that still has it.
func TestPartsListedInTheStoreAreBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, c := NewCrashes(), NewCrashes()
		crashed(before, 1, certainCrashes, 7)
		list := before.ListBlocked()
		must.Eq(t, []BlockedPart{{Part: 7, Upstreams: certainCrashes}}, list)
		c.SetStored(list)
		must.True(t, isBlocked(c, 7))
		time.Sleep(3 * trialInterval)
		must.True(t, refuses(c, 7))
		must.Eq(t, list, c.ListBlocked())
		c.RecordAnswered([]uint64{7})
		c.SetStored(list)
		must.False(t, isBlocked(c, 7))
		c.SetStored(nil)
		must.False(t, isBlocked(c, 7))
	})
}

// A router that has run for long must keep a part that it learns from the store only, and
// forget it once no request has come for it.
func TestPartListedLaterIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		time.Sleep(2 * blockMemory)
		list := []BlockedPart{{Part: 7, Upstreams: 3}}
		c.SetStored(list)
		time.Sleep(blockMemory / 2)
		c.SetStored(list)
		c.Tick()
		must.True(t, isBlocked(c, 7))
		time.Sleep(blockMemory/2 + time.Second)
		c.Tick()
		must.False(t, isBlocked(c, 7))
	})
}

// A host without power or network answers nothing any more: the parts in progress there are
// not blamed, however many hosts fall silent at once.
func TestSilentUpstreamIsNoCrash(t *testing.T) {
	g := &Gateway{crashes: NewCrashes()}
	req := &request{ids: partIDs([]PromptPart{{ID: "a"}, {ID: "own"}})}
	s := &send{target: target{upstream: &catalog.Upstream{ID: "i-1"}}}
	g.recordBrokenOff(req, s, errors.Wrap(&forward.Error{Cause: syscall.ETIMEDOUT, Outcome: forward.MayHaveRun}, "read answer"))
	must.False(t, g.crashes.Any())
	g.recordBrokenOff(req, s, errors.Wrap(&forward.Error{Cause: syscall.ECONNRESET, Outcome: forward.MayHaveRun}, "read answer"))
	must.True(t, g.crashes.Any())
}
