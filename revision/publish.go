package revision

import (
	"context"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// pause spaces the attempts to settle a call that was not answered.
var pause = schedule.Backoff{Min: retryPause, Max: maxPause}

// Publish makes cfg the next version if the current one is base (0: there is
// none), and returns the new version. It sets a change ID of its own in cfg,
// since one that was used before could not tell whose update came first, and
// does not change cfg otherwise.
//
// It fails with *config.InvalidError, *TooLargeError, *ConflictError (not made)
// or *UnknownError (may have been made). A lost answer is settled by making the
// same conditional update again: it succeeds at most once, and the change ID
// tells whose update the platform holds.
func (s *Store) Publish(ctx context.Context, cfg *config.Config, base uint64) (uint64, error) {
	cfg.ChangeID = randid.New()
	value, err := Encode(cfg)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.SettleTimeout)
	defer cancel()
	if err := s.keepBase(ctx, base); err != nil {
		return 0, err
	}
	version, err := s.put(ctx, cfg.ChangeID, value, base)
	if err != nil {
		return 0, err
	}
	s.trim(ctx)
	return version, nil
}

// Encode returns the bytes that the platform holds for cfg, or why it cannot.
func Encode(cfg *config.Config) ([]byte, error) {
	if findings := config.Validate(cfg); len(findings) != 0 {
		return nil, &config.InvalidError{Findings: findings}
	}
	stored := *cfg
	stored.Version = 0
	value, err := config.Encode(&stored)
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxValueBytes {
		return nil, tooLarge(cfg, len(value))
	}
	return value, nil
}

func tooLarge(cfg *config.Config, size int) error {
	part := func(c config.Config) int {
		raw, err := config.Encode(&c)
		if err != nil {
			return 0
		}
		return len(raw)
	}
	return &TooLargeError{
		Bytes: size, Limit: store.MaxValueBytes,
		Customers: part(config.Config{Customers: cfg.Customers}),
		Services:  part(config.Config{Services: cfg.Services}),
		Rules:     part(config.Config{Rules: cfg.Rules}),
	}
}

// keepBase copies the version that is to be replaced to the history.
func (s *Store) keepBase(ctx context.Context, base uint64) error {
	if base == 0 {
		return nil
	}
	var object store.Object
	err := retry(ctx, func() (err error) {
		object, err = s.opts.Platform.Get(ctx, KeyCurrent)
		return err
	})
	switch {
	case errors.Is(err, store.ErrNotFound):
		return &ConflictError{Base: base}
	case err != nil:
		return errors.Wrap(err, "revision: read current")
	case object.Version != base:
		return s.conflict(ctx, base)
	}
	err = retry(ctx, func() error {
		_, err := s.opts.Platform.Put(ctx, historyKey(base), object.Value, 0)
		return err
	})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return errors.Wrapf(err, "revision: keep version %d", base)
	}
	return nil
}

// retry makes a call that is harmless to repeat until it is answered.
func retry(ctx context.Context, call func() error) error {
	for failures := 1; ; failures++ {
		err := call()
		if !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		if !schedule.Sleep(ctx, pause.Wait(failures, store.RetryAfter(err), schedule.Random())) {
			return err
		}
	}
}

// put makes the conditional update and settles an answer that was lost.
func (s *Store) put(ctx context.Context, changeID string, value []byte, base uint64) (uint64, error) {
	var version uint64
	err := retry(ctx, func() (err error) {
		version, err = s.opts.Platform.Put(ctx, KeyCurrent, value, base)
		return err
	})
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, store.ErrConflict):
		return s.settle(ctx, changeID, base)
	case errors.Is(err, store.ErrUnavailable):
		return 0, &UnknownError{ChangeID: changeID, Cause: err}
	}
	return 0, errors.Wrap(err, "revision: publish")
}

// settle tells after a conflict whether an earlier attempt of this very change
// took effect, perhaps to be replaced since.
func (s *Store) settle(ctx context.Context, changeID string, base uint64) (uint64, error) {
	var steps []Step
	err := retry(ctx, func() (err error) {
		steps, err = s.since(ctx, base)
		return err
	})
	if err != nil {
		return 0, &UnknownError{ChangeID: changeID, Cause: err}
	}
	for _, step := range steps {
		if step.ChangeID == changeID {
			return step.Version, nil
		}
	}
	return 0, conflictOf(base, steps)
}

func (s *Store) conflict(ctx context.Context, base uint64) error {
	steps, err := s.since(ctx, base)
	if err != nil {
		return errors.Wrapf(err, "revision: version %d is not in force", base)
	}
	return conflictOf(base, steps)
}

func conflictOf(base uint64, steps []Step) *ConflictError {
	conflict := &ConflictError{Base: base, Since: steps}
	if len(steps) > 0 {
		conflict.Newest = steps[len(steps)-1].Version
	}
	return conflict
}

// since returns the changes after a version, oldest first.
func (s *Store) since(ctx context.Context, base uint64) ([]Step, error) {
	current, err := s.Current(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	versions, err := s.versions(ctx)
	if err != nil {
		return nil, err
	}
	last := &config.Config{}
	var steps []Step
	for _, version := range versions {
		if version < base || version >= current.Version {
			continue
		}
		cfg, err := s.At(ctx, version)
		if errors.Is(err, store.ErrNotFound) {
			continue // trimmed meanwhile
		}
		if err != nil {
			return nil, err
		}
		if version > base {
			steps = append(steps, Step{entryOf(cfg), config.Diff(last, cfg)})
		}
		last = cfg
	}
	if current.Version > base {
		steps = append(steps, Step{entryOf(current), config.Diff(last, current)})
	}
	return steps, nil
}

// trim deletes the oldest versions beyond the bound. What fails is left to the
// next change.
func (s *Store) trim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	objects, err := s.opts.Platform.List(ctx, historyPrefix, maxListed)
	if err != nil {
		return
	}
	for i := 0; i < len(objects)-s.opts.Keep; i++ {
		if s.opts.Platform.Delete(ctx, objects[i].Key, objects[i].Version) != nil {
			return
		}
	}
}
