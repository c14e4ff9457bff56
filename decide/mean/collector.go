// Package mean computes the mean load of a service's replicas from reports that
// may be delayed or lost and may leave collectors with different views. Every mean
// carries an upper bound on the age of its oldest report. The bound needs no
// synchronised clocks: each message echoes a clock reading of its receiver,
// together with the time for which the sender held the echo. Replicas whose reports
// are too old are excluded from both the sum and the count, so that a replica that
// stops reporting is not taken for idle.
package mean

import "time"

// DefaultReportLimit is the age above which a report or partial sum is dropped. It
// is more than two DefaultMaxIntervals, so that one lost report does not exclude a
// replica.
const DefaultReportLimit = 12 * time.Second

// Options configures a Collector.
type Options struct {
	FailureDomain string        // whose replicas report to this collector
	Incarnation   uint64        // of the collector's process, random
	ReportLimit   time.Duration // 0 means DefaultReportLimit
}

// Echo bounds the time at which a message was sent, on the clock of its receiver.
// The zero Echo, from a sender that has received nothing from the receiver, gives
// no bound.
type Echo struct {
	Incarnation uint64        // of the receiver that the clock reading comes from
	Clock       time.Duration // receiver's clock when it sent the message that is echoed
	Held        time.Duration // time from the arrival of that message to the sending of this one
}

// Partial is the sum of the loads of the replicas in one failure domain.
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

type loadSum struct {
	sum           float64
	replicas      int
	sentAfter     time.Duration // lower bound of the send time; orders messages of one sender
	measuredAfter time.Duration // the loads were measured at this time or later
}

// Collector collects the load reports of one service in one failure domain, and the
// partial sums of its peers in the other failure domains. It is not safe for
// concurrent use.
type Collector struct {
	opts    Options
	reports map[string]loadSum // by host
	peers   map[string]loadSum // by failure domain
}

// NewCollector returns an empty collector.
func NewCollector(opts Options) *Collector {
	if opts.ReportLimit == 0 {
		opts.ReportLimit = DefaultReportLimit
	}
	return &Collector{opts: opts, reports: make(map[string]loadSum), peers: make(map[string]loadSum)}
}

// Stamp returns the clock reading to put into a message sent at now, which its
// receiver echoes.
func (c *Collector) Stamp(now time.Duration) Echo {
	return Echo{Incarnation: c.opts.Incarnation, Clock: now}
}

// Report records the load of a host, measured when the report was sent. It returns
// false if the echo does not bound the age of the report; the host then repeats the
// report at once with the echo of the reply.
func (c *Collector) Report(host string, load float64, echo Echo, now time.Duration) bool {
	at, ok := c.earliestSend(echo, now)
	if !ok {
		return false
	}
	if old, known := c.reports[host]; known && old.sentAfter > at {
		return true
	}
	c.reports[host] = loadSum{sum: load, replicas: 1, sentAfter: at, measuredAfter: at}
	return true
}

// Merge records the partial sum of a peer. It returns false if the echo does not
// bound its age.
func (c *Collector) Merge(p Partial, echo Echo, now time.Duration) bool {
	sent, ok := c.earliestSend(echo, now)
	if !ok {
		return false
	}
	if old, known := c.peers[p.FailureDomain]; known && old.sentAfter > sent || p.FailureDomain == c.opts.FailureDomain {
		return true
	}
	c.peers[p.FailureDomain] = loadSum{sum: p.Sum, replicas: p.Replicas, sentAfter: sent, measuredAfter: sent - p.Age}
	return true
}

// earliestSend returns the earliest time at which the message with the echo can have
// been sent, or false if the echo gives none.
func (c *Collector) earliestSend(echo Echo, now time.Duration) (time.Duration, bool) {
	if echo.Incarnation != c.opts.Incarnation || echo.Clock == 0 || echo.Held < 0 {
		return 0, false
	}
	return min(now, echo.Clock+echo.Held), true
}

// Remove removes the report of a host.
func (c *Collector) Remove(host string) { delete(c.reports, host) }

// Partial returns the sum of the loads in the collector's own failure domain.
func (c *Collector) Partial(now time.Duration) Partial {
	sum := c.addRecent(c.reports, loadSum{measuredAfter: now}, now)
	return Partial{FailureDomain: c.opts.FailureDomain, Sum: sum.sum, Replicas: sum.replicas, Age: now - sum.measuredAfter}
}

// Mean returns the mean over all reports and partial sums that are not too old.
func (c *Collector) Mean(now time.Duration) Mean {
	sum := c.addRecent(c.peers, c.addRecent(c.reports, loadSum{measuredAfter: now}, now), now)
	if sum.replicas == 0 {
		return Mean{}
	}
	return Mean{Mean: sum.sum / float64(sum.replicas), Replicas: sum.replicas, Age: now - sum.measuredAfter}
}

// addRecent adds the parts that are not too old to sum and deletes the others.
func (c *Collector) addRecent(parts map[string]loadSum, sum loadSum, now time.Duration) loadSum {
	for id, part := range parts {
		if now-part.measuredAfter > c.opts.ReportLimit {
			delete(parts, id)
			continue
		}
		sum.sum += part.sum
		sum.replicas += part.replicas
		if part.replicas > 0 {
			sum.measuredAfter = min(sum.measuredAfter, part.measuredAfter)
		}
	}
	return sum
}
