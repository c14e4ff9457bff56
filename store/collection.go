package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the changes after the given revision are no longer
// kept. List the kind again.
var ErrHistoryGone = errors.New("store: history is gone")

// Record is one object of a kind.
type Record struct {
	Name     string
	Revision uint64 // of its last change
	Value    []byte
}

// Change is one change of a kind: the record after the change, or its removal.
type Change struct {
	Record  Record
	Deleted bool
}

// Collections lists whole kinds of objects and watches their changes. Revisions
// come from one counter for all kinds, which goes back when the store is restored
// from a copy; positions do not. Every call counts against the store's rate
// limit. The methods may be called concurrently and fail with ErrUnavailable if
// the store rejects the call or does not answer in time.
type Collections interface {
	// ListKind returns all objects of a kind, and the position after which
	// WatchKind delivers every later change.
	ListKind(ctx context.Context, kind string) ([]Record, Position, error)
	// WatchKind returns the changes of a kind after a position as soon as there
	// is one, or none after wait, and the position for the next call. It fails
	// with ErrHistoryGone if the changes are no longer kept or the position belongs
	// to an earlier era.
	WatchKind(ctx context.Context, kind string, after Position, wait time.Duration) ([]Change, Position, error)
	// WriteRecord creates the object or overwrites it at any revision. It returns
	// the era in which the store made the change; 0 if the store reports no eras.
	WriteRecord(ctx context.Context, kind, name string, value []byte) (era uint64, err error)
}
