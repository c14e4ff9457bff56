package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
)

// MarksKey is the platform key of the marks by which old claims are told.
const MarksKey = "claims-marks"

// Defaults of SweeperOptions. Together they keep a claim for at least 30 days.
const (
	DefaultMarkInterval = 6 * time.Hour
	DefaultMarks        = 122
	DefaultSweepPause   = 50 * time.Millisecond
	DefaultSweepPage    = 1000
)

// SweeperOptions configure a Sweeper. Zero values take the defaults.
type SweeperOptions struct {
	Store    store.Store
	Interval time.Duration // least time between two marks
	Marks    int           // marks kept: claims older than all of them are deleted
	Pause    time.Duration // between two calls of a sweep
	Page     int           // objects of one listing
}

// Sweeper deletes claims that are at least (Marks-1) x Interval old. It trusts
// no time of day: versions of the platform come from one growing counter, and
// a mark is a version that was taken after the one before had been seen
// unchanged for Interval by the monotonic clock of one process.
type Sweeper struct {
	opts SweeperOptions
}

// NewSweeper returns a sweeper. Any number of processes may run one.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.Interval == 0 {
		opts.Interval = DefaultMarkInterval
	}
	if opts.Marks == 0 {
		opts.Marks = DefaultMarks
	}
	if opts.Pause == 0 {
		opts.Pause = DefaultSweepPause
	}
	if opts.Page == 0 {
		opts.Page = DefaultSweepPage
	}
	return &Sweeper{opts: opts}
}

// marks is the value of the marks object. An update of it is itself a mark: its
// version enters the list with the next update.
type marks struct {
	Versions []uint64 `json:"versions"` // oldest first
}

// Run marks and sweeps until ctx ends. What fails is done at a later mark.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		seen, version, err := s.read(ctx)
		if !schedule.Sleep(ctx, s.opts.Interval) {
			return
		}
		if err == nil {
			_ = s.mark(ctx, seen, version)
		}
	}
}

// mark sets a mark if the last one still stands, and sweeps what has become
// old. Of several processes one succeeds; the others wait anew.
func (s *Sweeper) mark(ctx context.Context, seen marks, version uint64) error {
	next := marks{Versions: append([]uint64(nil), seen.Versions...)}
	if version != 0 {
		next.Versions = append(next.Versions, version)
	}
	next.Versions = next.Versions[max(0, len(next.Versions)-s.opts.Marks):]
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "claims: encode marks")
	}
	if _, err := s.opts.Store.Put(ctx, MarksKey, value, version); err != nil {
		return errors.Wrap(err, "claims: set mark")
	}
	if len(next.Versions) < s.opts.Marks {
		return nil
	}
	return s.sweep(ctx, Prefix, next.Versions[0])
}

// hexDigits are the digits of claim keys after Prefix.
const hexDigits = "0123456789abcdef"

// sweep deletes the claims under prefix whose version is below before. A
// listing that is full is divided by the next digit.
func (s *Sweeper) sweep(ctx context.Context, prefix string, before uint64) error {
	listed, err := s.opts.Store.List(ctx, prefix, s.opts.Page)
	if err != nil {
		return errors.Wrap(err, "claims: list")
	}
	if len(listed) >= s.opts.Page {
		for _, digit := range hexDigits {
			if err := s.sweep(ctx, prefix+string(digit), before); err != nil {
				return err
			}
		}
		return nil
	}
	for _, o := range listed {
		if o.Version >= before {
			continue
		}
		if !schedule.Sleep(ctx, s.opts.Pause) {
			return ctx.Err()
		}
		// A claim that was rebound meanwhile has another version and stays.
		err := s.opts.Store.Delete(ctx, o.Key, o.Version)
		if errors.Is(err, store.ErrUnavailable) {
			return errors.Wrap(err, "claims: delete")
		}
	}
	return nil
}

func (s *Sweeper) read(ctx context.Context) (marks, uint64, error) {
	object, err := s.opts.Store.Get(ctx, MarksKey)
	if errors.Is(err, store.ErrNotFound) {
		return marks{}, 0, nil
	}
	if err != nil {
		return marks{}, 0, errors.Wrap(err, "claims: read marks")
	}
	var m marks
	if err := json.Unmarshal(object.Value, &m); err != nil {
		return marks{}, 0, errors.Wrap(err, "claims: decode marks")
	}
	return m, object.Version, nil
}
