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

// retryBackoff is used for calls that the platform did not answer.
var retryBackoff = schedule.Backoff{Min: minRetryWait, Max: maxRetryWait}

// Publish makes cfg the next version if the current version is base, where 0
// means that there is no version yet. It returns the new version. Publish sets
// a new change ID in cfg, because a change ID that was used before could not
// identify which update was applied. It does not modify cfg otherwise.
//
// If the change was not made, Publish fails with *config.InvalidError,
// *TooLargeError, *ConflictError, *LostVersionError or an error of the platform. If the change may
// have been made, it fails with *UnknownError. When an answer of the platform is lost, Publish repeats
// the same conditional update: it succeeds at most once, and the change ID
// shows whose update the platform has applied.
func (s *Store) Publish(ctx context.Context, cfg *config.Config, base uint64) (uint64, error) {
	cfg.ChangeID = randid.New()
	value, err := Encode(cfg)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.PublishTimeout)
	defer cancel()
	if err := s.archiveBase(ctx, base); err != nil {
		return 0, err
	}
	version, err := s.put(ctx, cfg.ChangeID, value, base)
	if err != nil {
		return 0, err
	}
	s.pruneHistory(ctx)
	return version, nil
}

// Encode returns the bytes that the platform stores for cfg. It fails with
// *config.InvalidError or *TooLargeError.
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
		return nil, newTooLargeError(cfg, len(value))
	}
	return value, nil
}

func newTooLargeError(cfg *config.Config, size int) error {
	encodedBytes := func(c config.Config) int {
		raw, err := config.Encode(&c)
		if err != nil {
			return 0
		}
		return len(raw)
	}
	return &TooLargeError{
		Bytes: size, Limit: store.MaxValueBytes,
		Customers: encodedBytes(config.Config{Customers: cfg.Customers}),
		Services:  encodedBytes(config.Config{Services: cfg.Services}),
		Rules:     encodedBytes(config.Config{Rules: cfg.Rules}),
	}
}

// archiveBase copies the version that is about to be replaced to the history.
func (s *Store) archiveBase(ctx context.Context, base uint64) error {
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
		return &LostVersionError{Lost: base}
	case err != nil:
		return errors.Wrap(err, "revision: read current version")
	case object.Version != base:
		return s.conflictSince(ctx, base)
	}
	err = retry(ctx, func() error {
		_, err := s.opts.Platform.Put(ctx, historyKey(base), object.Value, 0)
		return err
	})
	// ErrConflict means that an earlier attempt has already copied the version.
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return errors.Wrapf(err, "revision: copy version %d to the history", base)
	}
	return nil
}

// retry repeats an idempotent call until the platform answers or ctx is done.
func retry(ctx context.Context, call func() error) error {
	for failures := 1; ; failures++ {
		err := call()
		if !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		if !schedule.Sleep(ctx, retryBackoff.Wait(failures, store.RetryAfter(err), schedule.Random())) {
			return err
		}
	}
}

// put makes the conditional update, and retries it if its answer is lost.
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
		return s.resolveConflict(ctx, changeID, base)
	case errors.Is(err, store.ErrUnavailable):
		return 0, &UnknownError{ChangeID: changeID, Cause: err}
	}
	return 0, errors.Wrap(err, "revision: publish")
}

// resolveConflict determines after a conflict whether an earlier attempt of the
// same change was applied. A later version may already have replaced it.
func (s *Store) resolveConflict(ctx context.Context, changeID string, base uint64) (uint64, error) {
	var published []PublishedVersion
	err := retry(ctx, func() (err error) {
		published, err = s.versionsSince(ctx, base)
		return err
	})
	if err != nil {
		return 0, &UnknownError{ChangeID: changeID, Cause: err}
	}
	for _, candidate := range published {
		if candidate.ChangeID == changeID {
			return candidate.Version, nil
		}
	}
	return 0, newConflictError(base, published)
}

func (s *Store) conflictSince(ctx context.Context, base uint64) error {
	published, err := s.versionsSince(ctx, base)
	if err != nil {
		return errors.Wrapf(err, "revision: version %d is not the current version, and reading later versions failed", base)
	}
	if len(published) > 0 {
		return newConflictError(base, published)
	}
	newest := uint64(0)
	switch current, err := s.Current(ctx); {
	case err != nil:
		return err
	case current != nil:
		newest = current.Version
	}
	return &LostVersionError{Lost: base, Newest: newest}
}

func newConflictError(base uint64, published []PublishedVersion) *ConflictError {
	conflict := &ConflictError{Base: base, Since: published}
	if len(published) > 0 {
		conflict.Newest = published[len(published)-1].Version
	}
	return conflict
}

// versionsSince returns the versions after base, oldest first.
func (s *Store) versionsSince(ctx context.Context, base uint64) ([]PublishedVersion, error) {
	current, err := s.Current(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	versions, err := s.versions(ctx)
	if err != nil {
		return nil, err
	}
	previous := &config.Config{}
	var published []PublishedVersion
	for _, version := range versions {
		if version < base || version >= current.Version {
			continue
		}
		cfg, err := s.At(ctx, version)
		if errors.Is(err, store.ErrNotFound) {
			continue // pruned since the history was listed
		}
		if err != nil {
			return nil, err
		}
		if version > base {
			published = append(published, PublishedVersion{newEntry(cfg), config.Diff(previous, cfg)})
		}
		previous = cfg
	}
	if current.Version > base {
		published = append(published, PublishedVersion{newEntry(current), config.Diff(previous, current)})
	}
	return published, nil
}

// pruneHistory deletes the oldest versions if the history has more than
// Options.HistoryVersions. After an error, the rest is left to the next call of
// Publish. The timeout limits how long it delays the return of a publish that
// has succeeded.
func (s *Store) pruneHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	objects, err := s.opts.Platform.List(ctx, historyPrefix, maxHistoryList)
	if err != nil {
		return
	}
	for i := 0; i < len(objects)-s.opts.HistoryVersions; i++ {
		if s.opts.Platform.Delete(ctx, objects[i].Key, objects[i].Version) != nil {
			return
		}
	}
}
