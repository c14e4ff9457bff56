// Package mean computes the mean load of a service's replicas from reports
// that lag, get lost and reach collectors which disagree. Every mean carries
// the age of its oldest part, bounded without synchronised clocks: each message
// echoes the receiver's own clock and the time for which the echo was held.
// Replicas whose reports are too old leave both the sum and the count, so that
// silence is not taken for idleness.
package mean

import "time"

// DefaultReportLimit is the age at which a report or partial sum is dropped.
const DefaultReportLimit = 12 * time.Second

// Options configures a Collector.
type Options struct {
	FailureDomain string        // whose replicas report to this collector
	Incarnation   uint64        // of the collector's process, random
	ReportLimit   time.Duration // 0 means DefaultReportLimit
}

// Echo dates a message in the clock of its receiver. The zero Echo, of a sender
// that has not heard from the receiver, dates nothing.
type Echo struct {
	Incarnation uint64        // of the receiver whose clock it is
	Clock       time.Duration // receiver's clock when it made the message echoed
	Held        time.Duration // from the arrival of that message to the sending of this one
}

// Partial is the load of the replicas of one failure domain.
type Partial struct {
	FailureDomain string
	Sum           float64
	Replicas      int
	Age           time.Duration // of the oldest report in it
}

// Mean is a mean load. Replicas is 0 if it is unknown.
type Mean struct {
	Mean     float64
	Replicas int
	Age      time.Duration // of the oldest report in it
}

type dated struct {
	sum      float64
	replicas int
	sent     time.Duration // not before then; orders messages of one sender
	at       time.Duration // the loads in it were true then or later
}

// Collector gathers the reports of one service in one failure domain and the
// partial sums of its peers in the others. It is not safe for concurrent use.
type Collector struct {
	opts    Options
	reports map[string]dated // by host
	peers   map[string]dated // by failure domain
}

// NewCollector returns an empty collector.
func NewCollector(opts Options) *Collector {
	if opts.ReportLimit == 0 {
		opts.ReportLimit = DefaultReportLimit
	}
	return &Collector{opts: opts, reports: make(map[string]dated), peers: make(map[string]dated)}
}

// Stamp returns the clock reading that a message sent at now carries, to be
// echoed by its receiver.
func (c *Collector) Stamp(now time.Duration) Echo {
	return Echo{Incarnation: c.opts.Incarnation, Clock: now}
}

// Report takes the load of a host, measured when the report was sent. It
// returns false if the echo does not date the report: the host then repeats it
// at once with the echo of the reply.
func (c *Collector) Report(host string, load float64, echo Echo, now time.Duration) bool {
	at, ok := c.date(echo, now)
	if !ok {
		return false
	}
	if old, known := c.reports[host]; known && old.sent > at {
		return true
	}
	c.reports[host] = dated{sum: load, replicas: 1, sent: at, at: at}
	return true
}

// Merge takes a peer's partial sum. It returns false if the echo does not date it.
func (c *Collector) Merge(p Partial, echo Echo, now time.Duration) bool {
	sent, ok := c.date(echo, now)
	if !ok {
		return false
	}
	if old, known := c.peers[p.FailureDomain]; known && old.sent > sent || p.FailureDomain == c.opts.FailureDomain {
		return true
	}
	c.peers[p.FailureDomain] = dated{sum: p.Sum, replicas: p.Replicas, sent: sent, at: sent - p.Age}
	return true
}

// date returns the time before which the echoing message cannot have been sent.
func (c *Collector) date(echo Echo, now time.Duration) (time.Duration, bool) {
	if echo.Incarnation != c.opts.Incarnation || echo.Clock == 0 || echo.Held < 0 {
		return 0, false
	}
	return min(now, echo.Clock+echo.Held), true
}

// Leave forgets a host.
func (c *Collector) Leave(host string) { delete(c.reports, host) }

// Partial returns the sum over the collector's own failure domain.
func (c *Collector) Partial(now time.Duration) Partial {
	sum := c.add(c.reports, dated{at: now}, now)
	return Partial{FailureDomain: c.opts.FailureDomain, Sum: sum.sum, Replicas: sum.replicas, Age: now - sum.at}
}

// Mean returns the mean over all reports and partial sums that are not too old.
func (c *Collector) Mean(now time.Duration) Mean {
	sum := c.add(c.peers, c.add(c.reports, dated{at: now}, now), now)
	if sum.replicas == 0 {
		return Mean{}
	}
	return Mean{Mean: sum.sum / float64(sum.replicas), Replicas: sum.replicas, Age: now - sum.at}
}

// add sums the parts that are not too old into sum and drops the others.
func (c *Collector) add(parts map[string]dated, sum dated, now time.Duration) dated {
	for id, part := range parts {
		if now-part.at > c.opts.ReportLimit {
			delete(parts, id)
			continue
		}
		sum.sum += part.sum
		sum.replicas += part.replicas
		if part.replicas > 0 {
			sum.at = min(sum.at, part.at)
		}
	}
	return sum
}
