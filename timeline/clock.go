package timeline

import (
	"sync/atomic"
	"time"
)

const (
	// logicalBits is the width of the counter below the milliseconds of a clock value.
	logicalBits = 16
	// maxLead is how far ahead of its own time a process follows a peer.
	// Without it one host with a wrong date would use up the clock of all.
	maxLead = 24 * time.Hour
)

// Clock is a hybrid logical clock: milliseconds of the time of day in the
// upper 48 bits, a counter in the lower 16. A value that was observed is
// smaller than every value given out afterwards, whatever the hosts' times of
// day. It may be used from many goroutines and takes no lock.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a clock over the given time of day; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

func (c *Clock) physical() uint64 { return uint64(c.now().UnixMilli()) << logicalBits }

// Now returns a value greater than all given out or observed before.
func (c *Clock) Now() uint64 {
	physical := c.physical()
	for {
		last := c.last.Load()
		next := max(last+1, physical)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe takes in the clock value of a message that arrived. Values more
// than a day ahead are ignored.
func (c *Clock) Observe(remote uint64) {
	if remote > c.physical()+uint64(maxLead.Milliseconds())<<logicalBits {
		return
	}
	for {
		last := c.last.Load()
		if remote <= last || c.last.CompareAndSwap(last, remote) {
			return
		}
	}
}

// Time returns the time of day part of a clock value.
func Time(clock uint64) time.Time { return time.UnixMilli(int64(clock >> logicalBits)).UTC() }
