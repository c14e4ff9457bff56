package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// Run keeps the feed up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if listed && f.waitWhileConfirmed(ctx) {
			continue
		}
		if !listed && f.awaitPeerContent(ctx) {
			listed = true
			continue
		}
		started := time.Now()
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			if err = f.watch(ctx); errors.Is(err, errSilent) {
				err = f.listSilent(ctx)
			}
			listed = !errors.Is(err, store.ErrHistoryGone)
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, store.ErrHistoryGone) {
			continue
		}
		f.recordFailure(started, err)
		sleep(ctx, f.nextRetryDelay())
	}
}

// nextRetryDelay returns a random delay after a failed call, between half and one
// and a half times the mean.
func (f *Feed) nextRetryDelay() time.Duration {
	mean := retryDelay
	if !f.opts.Watcher() {
		mean = nonWatcherRetryDelay
	}
	return mean/2 + rand.N(mean)
}

// readChanges reads the changes that the store has now and applies them.
func (f *Feed) readChanges(ctx context.Context) error {
	f.mu.Lock()
	from := f.position
	f.mu.Unlock()
	if from.IsZero() {
		return f.list(ctx)
	}
	return f.watchOnce(ctx, from, refreshWait)
}

// watchOnce watches the store once and applies its changes after position from.
// If there are none, it returns after wait.
func (f *Feed) watchOnce(ctx context.Context, from store.Position, wait time.Duration) error {
	started := time.Now()
	changes, at, err := f.opts.Source.WatchKind(ctx, f.opts.Kind, from, wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if len(changes) == 0 {
		f.mu.Lock()
		f.patience.answered(time.Since(started) - wait)
		f.mu.Unlock()
	}
	f.apply(from, changes, at, 0)
	return nil
}

// waitWhileConfirmed makes a router that is not a watcher wait while the confirmation of its
// content is recent. It reports whether it waited.
func (f *Feed) waitWhileConfirmed(ctx context.Context) bool {
	if f.opts.Watcher() {
		return false
	}
	remaining := MaxConfirmationAge - f.Stamp().Age
	if remaining <= 0 {
		return false
	}
	sleep(ctx, remaining)
	return true
}

const (
	// peerContentWait is the mean time for which a router that is not a watcher
	// waits for the content of the store's new era from other routers before it
	// lists. After the store's return from a copy all routers would list at once.
	peerContentWait = time.Second
	// peerContentPoll is how often it checks whether the content has arrived.
	peerContentPoll = 20 * time.Millisecond
)

// awaitPeerContent makes a router that is not a watcher, and whose content belongs to
// an earlier era of the store, wait for newer content of another router. It reports
// whether this has arrived.
func (f *Feed) awaitPeerContent(ctx context.Context) bool {
	if f.opts.Watcher() || !f.FromEarlierEra() {
		return false
	}
	for deadline := time.Now().Add(peerContentWait/2 + rand.N(peerContentWait)); time.Now().Before(deadline) && ctx.Err() == nil; {
		sleep(ctx, peerContentPoll)
		if !f.FromEarlierEra() {
			return true
		}
	}
	return false
}

// FromEarlierEra reports whether there is content, of an era of the store before the
// newest known one.
func (f *Feed) FromEarlierEra() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.position.IsZero() && f.position.Era < f.opts.Eras.Newest()
}

// refreshWait is how long the store may wait for a change that another router
// has reported.
const refreshWait = 20 * time.Millisecond

// Refresh reads the changes from the store immediately, and the whole content if
// the store no longer has the changes.
func (f *Feed) Refresh(ctx context.Context) error {
	started := time.Now()
	err := f.readChanges(ctx)
	if errors.Is(err, store.ErrHistoryGone) {
		err = f.list(ctx)
	}
	if err != nil && ctx.Err() == nil {
		f.recordFailure(started, err)
	}
	return err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// list reads the whole content from the store.
func (f *Feed) list(ctx context.Context) error {
	records, position, err := f.opts.Source.ListKind(ctx, f.opts.Kind)
	if err != nil {
		return err
	}
	f.opts.Eras.Observe(position.Era, 0)
	f.recordSuccess()
	f.replace(records, position, 0)
	return nil
}

// apply applies the changes after position from, and reports whether the content
// was at that position. age is how long ago the result was known to be the
// store's newest content.
func (f *Feed) apply(from store.Position, changes []store.Change, at store.Position, age time.Duration) bool {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	if f.position != from || at.Era != from.Era {
		f.mu.Unlock()
		return false // other content was adopted in the meantime
	}
	for _, c := range changes {
		if c.Deleted {
			delete(f.records, c.Record.Name)
		} else if current := f.records[c.Record.Name]; c.Record.Revision >= current.Revision {
			f.records[c.Record.Name] = c.Record
		}
	}
	f.position.Revision = max(from.Revision, at.Revision)
	f.recent.add(changes, f.position.Revision)
	f.confirm(age)
	if len(changes) == 0 {
		f.mu.Unlock()
		return true
	}
	f.digest, f.fromPeer = digestsOf(f.records), age > 0
	s := f.snapshot()
	f.mu.Unlock()
	f.opts.Changed(s)
	return true
}

// recordSuccess records a successful call to the store. If there was an outage before
// it, or nothing was heard of the store for long, it counts as available only from now.
func (f *Feed) recordSuccess() {
	f.mu.Lock()
	now := time.Now()
	gap := time.Duration(0)
	if !f.failingSince.IsZero() {
		gap = now.Sub(f.failingSince)
	}
	if f.inOutage() {
		f.steadySince = now
		f.available.from = now
	}
	if now.Sub(f.available.to) > maxPeriodAge {
		f.available.from = now // such as after a freeze of the host
	}
	f.available.to = now
	f.failingSince = time.Time{}
	recovered := f.lossLogged
	f.lossLogged = false
	f.mu.Unlock()
	if recovered {
		f.opts.Log.WithFields(log.Fields{"kind": f.opts.Kind, "gap_ms": gap.Milliseconds()}).Info("store answers again")
	}
}

// recordFailure records that a call that began at started has failed. It logs the first
// failure after a success, and the loss of the store once calls have kept failing for
// longer than logLossAfter.
func (f *Feed) recordFailure(started time.Time, err error) {
	f.mu.Lock()
	first := f.failingSince.IsZero()
	now := time.Now()
	if first || started.Sub(f.lastFailure) > maxPeriodAge {
		f.failingSince = started // after a time without calls, earlier failures say nothing
	}
	f.lastFailure = now
	gap := now.Sub(f.failingSince)
	logLoss := !f.lossLogged && gap > logLossAfter
	if logLoss {
		f.lossLogged = true
	}
	position := f.position
	f.mu.Unlock()
	entry := f.opts.Log.WithError(err).WithFields(log.Fields{
		"kind": f.opts.Kind, "gap_ms": gap.Milliseconds(), "era": position.Era, "revision": position.Revision,
	})
	if first {
		entry.Info("call to the store failed")
	}
	if logLoss {
		entry.Warn("store does not answer")
	}
}

// Lost reports whether the last call to the store failed, a short time ago.
func (f *Feed) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost()
}

// lost implements Lost. f.mu must be held.
func (f *Feed) lost() bool {
	return !f.failingSince.IsZero() && time.Since(f.lastFailure) <= maxPeriodAge
}
