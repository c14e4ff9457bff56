// Package revision stores the versions of the configuration in the object API
// of the platform: one current object, changed only by conditional updates, and
// a bounded history of earlier versions.
//
// The version of a configuration is the version that the platform assigned to
// the current object. Before a version is replaced, it is copied to the
// history. The history therefore has no gap within its limit.
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

// Default values of Options.
const (
	DefaultHistoryVersions = 200
	DefaultPublishTimeout  = 30 * time.Second
)

const (
	// maxHistoryList limits the number of versions read in one listing of the
	// history.
	maxHistoryList = 4096
	// minRetryWait is the upper limit of the first wait before an unanswered
	// call is made again; maxRetryWait is the upper limit of any such wait. A
	// delay that the platform asks for is added to the wait.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 3 * time.Second
)

// Options configures a Store.
type Options struct {
	Platform        store.Store
	HistoryVersions int           // number of versions in the history; 0 means DefaultHistoryVersions
	PublishTimeout  time.Duration // limits Publish, including its retries of unanswered calls; 0 means DefaultPublishTimeout
}

// Store reads and publishes versions of the configuration. All methods may be
// called concurrently, also by several processes.
type Store struct {
	opts Options
}

// New returns a Store.
func New(opts Options) *Store {
	if opts.HistoryVersions <= 0 {
		opts.HistoryVersions = DefaultHistoryVersions
	}
	if opts.PublishTimeout <= 0 {
		opts.PublishTimeout = DefaultPublishTimeout
	}
	return &Store{opts: opts}
}

// Entry describes one version.
type Entry struct {
	Version  uint64
	ChangeID string
	Author   string
}

// ConflictError reports that other versions were published after the base
// version, and that this change was not made.
type ConflictError struct {
	Base   uint64
	Newest uint64
	Since  []PublishedVersion // versions after Base, oldest first, as far as the history has them
}

// LostVersionError reports that the platform has returned from a copy that is older
// than a version that was published. The change was not made.
type LostVersionError struct {
	Lost   uint64 // the newest version that is known to be lost
	Newest uint64 // the platform's newest version; 0 if it has none
}

// Error says how to continue.
func (e *LostVersionError) Error() string {
	return fmt.Sprintf("version %d is lost: the platform has returned from a copy whose newest version is %d, and processes keep version %d in force; "+
		"compare with version %d, then apply the sheet again with base %d", e.Lost, e.Newest, e.Lost, e.Newest, e.Newest)
}

// PublishedVersion is a version with its changes from the version before it.
type PublishedVersion struct {
	Entry
	Changes []config.Change
}

// Error lists the versions published after the base version, with their authors
// and changes.
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

// TooLargeError reports that an encoded configuration exceeds the size limit of
// the platform.
type TooLargeError struct {
	Bytes     int
	Limit     int
	Customers int // encoded bytes of the customers alone; Services and Rules accordingly
	Services  int
	Rules     int
}

// Error shows the size of each part and suggests how to reduce it.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration takes %d bytes compressed, but the platform accepts at most %d: customers %d, services %d, rules %d bytes; "+
		"replace rules that differ in one field by one rule with *, drop retired key hashes, or run a second fleet for part of the customers",
		e.Bytes, e.Limit, e.Customers, e.Services, e.Rules)
}

// UnknownError reports that it is not known whether a change was made, because
// the platform did not answer.
type UnknownError struct {
	ChangeID string
	Cause    error
}

// Error contains the ID of the change, by which it can be found in the history.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the platform did not answer: change %s may have been made; look for it in the history before trying again: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Current returns the newest version. It returns nil if there is none.
func (s *Store) Current(ctx context.Context) (*config.Config, error) {
	object, err := s.opts.Platform.Get(ctx, KeyCurrent)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "revision: read current version")
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

// At returns a version from the history, or the current one. It returns
// store.ErrNotFound if the history does not contain the version.
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

// History returns at most limit versions, newest first, starting with the
// current one.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	current, err := s.Current(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	entries := []Entry{newEntry(current)}
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
			continue // pruned since the history was listed
		}
		if err != nil {
			return nil, err
		}
		entries = append(entries, newEntry(cfg))
	}
	return entries, nil
}

func newEntry(cfg *config.Config) Entry {
	return Entry{Version: cfg.Version, ChangeID: cfg.ChangeID, Author: cfg.Author}
}

// versions returns the version numbers in the history, oldest first.
func (s *Store) versions(ctx context.Context) ([]uint64, error) {
	objects, err := s.opts.Platform.List(ctx, historyPrefix, maxHistoryList)
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

// historyKey returns the key of a version in the history. Keys sort by version.
func historyKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}
