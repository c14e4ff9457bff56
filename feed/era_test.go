package feed

import (
	"context"
	"testing"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// newPassiveFeed returns a feed that is not run and gets content from peers only.
func newPassiveFeed(start Snapshot) *Feed {
	f := New(Options{Kind: "things", Log: &log.Logger{Handler: discard.New()}, Changed: func(Snapshot) {}})
	f.Adopt(start, Stamp{})
	return f
}

func modified(name string, revision uint64, value string) store.Record {
	return store.Record{Name: name, Revision: revision, Value: []byte(value)}
}

// The store returns from a copy: the feed follows it to a lower revision, and to an
// equal one with other content.
func TestFeedFollowsTheStoreBack(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision uint64
		records  []store.Record
	}{
		{"lower revision", 3, []store.Record{modified("a", 1, "old")}},
		{"equal revision with other content", 5, []store.Record{modified("a", 5, "new")}},
		{"higher revision", 9, []store.Record{modified("b", 9, "new")}},
	} {
		s := &source{era: 1, records: []store.Record{modified("a", 5, "lost")}, revision: 5, watch: hang}
		f, changed := newFeed(t, s)
		must.Eq(t, 5, (<-changed).Revision)
		s.mu.Lock()
		s.era, s.records, s.revision = 2, c.records, c.revision
		s.mu.Unlock()
		f.opts.Eras.Observe(2, 0)
		f.mu.Lock()
		if f.cancelWatch != nil {
			f.cancelWatch() // the waiting watch ends when the store goes away
		}
		f.mu.Unlock()
		got := <-changed
		must.Eq(t, store.Position{Era: 2, Revision: c.revision}, got.Position(), must.Sprint(c.name))
		must.Eq(t, c.records, got.Records, must.Sprint(c.name))
	}
}

// Content of an earlier era is never adopted, whatever its revision.
func TestContentOfAnEarlierEraIsIgnored(t *testing.T) {
	f := newPassiveFeed(Snapshot{Era: 2, Revision: 3, Records: []store.Record{modified("a", 3, "new")}})
	must.False(t, f.Adopt(Snapshot{Era: 1, Revision: 9, Records: []store.Record{modified("a", 9, "lost")}}, Stamp{}))
	must.False(t, f.Confirm(Stamp{Era: 1, Revision: 9, Digest: f.Stamp().Digest + 1}))
	must.False(t, f.AdoptChanges(store.Position{Era: 1, Revision: 3}, nil, store.Position{Era: 1, Revision: 9}, Stamp{}))
	must.False(t, f.apply(store.Position{Era: 2, Revision: 3}, nil, store.Position{Era: 3, Revision: 4}, 0))
	must.Eq(t, store.Position{Era: 2, Revision: 3}, f.position)
}

// Most content is the same after the store's return, and is not sent again.
func TestUnchangedContentMovesToTheNewEra(t *testing.T) {
	records := []store.Record{modified("a", 3, "v")}
	f := newPassiveFeed(Snapshot{Era: 1, Revision: 9, Records: records})
	peer := newPassiveFeed(Snapshot{Era: 2, Revision: 5, Records: records})
	must.False(t, f.Confirm(peer.Stamp()))
	must.Eq(t, store.Position{Era: 2, Revision: 5}, f.position)
	must.True(t, f.apply(store.Position{Era: 2, Revision: 5}, []store.Change{{Record: modified("a", 6, "w")}}, store.Position{Era: 2, Revision: 6}, 0))
	must.Eq(t, []store.Record{modified("a", 6, "w")}, f.Snapshot().Records)
}

// A revision that was given out again names other content with the same revisions: the
// digest of an era must not be compared across eras.
func TestReusedRevisionIsNotTakenForEqualContent(t *testing.T) {
	f := newPassiveFeed(Snapshot{Era: 1, Revision: 9, Records: []store.Record{modified("a", 9, "lost")}})
	peer := newPassiveFeed(Snapshot{Era: 2, Revision: 9, Records: []store.Record{modified("a", 9, "new")}})
	must.Eq(t, f.Stamp().Digest, peer.Stamp().Digest)
	must.True(t, f.Confirm(peer.Stamp()))
	must.False(t, peer.Confirm(f.Stamp()))
}

