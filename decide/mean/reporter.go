package mean

import (
	"math"
	"time"
)

// Intervals of reports.
const (
	DefaultMinInterval = time.Second
	DefaultMaxInterval = 5 * time.Second
)

// minStep is the least change of load that is reported before the longest
// interval ends; stepShare is the same as a share of the load reported last.
const (
	minStep   = 2.0
	stepShare = 0.25
)

// ReporterOptions configures a Reporter. Zero intervals mean the defaults.
type ReporterOptions struct {
	MinInterval time.Duration // between reports of changes
	MaxInterval time.Duration // between reports without change
}

// Reporter decides when an agent reports its load, and dates the means that
// come back. It is not safe for concurrent use.
type Reporter struct {
	opts     ReporterOptions
	sent     bool
	sentAt   time.Duration
	sentLoad float64
	echo     Echo
	heardAt  time.Duration
}

// NewReporter returns a reporter that is due at once.
func NewReporter(opts ReporterOptions) *Reporter {
	if opts.MinInterval == 0 {
		opts.MinInterval = DefaultMinInterval
	}
	if opts.MaxInterval == 0 {
		opts.MaxInterval = DefaultMaxInterval
	}
	return &Reporter{opts: opts}
}

// Due reports whether load is to be sent at now.
func (r *Reporter) Due(load float64, now time.Duration) bool {
	if !r.sent || now-r.sentAt >= r.opts.MaxInterval {
		return true
	}
	step := math.Max(minStep, stepShare*r.sentLoad)
	return now-r.sentAt >= r.opts.MinInterval && math.Abs(load-r.sentLoad) >= step
}

// Send records that load is sent at now and returns the echo to send with it.
func (r *Reporter) Send(load float64, now time.Duration) Echo {
	r.sent, r.sentAt, r.sentLoad = true, now, load
	echo := r.echo
	echo.Held = now - r.heardAt
	return echo
}

// Heard takes the stamp of a reply that arrived at now. Stamps of one
// incarnation only move forward.
func (r *Reporter) Heard(stamp Echo, now time.Duration) {
	if stamp.Incarnation == r.echo.Incarnation && stamp.Clock < r.echo.Clock {
		return
	}
	r.echo, r.heardAt = stamp, now
}

// TrueAt returns the time since which every part of a mean was true, for a
// reply to a message sent at sent.
func TrueAt(m Mean, sent time.Duration) time.Duration { return sent - m.Age }
