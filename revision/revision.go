// Package revision keeps the versions of the configuration in the platform's
// object API: one current object, changed only by conditional updates, and a
// bounded history of the versions before it.
//
// The version of a configuration is the platform's version of the current
// object. A version is copied to the history before it is replaced, so that
// the history has no gap within its bound.
package revision

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// Keys of the objects in the platform.
const (
	KeyCurrent    = "dandelionrill/config/current"
	historyPrefix = "dandelionrill/config/history/"
)

// Defaults of Options.
const (
	DefaultKeep          = 200
	DefaultSettleTimeout = 30 * time.Second
)

const (
	// maxListed bounds one listing of the history.
	maxListed = 4096
	// retryPause is the wait before an unanswered call is made again.
	retryPause = 200 * time.Millisecond
	maxPause   = 3 * time.Second
)

// Options sets up a Store.
type Options struct {
	Platform      store.Store
	Keep          int           // versions kept in the history; 0 means DefaultKeep
	SettleTimeout time.Duration // how long a lost answer is settled; 0 means DefaultSettleTimeout
}

// Store reads and publishes versions. All methods may be called concurrently,
// also by many processes.
type Store struct {
	opts Options
}

// New returns a store.
func New(opts Options) *Store {
	if opts.Keep <= 0 {
		opts.Keep = DefaultKeep
	}
	if opts.SettleTimeout <= 0 {
		opts.SettleTimeout = DefaultSettleTimeout
	}
	return &Store{opts: opts}
}

// Entry is one version in the history.
type Entry struct {
	Version  uint64
	ChangeID string
	Author   string
}

// ConflictError says that other changes came first; this one was not made.
type ConflictError struct {
	Base   uint64
	Newest uint64
	Since  []Step // the changes after Base, oldest first, as far as the history goes
}

// Step is one change made by somebody.
type Step struct {
	Entry
	Changes []config.Change
}

// Error names who changed what.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("the edit was made on version %d, but version %d is in force", e.Base, e.Newest)}
	for _, s := range e.Since {
		lines = append(lines, fmt.Sprintf("version %d by %s (change %s):", s.Version, s.Author, s.ChangeID))
		for _, c := range s.Changes {
			lines = append(lines, "  "+c.String())
		}
	}
	return strings.Join(lines, "\n")
}

// TooLargeError says that an encoded configuration exceeds the platform's limit.
type TooLargeError struct {
	Bytes     int
	Limit     int
	Customers int // encoded bytes of the customers alone
	Services  int
	Rules     int
}

// Error tells what takes the room and how to make some.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration takes %d bytes compressed, the platform holds %d: customers %d, services %d, rules %d bytes; "+
		"replace rules that differ in one field by one rule with *, drop retired key hashes, or run a second fleet for part of the customers",
		e.Bytes, e.Limit, e.Customers, e.Services, e.Rules)
}

// UnknownError says that no answer settled whether a change was made.
type UnknownError struct {
	ChangeID string
	Cause    error
}

// Error names the change to look for.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the platform did not answer: change %s may have been made; look for it in the history before trying again: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Current returns the newest version; nil if there is none.
func (s *Store) Current(ctx context.Context) (*config.Config, error) {
	object, err := s.opts.Platform.Get(ctx, KeyCurrent)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "revision: read current")
	}
	return decode(object, object.Version)
}

func decode(object store.Object, version uint64) (*config.Config, error) {
	cfg, err := config.Decode(object.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "revision: %s", object.Key)
	}
	cfg.Version = version
	return cfg, nil
}

// At returns a version from the history or the current one. It fails with
// store.ErrNotFound if the history does not reach back to it.
func (s *Store) At(ctx context.Context, version uint64) (*config.Config, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	if current != nil && current.Version == version {
		return current, nil
	}
	object, err := s.opts.Platform.Get(ctx, historyKey(version))
	if err != nil {
		return nil, errors.Wrapf(err, "revision: read version %d", version)
	}
	return decode(object, version)
}

// History returns the newest versions, newest first, the current one included;
// at most limit.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	current, err := s.Current(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	entries := []Entry{entryOf(current)}
	versions, err := s.versions(ctx)
	if err != nil {
		return nil, err
	}
	for i := len(versions) - 1; i >= 0 && len(entries) < limit; i-- {
		if versions[i] >= current.Version {
			continue
		}
		cfg, err := s.At(ctx, versions[i])
		if errors.Is(err, store.ErrNotFound) {
			continue // trimmed meanwhile
		}
		if err != nil {
			return nil, err
		}
		entries = append(entries, entryOf(cfg))
	}
	return entries, nil
}

func entryOf(cfg *config.Config) Entry {
	return Entry{Version: cfg.Version, ChangeID: cfg.ChangeID, Author: cfg.Author}
}

// versions returns the versions in the history, oldest first.
func (s *Store) versions(ctx context.Context) ([]uint64, error) {
	objects, err := s.opts.Platform.List(ctx, historyPrefix, maxListed)
	if err != nil {
		return nil, errors.Wrap(err, "revision: list history")
	}
	versions := make([]uint64, 0, len(objects))
	for _, object := range objects {
		version, err := strconv.ParseUint(strings.TrimPrefix(object.Key, historyPrefix), 10, 64)
		if err == nil {
			versions = append(versions, version)
		}
	}
	return versions, nil
}

// historyKey sorts by version.
func historyKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}
