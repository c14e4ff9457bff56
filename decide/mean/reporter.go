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

// minLoadChange is the smallest change of the load that is reported before
// MaxInterval has passed; minLoadChangeShare is the same as a share of the load
// reported last. The greater of the two applies.
const (
	minLoadChange      = 2.0
	minLoadChangeShare = 0.25
)

// ReporterOptions configures a Reporter. Zero intervals mean the defaults.
type ReporterOptions struct {
	MinInterval time.Duration // between reports of changes
	MaxInterval time.Duration // between reports without change
}

// Reporter decides when an agent reports its load, and keeps the echo that its
// reports carry. It is not safe for concurrent use.
type Reporter struct {
	opts           ReporterOptions
	sent           bool
	sentAt         time.Duration
	sentLoad       float64
	echo           Echo
	echoReceivedAt time.Duration
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

// Due reports whether load should be sent at now.
func (r *Reporter) Due(load float64, now time.Duration) bool {
	if !r.sent || now-r.sentAt >= r.opts.MaxInterval {
		return true
	}
	change := math.Max(minLoadChange, minLoadChangeShare*r.sentLoad)
	return now-r.sentAt >= r.opts.MinInterval && math.Abs(load-r.sentLoad) >= change
}

// Send records that load is sent at now and returns the echo to send with it.
func (r *Reporter) Send(load float64, now time.Duration) Echo {
	r.sent, r.sentAt, r.sentLoad = true, now, load
	echo := r.echo
	echo.Held = now - r.echoReceivedAt
	return echo
}

// RecordStamp records the stamp of a reply that arrived at now. A stamp older than
// the last one of the same incarnation is ignored.
func (r *Reporter) RecordStamp(stamp Echo, now time.Duration) {
	if stamp.Incarnation == r.echo.Incarnation && stamp.Clock < r.echo.Clock {
		return
	}
	r.echo, r.echoReceivedAt = stamp, now
}

// MeasuredAfter returns the earliest time at which a part of the mean can have
// been measured, for a mean in the reply to a message sent at sent.
func MeasuredAfter(m Mean, sent time.Duration) time.Duration { return sent - m.Age }
