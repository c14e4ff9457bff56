package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const (
	testWait    = 500 * time.Millisecond
	callTimeout = 900 * time.Millisecond // of the fake store's client
)

// silentStore is a fake store on a synthetic clock: its watches hear nothing while it
// is silent, its lists are answered. All its answers take delay.
type silentStore struct {
	source
	delay             time.Duration
	silentFrom, until time.Time
	downFrom          time.Time // no call is answered from then on; zero means never
	upFrom            time.Time // calls are answered again from then on; zero means never
	watches           int
}

func (s *silentStore) down() bool {
	now := time.Now()
	return !s.downFrom.IsZero() && !now.Before(s.downFrom) && (s.upFrom.IsZero() || now.Before(s.upFrom))
}

func (s *silentStore) WatchKind(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	due := time.Now().Add(wait + s.delay)
	silent := s.down() || due.After(s.silentFrom) && time.Now().Before(s.until)
	if silent || s.delay > callTimeout {
		due = time.Now().Add(wait + callTimeout)
	}
	sleep(ctx, time.Until(due))
	if ctx.Err() != nil || silent {
		return nil, store.Position{}, errors.Wrap(&store.UnavailableError{}, "watch")
	}
	return nil, after, nil
}

func (s *silentStore) ListKind(ctx context.Context, kind string) ([]store.Record, store.Position, error) {
	if s.down() {
		s.mu.Lock()
		s.lists++
		s.mu.Unlock()
		sleep(ctx, callTimeout)
		return nil, store.Position{}, &store.UnavailableError{}
	}
	sleep(ctx, s.delay)
	return s.source.ListKind(ctx, kind)
}

// runFor runs a feed on the store until d has passed and returns when its content
// became that of revision 9, as time since the start; 0 if it did not.
func (s *silentStore) runFor(d time.Duration, events func()) time.Duration {
	s.records, s.revision = []store.Record{record("a", 1)}, 5
	started, known := time.Now(), time.Duration(0)
	f := New(Options{
		Kind: "things", Source: s, Wait: testWait, Log: &log.Logger{Handler: discard.New()},
		Changed: func(c Snapshot) {
			if c.Revision == 9 {
				known = time.Since(started)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	go events()
	time.Sleep(d)
	cancel()
	<-done
	return known
}

// A store that stops telling its watches of changes, at any moment of a watch, must not
// hide a change for longer than a watch and a list last.
func TestChangeIsKnownInTimeWhenWatchesHearNothing(t *testing.T) {
	const delay = 5 * time.Millisecond
	const bound, boundOfLongSilence = testWait + minPatience + 2*delay, minWait + maxPatience + 2*delay
	for offset := time.Duration(0); offset <= testWait+2*delay; offset += 5 * time.Millisecond {
		for _, changeAfter := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := &silentStore{delay: delay, silentFrom: start.Add(time.Second + offset), until: start.Add(time.Minute)}
				change := time.Second + offset + changeAfter
				known := s.runFor(10*time.Second, func() {
					time.Sleep(change)
					s.mu.Lock()
					s.records, s.revision = []store.Record{record("a", 9)}, 9
					s.mu.Unlock()
				})
				must.Positive(t, known, must.Sprint("offset ", offset, ", change after ", changeAfter, ": never known"))
				limit := bound
				if changeAfter > time.Second {
					limit = boundOfLongSilence
				}
				must.LessEq(t, limit, known-change, must.Sprint("offset ", offset, ", change after ", changeAfter))
			})
		}
	}
}

// A store that is merely slow must not be listed over and over as if it were silent.
func TestSlowStoreIsNotTakenForSilent(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{delay: delay}
			s.runFor(time.Minute, func() {})
			must.LessEq(t, 4, s.lists, must.Sprint(delay))
			must.LessEq(t, int(time.Minute/(testWait/2)), s.watches, must.Sprint(delay))
		})
	}
}

// An outage in which calls hang must not be answered with more lists: the calls that
// follow the first one are watches.
func TestOutageIsNotAnsweredWithLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{delay: time.Millisecond, downFrom: time.Now().Add(time.Second)}
		s.runFor(time.Minute, func() {})
		must.LessEq(t, 2, s.lists)
	})
}
