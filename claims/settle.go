package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
)

// SettledKey is the platform key of the newest settled era of the store.
const SettledKey = "claims-settled"

// DefaultSettleTime is the default of Options.SettleTime: twice the default time that
// a call may take, so that callers repeat most of their calls within it.
const DefaultSettleTime = 2 * time.Minute

// settleSteps is how often an era that is not settled is read during a SettleTime.
const settleSteps = 10

// errUnsettled reports that the store has returned from a copy, so that a claim which
// it does not have may be one that it has lost.
var errUnsettled = errors.Mark(errors.New("claims: the store has lost its last writes, the key may be among them"), ErrUnavailable)

// settledEra is the stored value of SettledKey.
type settledEra struct {
	Era uint64 `json:"era"`
}

// isSettled reports whether the store's era is settled: whether a claim that the
// store does not have counts as new. The first era is, since nothing was lost before.
func (b *Binder) isSettled() bool {
	if b.opts.Eras == nil {
		return true
	}
	era := b.opts.Eras.Newest()
	return era <= store.FirstEra || era <= b.settled.Load()
}

// Run settles each era of the store once a SettleTime has passed since this process,
// or another one that runs a Binder, saw it. It returns when ctx ends.
func (b *Binder) Run(ctx context.Context) {
	if b.opts.Eras == nil {
		return
	}
	var seen uint64
	var seenAt time.Time
	for ctx.Err() == nil {
		risen := b.opts.Eras.Risen()
		version, err := b.readSettled(ctx)
		if era := b.opts.Eras.Newest(); era != seen {
			seen, seenAt = era, time.Now()
		}
		switch {
		case err == nil && b.isSettled():
			select {
			case <-risen:
			case <-ctx.Done():
			}
			continue
		case err == nil && time.Since(seenAt) >= b.opts.SettleTime:
			b.settle(ctx, seen, version)
		}
		schedule.Sleep(ctx, b.opts.SettleTime/settleSteps)
	}
}

// readSettled reads the newest settled era and returns the version of its object, 0 if
// there is none.
func (b *Binder) readSettled(ctx context.Context) (version uint64, err error) {
	object, err := b.opts.Store.Get(ctx, SettledKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var last settledEra
	if json.Unmarshal(object.Value, &last) == nil { // an invalid value is replaced
		b.settled.Store(last.Era)
	}
	return object.Version, nil
}

// settle writes that era is settled, unless another process has replaced the object at
// version. Run reads it afterwards in any case.
func (b *Binder) settle(ctx context.Context, era, version uint64) {
	value, err := json.Marshal(settledEra{Era: era})
	if err == nil {
		_, _ = b.opts.Store.Put(ctx, SettledKey, value, version)
	}
}

// withdraw deletes a claim that was written although the store had just returned from
// a copy, and returns errUnsettled. The key stays bound if the deletion fails too.
func (b *Binder) withdraw(ctx context.Context, id ID, version uint64) error {
	if err := b.opts.Store.Delete(ctx, id.storeKey(), version); err != nil {
		return errors.CombineErrors(errUnsettled, err)
	}
	return errUnsettled
}
