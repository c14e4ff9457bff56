package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// requestID returns the identifier of a request with the path.
func requestID(path string) uint64 {
	return (&request{http: &http.Request{Method: http.MethodGet, RequestURI: path}}).fingerprint(nil)
}

// What may crash upstreams is the request, whatever the part of its prompt that it has alone;
// the request with just these parts, since bodies may be alike; and each shared part.
func TestWorkOfARequest(t *testing.T) {
	work := func(parts ...string) []uint64 {
		req := &request{http: &http.Request{Method: http.MethodPost, RequestURI: "/x"}}
		for _, part := range parts {
			req.Parts = append(req.Parts, PromptPart{ID: part})
		}
		return req.workIDs()
	}
	must.Len(t, 1, work())
	must.Len(t, 2, work("own"))
	a, b := work("first", "subject", "own"), work("first", "subject", "other")
	must.Eq(t, []uint64{PartID("first"), PartID("subject")}, a[:2])
	must.Eq(t, a[:3], b[:3])
	must.NotEq(t, a[3], b[3])
	must.True(t, isFingerprint(a[2]) && isFingerprint(a[3]))
	tagged := 0
	for i := range 100_000 {
		if isFingerprint(PartID(fmt.Sprint(i))) {
			tagged++
		}
	}
	must.Less(t, 10, tagged)
}

// The sends of one attempt of a caller alone are no reason not to repeat it: a request may
// meet two upstreams that end for another reason. Those of an earlier attempt are.
func TestOwnSendsAreNoSuspicion(t *testing.T) {
	c, id := NewCrashes(), requestID("/a")
	own := func(upstream uint32) bool { return upstream != 3 }
	c.RecordCrash(1, []uint64{id})
	c.RecordCrash(2, []uint64{id})
	must.False(t, c.Suspected([]uint64{id}, own))
	c.RecordCrash(3, []uint64{id})
	must.True(t, c.Suspected([]uint64{id}, own))
	part := PartID("bad")
	c.RecordCrash(1, []uint64{part})
	c.RecordCrash(2, []uint64{part})
	must.True(t, c.Suspected([]uint64{part}, own), must.Sprint("others may have the part"))
}

// Lookups that come often with the same path and caller are cut by ends of upstreams again
// and again. An answer to one of them shows that they are sound.
func TestRequestThatIsAnsweredIsNotBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, id := NewCrashes(), requestID("/lookup")
		for crash := range uint32(20) {
			c.RecordAnswered([]uint64{id})
			time.Sleep(3 * time.Second)
			c.RecordCrash(crash, []uint64{id})
			time.Sleep(time.Second)
			c.Tick()
			must.False(t, isBlocked(c, id))
		}
		crashed(c, 100, 3, id)
		time.Sleep(3 * time.Second)
		c.Tick()
		must.True(t, isBlocked(c, id), must.Sprint("not answered for three ends"))
	})
}

// A request with two blocked parts is let through only if both may be tried.
func TestRequestWithACertainPartIsNotTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, request, part := NewCrashes(), requestID("/a"), PartID("bad")
		crashed(c, 0, 4, request)
		crashed(c, 10, 6, part)
		time.Sleep(2 * trialInterval)
		c.Tick()
		must.True(t, isBlocked(c, request) && isBlocked(c, part))
		must.True(t, refuses(c, request, part))
		must.True(t, refuses(c, part))
		must.False(t, refuses(c, request))
		must.True(t, refuses(c, request), must.Sprint("just tried"))
	})
}

// Each request of a crash at an upstream is recorded, bystanders among them. The newest must
// reach other routers although a report holds a few only, and made-up requests must not fill
// the memory.
func TestNewestCrashesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCrashes()
		for i := range 3000 {
			c.RecordCrash(uint32(i), []uint64{requestID(fmt.Sprint("/old/", i))})
			time.Sleep(time.Millisecond)
		}
		must.LessEq(t, maxCrashedParts, len(c.parts))
		id := requestID("/new")
		c.RecordCrash(9000, []uint64{id})
		reports := c.Reports()
		must.Len(t, maxReportedParts, reports)
		must.Eq(t, id, reports[0].Part)
		for i := range 100_000 {
			c.RecordAnswered([]uint64{requestID(fmt.Sprint("/", i))})
		}
		for i := range c.requests.shards {
			must.LessEq(t, maxAnsweredPerShard, len(c.requests.shards[i].at))
		}
		for i := range c.answered.shards {
			must.Zero(t, len(c.answered.shards[i].at), must.Sprint("requests displace no parts"))
		}
	})
}

// Two requests were in progress at all ends, so that they cannot be told apart. One trial in the
// fleet tells: a sound one is released by its answer, the other one by the next end. One that
// alone explains the ends is not tried early.
func TestRequestsThatExplainTheSameAreToldApartEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad, sound := requestID("/bad"), requestID("/sound")
		both := func() *Crashes {
			c := NewCrashes()
			crashed(c, 0, 3, bad, sound)
			c.Tick()
			must.True(t, isBlocked(c, bad) && isBlocked(c, sound))
			_, early := c.RecordRefused(sound)
			must.False(t, early, must.Sprint("an end may still be on its way"))
			time.Sleep(earlyTrialDelay)
			refuse, early := c.RecordRefused(sound)
			must.True(t, refuse)
			must.True(t, early)
			return c
		}
		c := both()
		c.RecordTrial(sound)
		_, early := c.RecordRefused(sound)
		must.False(t, early, must.Sprint("tried"))
		c.RecordAnswered([]uint64{sound})
		must.False(t, isBlocked(c, sound))
		must.True(t, isBlocked(c, bad))
		_, early = c.RecordRefused(bad)
		must.False(t, early, must.Sprint("explains the ends alone now"))
		c = NewCrashes()
		crashed(c, 0, 2*certainCrashes, bad, sound)
		time.Sleep(earlyTrialDelay)
		c.Tick()
		_, early = c.RecordRefused(sound)
		must.True(t, early, must.Sprint("however many ends they share"))
		c = both()
		c.SetStored(c.ListBlocked()) // other routers have written both to the store
		c.RecordTrial(bad)
		c.RecordCrash(9, []uint64{bad})
		time.Sleep(CrashSettleTime)
		c.Tick()
		must.True(t, isBlocked(c, bad))
		must.False(t, isBlocked(c, sound))
	})
}
