package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minPatience is how long after the end of its wait a watch is given up at the
	// earliest: some round trips to a store that answers within milliseconds.
	minPatience = 250 * time.Millisecond
	// maxPatience is less than the time after which the client of the store gives a call
	// up: that counts as a failure, after which there is no list.
	maxPatience = 800 * time.Millisecond
	// minWait is the shortest wait of a watch at a slow store.
	minWait = 50 * time.Millisecond
)

// errSilent means that a watch was given up because the store did not answer it some
// time after its wait.
var errSilent = errors.New("the store left a watch without an answer")

// patience is how long a watch may stay without an answer after its wait. It follows
// the time that the store has lately taken.
type patience struct{ current time.Duration }

// limits returns the wait of the next watch and how long after its start it is given
// up. A slow store is asked to wait less, so that its silence is found out as soon as
// that of a fast one.
func (p *patience) limits(wait time.Duration) (ask, giveUp time.Duration) {
	current := max(p.current, minPatience)
	ask = min(wait, max(minWait, wait+minPatience-current))
	return ask, ask + current
}

// answered records how late the store ended a watch without changes.
func (p *patience) answered(late time.Duration) {
	p.set(max(2*late, p.current/2))
}

// misjudged records that the content had not changed when a watch was given up, so
// that the store may be slow.
func (p *patience) misjudged() { p.set(2 * max(p.current, minPatience)) }

func (p *patience) set(d time.Duration) { p.current = min(max(d, minPatience), maxPatience) }

// watch waits for changes after the content's position. It ends early, without
// an error, if content from another router is adopted in the meantime. It fails with
// errSilent if the store does not answer in time, unless the last call failed as well:
// then there is an outage.
func (f *Feed) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	from := f.position
	f.cancelWatch = func() { cancel(nil) }
	wait, giveUp := f.patience.limits(f.opts.Wait)
	lost := f.lost()
	f.mu.Unlock()
	if !lost {
		timer := time.AfterFunc(giveUp, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	err := f.watchOnce(watchCtx, from, wait)
	switch {
	case err == nil || watchCtx.Err() == nil:
		return err
	case errors.Is(context.Cause(watchCtx), errSilent):
		return errSilent
	}
	return nil
}

// listSilent reads the whole content after a watch that was given up.
func (f *Feed) listSilent(ctx context.Context) error {
	before := f.Stamp().Content
	if err := f.list(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.digest.content == before {
		f.patience.misjudged()
	}
	return nil
}
