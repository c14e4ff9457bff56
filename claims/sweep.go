package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
)

// MarksKey is the platform key of the marks, which determine the age of
// claims.
const MarksKey = "claims-marks"

// Defaults of SweeperOptions. Together they keep a claim for at least 30 days.
const (
	DefaultMarkInterval = 6 * time.Hour
	DefaultMaxMarks     = 122
	DefaultDeleteDelay  = 50 * time.Millisecond
	DefaultPageSize     = 1000
)

// SweeperOptions configures a Sweeper. Zero values take the defaults.
type SweeperOptions struct {
	Store        store.Store
	MarkInterval time.Duration // minimum time between two marks
	MaxMarks     int           // number of marks kept: claims older than all of them are deleted
	DeleteDelay  time.Duration // delay before each delete
	PageSize     int           // maximum number of objects per list call
}

// Sweeper deletes claims that are at least (MaxMarks-1) x MarkInterval old. It
// does not rely on wall clocks. All versions of the platform come from one
// increasing counter. A mark is a version that is taken after one process has
// seen the previous mark unchanged for MarkInterval on its monotonic clock.
type Sweeper struct {
	opts SweeperOptions
}

// NewSweeper returns a Sweeper. Any number of processes may run one.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.MarkInterval == 0 {
		opts.MarkInterval = DefaultMarkInterval
	}
	if opts.MaxMarks == 0 {
		opts.MaxMarks = DefaultMaxMarks
	}
	if opts.DeleteDelay == 0 {
		opts.DeleteDelay = DefaultDeleteDelay
	}
	if opts.PageSize == 0 {
		opts.PageSize = DefaultPageSize
	}
	return &Sweeper{opts: opts}
}

// marks is the stored list of marks. Each update of the list is itself a mark,
// whose version enters the list with the next update.
type marks struct {
	Versions []uint64 `json:"versions"` // oldest first
}

// Run adds marks and sweeps until ctx ends. It ignores errors: the work is
// repeated at a later mark.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		last, version, err := s.readMarks(ctx)
		if !schedule.Sleep(ctx, s.opts.MarkInterval) {
			return
		}
		if err == nil {
			_ = s.addMark(ctx, last, version)
		}
	}
}

// addMark adds a mark if the marks object still has the given version, and
// deletes the claims that are older than all marks. If several processes try,
// one succeeds; the others wait for the interval again.
func (s *Sweeper) addMark(ctx context.Context, last marks, version uint64) error {
	next := marks{Versions: append([]uint64(nil), last.Versions...)}
	if version != 0 {
		next.Versions = append(next.Versions, version)
	}
	next.Versions = next.Versions[max(0, len(next.Versions)-s.opts.MaxMarks):]
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "claims: encode marks")
	}
	if _, err := s.opts.Store.Put(ctx, MarksKey, value, version); err != nil {
		return errors.Wrap(err, "claims: add mark")
	}
	if len(next.Versions) < s.opts.MaxMarks {
		return nil
	}
	return s.sweep(ctx, Prefix, next.Versions[0])
}

// hexDigits are the digits of claim keys after Prefix.
const hexDigits = "0123456789abcdef"

// sweep deletes the claims under prefix whose version is below before. If a
// listing reaches the page size, it is split by the next hexadecimal digit of
// the key.
func (s *Sweeper) sweep(ctx context.Context, prefix string, before uint64) error {
	listed, err := s.opts.Store.List(ctx, prefix, s.opts.PageSize)
	if err != nil {
		return errors.Wrap(err, "claims: list")
	}
	if len(listed) >= s.opts.PageSize {
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
		if !schedule.Sleep(ctx, s.opts.DeleteDelay) {
			return ctx.Err()
		}
		// A claim that was rebound in the meantime has another version and is kept.
		err := s.opts.Store.Delete(ctx, o.Key, o.Version)
		if errors.Is(err, store.ErrUnavailable) {
			return errors.Wrap(err, "claims: delete")
		}
	}
	return nil
}

func (s *Sweeper) readMarks(ctx context.Context) (marks, uint64, error) {
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
