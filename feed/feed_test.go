package feed

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// source is a fake store whose answers are set by the test.
type source struct {
	mu       sync.Mutex
	records  []store.Record
	revision uint64
	lists    int
	era      uint64
	watch    func(ctx context.Context, after uint64) ([]store.Change, uint64, error)
}

func (s *source) ListKind(context.Context, string) ([]store.Record, store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.records, store.Position{Era: s.era, Revision: s.revision}, nil
}

func (s *source) WatchKind(ctx context.Context, _ string, after store.Position, _ time.Duration) ([]store.Change, store.Position, error) {
	s.mu.Lock()
	watch, era := s.watch, s.era
	s.mu.Unlock()
	if after.Era != era {
		return nil, store.Position{}, store.ErrHistoryGone
	}
	changes, at, err := watch(ctx, after.Revision)
	return changes, store.Position{Era: era, Revision: at}, err
}

func (*source) WriteRecord(context.Context, string, string, []byte) (uint64, error) { return 0, io.EOF }

func hang(ctx context.Context, _ uint64) ([]store.Change, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func newFeed(t *testing.T, s *source) (*Feed, chan Snapshot) {
	t.Helper()
	changed := make(chan Snapshot, 16)
	f := New(Options{
		Kind: "things", Source: s, Wait: time.Second, Log: &log.Logger{Handler: discard.New()},
		Changed: func(s Snapshot) { changed <- s },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, changed
}

// at returns a position of a store that reports no eras.
func at(revision uint64) store.Position { return store.Position{Revision: revision} }

func record(name string, revision uint64) store.Record {
	return store.Record{Name: name, Revision: revision, Value: []byte(name)}
}

func TestWatchedChangesAreAppliedToTheList(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1), record("b", 2)}, revision: 5}
	s.watch = func(ctx context.Context, after uint64) ([]store.Change, uint64, error) {
		if after == 5 {
			return []store.Change{{Record: record("a", 6), Deleted: true}, {Record: record("c", 7)}}, 7, nil
		}
		return hang(ctx, after)
	}
	f, changed := newFeed(t, s)
	must.Len(t, 2, (<-changed).Records)
	after := <-changed
	must.Eq(t, []store.Record{record("b", 2), record("c", 7)}, after.Records)
	must.Eq(t, 7, f.Stamp().Revision)
}

func TestHistoryGoneListsAgain(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5}
	s.watch = func(ctx context.Context, after uint64) ([]store.Change, uint64, error) {
		if after == 5 {
			s.mu.Lock()
			s.records, s.revision = []store.Record{record("z", 9)}, 9
			s.mu.Unlock()
			return nil, 0, errors.Wrap(store.ErrHistoryGone, "watch")
		}
		return hang(ctx, after)
	}
	_, changed := newFeed(t, s)
	<-changed
	must.Eq(t, []store.Record{record("z", 9)}, (<-changed).Records)
}

func TestNewerPeerSnapshotCancelsASilentWatch(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5}
	watches := make(chan uint64, 16)
	s.watch = func(ctx context.Context, after uint64) ([]store.Change, uint64, error) {
		watches <- after
		return hang(ctx, after)
	}
	f, changed := newFeed(t, s)
	<-changed
	must.Eq(t, 5, <-watches)
	must.True(t, f.Adopt(Snapshot{Revision: 8, Records: []store.Record{record("b", 8)}}, Stamp{}))
	must.Eq(t, []store.Record{record("b", 8)}, (<-changed).Records)
	must.Eq(t, 8, <-watches)
	must.False(t, f.Adopt(Snapshot{Revision: 6, Records: []store.Record{record("a", 1)}}, Stamp{}))
	must.Eq(t, 8, f.Stamp().Revision)
}

func TestPeerConfirmsEqualContentAtAnyRevision(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5, watch: hang}
	f, changed := newFeed(t, s)
	<-changed
	own := f.Stamp()
	must.False(t, f.Confirm(Stamp{Revision: 9, Digest: own.Digest}))
	must.True(t, f.Confirm(Stamp{Revision: 9, Digest: own.Digest + 1}))
	must.False(t, f.Confirm(Stamp{Revision: 4, Digest: own.Digest + 1}))
}

// If only one router was cut off from the store, that router must not treat
// removals that it sees afterwards as entries that expired in an outage: the
// store kept answering other routers.
func TestStoreThatAnsweredPeersHadNoOutage(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5, watch: hang}
	f, changed := newFeed(t, s)
	<-changed
	f.mu.Lock()
	f.failingSince = time.Now().Add(-time.Minute)
	f.mu.Unlock()
	f.recordSuccess()
	must.Less(t, time.Minute, f.Stamp().Steady)
	f.Confirm(Stamp{Revision: 5, Digest: f.Stamp().Digest, Steady: time.Hour})
	must.GreaterEq(t, time.Hour, f.Steady())
	must.Less(t, time.Minute, f.Stamp().Steady, must.Sprint("another router's report must not be forwarded as this router's own"))
}