// Routers of an earlier version send neither era nor content digest; their rules stay
// those of a store without eras.
func TestPeerWithoutErasKeepsItsRules(t *testing.T) {
	f := newPassiveFeed(Snapshot{Era: 1, Revision: 9, Records: []store.Record{modified("a", 9, "v")}})
	must.True(t, f.Confirm(Stamp{Revision: 10, Digest: f.Stamp().Digest + 1}))
	must.False(t, f.Confirm(Stamp{Revision: 8, Digest: f.Stamp().Digest + 1}))
	f.mu.Lock()
	f.confirmed = time.Now().Add(-time.Hour)
	f.mu.Unlock()
	must.False(t, f.Confirm(Stamp{Revision: 9, Digest: f.Stamp().Digest}))
	must.Less(t, time.Minute, f.Stamp().Age)
}

// The span in which lapsed entries may come back begins at the return that any router
// has seen, not at the end of an outage before it, nor at a report from before it.
func TestReturnOfTheStoreBeginsTheSpanForLapsedEntries(t *testing.T) {
	f := newPassiveFeed(Snapshot{Era: 1, Revision: 9})
	f.mu.Lock()
	f.steadySince = time.Now().Add(-time.Hour)
	f.mu.Unlock()
	f.Confirm(Stamp{Era: 1, Revision: 9, Digest: f.Stamp().Digest, Steady: time.Hour})
	must.GreaterEq(t, time.Minute, f.Steady())
	must.True(t, f.opts.Eras.Observe(2, time.Second)) // another router saw it a second ago
	must.GreaterEq(t, time.Second, f.Steady())
	must.Less(t, time.Minute, f.Steady())
	f.Confirm(Stamp{Era: 1, Revision: 9, Digest: f.Stamp().Digest, Steady: time.Hour})
	must.Less(t, time.Minute, f.Steady(), must.Sprint("a report from before the return"))
}

// All routers see the return at once. Those that are not watchers wait for the content
// from a watcher instead of listing it all at the same moment.
func TestNonWatcherTakesTheNewEraFromAPeer(t *testing.T) {
	s := &source{era: 1, records: []store.Record{modified("a", 5, "lost")}, revision: 5, watch: hang}
	changed := make(chan Snapshot, 16)
	f := New(Options{
		Kind: "things", Source: s, Wait: time.Second, Log: &log.Logger{Handler: discard.New()},
		Watcher: func() bool { return false },
		Changed: func(s Snapshot) { changed <- s },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	<-changed
	s.mu.Lock()
	s.era = 2
	s.mu.Unlock()
	f.opts.Eras.Observe(2, 0)
	f.mu.Lock()
	f.confirmed = time.Now().Add(-time.Hour) // the store was away
	f.mu.Unlock()
	go func() {
		time.Sleep(2 * peerContentPoll)
		f.Adopt(Snapshot{Era: 2, Revision: 4, Records: []store.Record{modified("a", 4, "old")}}, Stamp{Era: 2, Revision: 4})
	}()
	adopted := <-changed
	must.Eq(t, store.Position{Era: 2, Revision: 4}, adopted.Position())
	cancel()
	<-done
	s.mu.Lock()
	defer s.mu.Unlock()
	must.Eq(t, 1, s.lists)
}

// Two entries change at once, as when replicas drain together. The sum of names and
// revisions that routers of earlier versions compare is the same before and after; a
// router that took the contents for equal would keep the old one until the next change.
func TestChangesThatCancelInTheSumAreNoticed(t *testing.T) {
	before := newPassiveFeed(Snapshot{Revision: 5, Records: []store.Record{record("i-3", 4), record("i-4", 5)}})
	after := newPassiveFeed(Snapshot{Revision: 6, Records: []store.Record{record("i-3", 5), record("i-4", 6)}})
	must.Eq(t, before.Stamp().Digest, after.Stamp().Digest)
	must.True(t, before.Confirm(after.Stamp()))
}
