package timeline

import (
	"sync/atomic"
	"time"
)

const (
	// logicalBits is the width of the logical counter in the lower bits of a clock
	// value.
	logicalBits = 16
	// maxAhead is how far a remote clock value may be ahead of the local time
	// before Observe ignores it. Without this limit, one host with a wrong date
	// would use up the range of the clocks of all processes.
	maxAhead = 24 * time.Hour
)

// Clock is a hybrid logical clock: the upper 48 bits of a value are the wall-clock
// time in milliseconds, the lower 16 bits are a counter. Every value that Now
// returns is greater than all values returned or observed before (except those
// that Observe ignores), whatever the wall clocks of the hosts show. It is
// lock-free and safe for concurrent use.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a clock that takes the wall-clock time from now; nil means
// time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

func (c *Clock) wallClock() uint64 { return uint64(c.now().UnixMilli()) << logicalBits }

// Now returns a value that is greater than all values returned or observed
// before.
func (c *Clock) Now() uint64 {
	wallClock := c.wallClock()
	for {
		last := c.last.Load()
		next := max(last+1, wallClock)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock to the clock value of a received message, if that
// is greater. It ignores values that are more than maxAhead, one day, ahead of
// the wall-clock time.
func (c *Clock) Observe(remote uint64) {
	if remote > c.wallClock()+uint64(maxAhead.Milliseconds())<<logicalBits {
		return
	}
	for {
		last := c.last.Load()
		if remote <= last || c.last.CompareAndSwap(last, remote) {
			return
		}
	}
}

// Time returns the wall-clock time contained in a clock value.
func Time(clock uint64) time.Time { return time.UnixMilli(int64(clock >> logicalBits)).UTC() }
