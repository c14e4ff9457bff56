package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// relayInterval is the time between two reports along the chains of the tests.
const relayInterval = 400 * time.Millisecond

// newChain returns running feeds on a store: the first one watches, and each other one
// knows only the one before it. Reports are passed on until the test ends.
func newChain(t *testing.T, s store.Collections, n int) []*Feed {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	chain := make([]*Feed, n)
	for i := range chain {
		chain[i] = New(Options{
			Kind: "things", Source: s, Wait: testWait, Log: &log.Logger{Handler: discard.New()},
			Watcher: func() bool { return i == 0 },
			Changed: func(Snapshot) {},
		})
		go chain[i].Run(ctx)
	}
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, relayInterval)
			for i, f := range chain[1:] {
				f.Confirm(chain[i].Stamp())
				chain[i].Confirm(f.Stamp())
			}
		}
	}()
	return chain
}

// Guards against requests to upstreams that have left: a router whose call failed, and
// that made no more calls since others confirmed its content, took this for an outage
// that went on, and kept the entries that were removed meanwhile.
func TestFailedCallIsNotKeptAsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{}
		s.records, s.revision = []store.Record{record("a", 1)}, 5
		chain := newChain(t, s, 3)
		const calm = 5 * time.Second
		time.Sleep(calm)
		for _, f := range chain[1:] {
			f.recordFailure(time.Now().Add(-2*minOutage), store.ErrUnavailable)
		}
		time.Sleep(2 * relayInterval)
		for range 50 {
			time.Sleep(relayInterval / 3)
			for i, f := range chain {
				must.GreaterEq(t, calm, f.Steady(), must.Sprint("router ", i))
			}
		}
	})
}

// What routers tell each other of the store must not outlive the store: in an outage
// nobody goes on believing in it from the reports of the others.
func TestReportsOfTheStoreDoNotHideAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calm, outage = 5 * time.Second, 8 * time.Second
		s := &silentStore{downFrom: time.Now().Add(calm), upFrom: time.Now().Add(calm + outage)}
		s.records, s.revision = []store.Record{record("a", 1)}, 5
		chain := newChain(t, s, 4)
		const noticed = 4 * time.Second
		time.Sleep(calm + noticed)
		for range 30 {
			time.Sleep((outage - noticed) / 30)
			for i, f := range chain {
				must.LessEq(t, minOutage, f.Steady(), must.Sprint("router ", i, " in the outage"))
			}
		}
		time.Sleep(3 * time.Second)
		for i, f := range chain {
			must.LessEq(t, 3*time.Second, f.Steady(), must.Sprint("router ", i, " after the outage"))
			must.Positive(t, f.Steady(), must.Sprint("router ", i, " after the outage"))
		}
	})
}

// A router that was frozen for some seconds knows nothing of the store in that time, and
// must not tell others that there was no outage.
func TestTimeWithoutAnythingHeardIsNoPeriodWithoutOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPassiveFeed(Snapshot{Revision: 5})
		time.Sleep(maxPeriodAge + time.Second)
		f.recordSuccess()
		must.Zero(t, f.Steady())
		must.Zero(t, f.Stamp().Available.FromAge)
		time.Sleep(maxPeriodAge)
		f.recordSuccess()
		must.Eq(t, maxPeriodAge, f.Steady())
	})
}

// Reports that do not meet are of two periods: the later one counts once this router has
// noticed the outage between them, or has heard nothing that belongs to the earlier one.
func TestLaterPeriodReplacesTheOneBeforeAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPassiveFeed(Snapshot{Revision: 5})
		time.Sleep(2 * time.Second)
		later := Stamp{Available: Availability{FromAge: 500 * time.Millisecond}}
		f.observeAvailability(later)
		must.Eq(t, 2*time.Second, f.Steady(), must.Sprint("a router that has just started says little"))
		time.Sleep(2 * time.Second)
		f.observeAvailability(later)
		must.Eq(t, 500*time.Millisecond, f.Steady())
		f.observeAvailability(Stamp{Available: Availability{FromAge: time.Hour, ToAge: 100 * time.Millisecond}})
		must.Eq(t, time.Hour, f.Steady(), must.Sprint("others were answered all the time"))
	})
}

// An outage that is shorter than reports are old counts from its end too.
func TestShortOutageEndsThePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPassiveFeed(Snapshot{Revision: 5})
		time.Sleep(time.Second)
		f.recordSuccess()
		started := time.Now()
		time.Sleep(minOutage + 500*time.Millisecond)
		f.recordFailure(started, store.ErrUnavailable)
		must.Zero(t, f.Steady())
		time.Sleep(100 * time.Millisecond)
		f.recordSuccess()
		must.Zero(t, f.Steady())
	})
}

// Two failures with a long time without calls between them are no outage of that length.
func TestFailuresFarApartAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPassiveFeed(Snapshot{Revision: 5})
		for range 3 {
			f.recordFailure(time.Now(), store.ErrUnavailable)
			must.False(t, f.inOutage())
			time.Sleep(10 * time.Second)
		}
	})
}
