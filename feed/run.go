package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// Run keeps the feed until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if listed && f.rest(ctx) {
			continue
		}
		begun := time.Now()
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
			listed = !errors.Is(err, store.ErrHistoryGone)
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, store.ErrHistoryGone) {
			continue
		}
		f.noteFailure(begun, err)
		pause(ctx, f.delay())
	}
}

// delay returns the wait after a failed call.
func (f *Feed) delay() time.Duration {
	mean := retryDelay
	if !f.opts.Watcher() {
		mean = restingDelay
	}
	return mean/2 + rand.N(mean)
}

// readChanges applies the changes that the store has by now.
func (f *Feed) readChanges(ctx context.Context) error {
	f.mu.Lock()
	from := f.revision
	f.mu.Unlock()
	if from == 0 {
		return f.list(ctx)
	}
	return f.follow(ctx, from, refreshWait)
}

// follow applies the changes after revision from, or none after wait.
func (f *Feed) follow(ctx context.Context, from uint64, wait time.Duration) error {
	changes, at, err := f.opts.Source.WatchKind(ctx, f.opts.Kind, from, wait)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.apply(from, changes, at, 0)
	return nil
}

// rest waits while other routers confirm the content, and returns whether it
// has waited.
func (f *Feed) rest(ctx context.Context) bool {
	if f.opts.Watcher() {
		return false
	}
	left := restFor - f.Stamp().Age
	if left <= 0 {
		return false
	}
	pause(ctx, left)
	return true
}

// refreshWait is how long the store may wait for a change that another router
// has told of.
const refreshWait = 20 * time.Millisecond

// Refresh reads from the store at once what has changed.
func (f *Feed) Refresh(ctx context.Context) error {
	begun := time.Now()
	err := f.readChanges(ctx)
	if errors.Is(err, store.ErrHistoryGone) {
		err = f.list(ctx)
	}
	if err != nil && ctx.Err() == nil {
		f.noteFailure(begun, err)
	}
	return err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// list replaces the content by the store's.
func (f *Feed) list(ctx context.Context) error {
	records, revision, err := f.opts.Source.ListKind(ctx, f.opts.Kind)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.replace(records, revision, 0)
	return nil
}

// watch waits for changes after the revision of the content. A snapshot that
// is adopted meanwhile ends it.
func (f *Feed) watch(ctx context.Context) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	from := f.revision
	f.adopted = cancel
	f.mu.Unlock()
	err := f.follow(watching, from, f.opts.Wait)
	if err != nil && watching.Err() != nil {
		return nil
	}
	return err
}

// apply makes the changes after revision from, and returns whether the content
// was at that revision. age is how long ago the store confirmed them.
func (f *Feed) apply(from uint64, changes []store.Change, at uint64, age time.Duration) bool {
	f.publish.Lock()
	defer f.publish.Unlock()
	f.mu.Lock()
	if f.revision != from {
		f.mu.Unlock()
		return false // a newer content was adopted meanwhile
	}
	for _, c := range changes {
		if c.Deleted {
			delete(f.records, c.Record.Name)
		} else if held := f.records[c.Record.Name]; c.Record.Revision >= held.Revision {
			f.records[c.Record.Name] = c.Record
		}
	}
	f.revision = max(from, at)
	f.recent.add(changes, f.revision)
	if confirmed := time.Now().Add(-age); confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	if len(changes) == 0 {
		f.mu.Unlock()
		return true
	}
	f.digest = digest(f.records)
	s := f.snapshot()
	f.mu.Unlock()
	f.opts.Changed(s)
	return true
}

func (f *Feed) noteAnswer() {
	f.mu.Lock()
	now := time.Now()
	gap := time.Duration(0)
	if !f.failing.IsZero() {
		gap = now.Sub(f.failing)
	}
	if gap > outageGap {
		f.steady = now
	}
	f.failing = time.Time{}
	regained := f.lost
	f.lost = false
	f.mu.Unlock()
	if regained {
		f.opts.Log.WithFields(log.Fields{"kind": f.opts.Kind, "gap_ms": gap.Milliseconds()}).Info("store answers again")
	}
}

// noteFailure records that the call begun then has failed.
func (f *Feed) noteFailure(begun time.Time, err error) {
	f.mu.Lock()
	if f.failing.IsZero() {
		f.failing = begun
	}
	gap := time.Since(f.failing)
	tell := !f.lost && gap > lostAfter
	if tell {
		f.lost = true
	}
	revision := f.revision
	f.mu.Unlock()
	if tell {
		f.opts.Log.WithError(err).WithFields(log.Fields{
			"kind": f.opts.Kind, "gap_ms": gap.Milliseconds(), "revision": revision,
		}).Warn("store does not answer")
	}
}

// Lost tells whether calls to the store are failing.
func (f *Feed) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failing.IsZero()
}
