package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone says that the changes after the given revision are no longer
// kept: list the kind again.
var ErrHistoryGone = errors.New("store: history is gone")

// Record is one object of a kind.
type Record struct {
	Name     string
	Revision uint64 // of its last change
	Value    []byte
}

// Change is one change of a kind: the record as it is now, or its removal.
type Change struct {
	Record  Record
	Deleted bool
}

// Collections reads whole kinds of objects and follows their changes. Revisions
// come from one counter over all kinds. Every call counts against the store's
// rate. All methods may be called concurrently and fail with ErrUnavailable if
// the store refuses or does not answer in time.
type Collections interface {
	// ListKind returns all objects of a kind, and the revision from which
	// WatchKind sees every later change.
	ListKind(ctx context.Context, kind string) ([]Record, uint64, error)
	// WatchKind returns the changes of a kind after a revision as soon as there
	// is one, or none after wait, and the revision from which to go on. It
	// fails with ErrHistoryGone if the changes are no longer known.
	WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// WriteRecord stores the value whatever the object's revision is.
	WriteRecord(ctx context.Context, kind, name string, value []byte) error
}