// A router that is not a watcher makes no calls to the store while its content
// is confirmed, and watches once the confirmation is older than
// MaxConfirmationAge.
func TestNonWatcherWaitsWhileConfirmed(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5}
	watches := make(chan uint64, 16)
	s.watch = func(ctx context.Context, after uint64) ([]store.Change, uint64, error) {
		watches <- after
		return hang(ctx, after)
	}
	changed := make(chan Snapshot, 16)
	f := New(Options{
		Kind: "things", Source: s, Wait: time.Second, Log: &log.Logger{Handler: discard.New()},
		Watcher: func() bool { return false },
		Changed: func(s Snapshot) { changed <- s },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	<-changed
	must.Eq(t, 5, <-watches) // after the confirmation by its own list has expired
	must.GreaterEq(t, MaxConfirmationAge, f.Stamp().Age)
}

func TestRefreshReadsWhatHasChanged(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5, watch: hang}
	f, changed := newFeed(t, s)
	<-changed
	s.mu.Lock()
	s.watch = func(context.Context, uint64) ([]store.Change, uint64, error) {
		return []store.Change{{Record: record("b", 9)}}, 9, nil
	}
	s.mu.Unlock()
	must.NoError(t, f.Refresh(context.Background()))
	must.Eq(t, []store.Record{record("a", 1), record("b", 9)}, (<-changed).Records)
}

func TestRefreshListsWhenTheHistoryIsGone(t *testing.T) {
	s := &source{records: []store.Record{record("a", 1)}, revision: 5, watch: hang}
	f, changed := newFeed(t, s)
	<-changed
	s.mu.Lock()
	s.records, s.revision = []store.Record{record("b", 9)}, 9
	s.watch = func(context.Context, uint64) ([]store.Change, uint64, error) { return nil, 0, store.ErrHistoryGone }
	s.mu.Unlock()
	must.NoError(t, f.Refresh(context.Background()))
	must.Eq(t, []store.Record{record("b", 9)}, (<-changed).Records)
}

func TestChangesAreForwardedToPeers(t *testing.T) {
	sender := New(Options{Kind: "things", Log: &log.Logger{Handler: discard.New()}, Changed: func(Snapshot) {}})
	receiver := New(Options{Kind: "things", Log: &log.Logger{Handler: discard.New()}, Changed: func(Snapshot) {}})
	start := Snapshot{Revision: 5, Records: []store.Record{record("a", 1), record("b", 2)}}
	must.True(t, sender.Adopt(start, Stamp{}))
	must.True(t, receiver.Adopt(start, Stamp{}))
	must.True(t, sender.apply(at(5), []store.Change{{Record: record("a", 1), Deleted: true}}, at(7), 0))
	must.True(t, sender.apply(at(7), []store.Change{{Record: record("a", 8)}, {Record: record("c", 9)}}, at(9), 0))

	changes, to, ok := sender.Changes(at(5))
	must.True(t, ok)
	must.Eq(t, at(9), to)
	must.True(t, receiver.AdoptChanges(at(5), changes, to, Stamp{}))
	must.Eq(t, sender.Snapshot(), receiver.Snapshot())
	must.Eq(t, sender.Stamp().Digest, receiver.Stamp().Digest)
	must.False(t, receiver.AdoptChanges(at(5), changes, to, Stamp{})) // no longer at that revision

	_, _, ok = sender.Changes(at(4)) // before the oldest change kept
	must.False(t, ok)
	big := store.Record{Name: "big", Revision: 10, Value: make([]byte, maxSentBytes+1)}
	must.True(t, sender.apply(at(9), []store.Change{{Record: big}}, at(10), 0))
	_, _, ok = sender.Changes(at(9))
	must.False(t, ok)
}

func TestRecentChangesAreLimited(t *testing.T) {
	f := New(Options{Kind: "things", Log: &log.Logger{Handler: discard.New()}, Changed: func(Snapshot) {}})
	must.True(t, f.Adopt(Snapshot{Revision: 1}, Stamp{}))
	for i := uint64(1); i <= 2*maxRecentChanges; i++ {
		must.True(t, f.apply(at(i), []store.Change{{Record: record("a", i+1)}}, at(i+1), 0))
	}
	must.Len(t, maxRecentChanges, f.recent.changes)
	_, _, ok := f.Changes(at(f.position.Revision - maxRecentChanges - 1))
	must.False(t, ok)
	changes, _, ok := f.Changes(at(f.position.Revision - maxRecentChanges))
	must.True(t, ok)
	must.Len(t, maxRecentChanges, changes)
}
