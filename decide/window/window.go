// Package window bounds the sends that a router has in progress to the upstreams of a service,
// so that requests wait at the router, where their order can be chosen, and not at upstreams
// that refuse them when they are full.
package window

import (
	"math"
	"time"
)

const (
	// decrease is the factor of the window when an upstream is full.
	decrease = 0.7
	// decreaseInterval is the least time between two decreases: the refusals within about one
	// service time come from one overload.
	decreaseInterval = 100 * time.Millisecond
	// poolFullShare is the part of the pool from which it counts as full: of three upstreams,
	// one may be full alone.
	poolFullShare = 0.5
	// freeAfterFull is how long after a full upstream the pool does not count as half free:
	// the reports that say so are older.
	freeAfterFull = 500 * time.Millisecond
	// fullPause is how long no send begins after a full upstream, unless the others are known
	// to have free slots: the next one is probably full as well.
	fullPause = 25 * time.Millisecond
	// initialTook is the time of a send that is assumed until one has ended.
	initialTook = 100 * time.Millisecond
	// tookGain is the weight of one send in the mean of their times.
	tookGain = 0.1
	// rateTime is the time over which the rate of served requests is measured.
	rateTime = time.Second
	// freeShare is the part of the slots up to which sends begin without regard to the window.
	freeShare = 0.7
	// spareShare is the part of the capacity that nobody uses that all routers together may
	// begin to use by one report: with more, all of them fill it, and swing between too many
	// sends and too few.
	spareShare = 2.0
	// minLimit bounds the pace of a router whose share of the pool is less than one send.
	minLimit = 0.05
)

// PreferredFactor is the factor of the limit for preferred sends. Upstreams queue more than the
// capacity that routers share, and preferred sends are few while others take more than their
// share.
const PreferredFactor = 3

// View is the pool of a service as one router sees it.
type View struct {
	Slots    float64 // requests that available upstreams work on at a time
	Capacity float64 // the same, with a small queue at each
	PeerLoad float64 // requests in progress there from other routers, as reported
	Routers  int     // that share the pool
}

// Window is the window of one router for one service. The zero value is ready for use. It is
// not safe for concurrent use. All times are monotonic.
type Window struct {
	size      float64 // 0 means no limit by refusals
	inUse     int
	full      bool // fullAt is set
	fullAt    time.Duration
	granted   bool // grantedAt is set
	grantedAt time.Duration
	took      time.Duration // mean time of a send
	backlog   bool
	since     time.Duration // begin of the backlog
	served    float64       // sends that ended in the backlog, decaying over rateTime
	servedAt  time.Duration
}

// InUse returns the number of sends in progress.
func (w *Window) InUse() int { return w.inUse }

// Took returns the mean time of a send, with its wait at the upstream.
func (w *Window) Took() time.Duration {
	if w.took == 0 {
		return initialTook
	}
	return w.took
}

// Limit returns how many sends may be in progress; of a fraction a further one may, at
// intervals. A router may use its equal share of the capacity, and a part of what neither it
// nor the others use.
func (w *Window) Limit(v View) float64 {
	share := v.Capacity / float64(max(1, v.Routers))
	limit := share + max(0, v.Capacity-v.PeerLoad-share)*min(0.5, spareShare/float64(max(1, v.Routers)))
	if v.Routers <= 1 {
		limit = v.Capacity
	}
	if w.size > 0 {
		limit = min(limit, w.size)
	}
	return max(limit, minLimit)
}

// Allows reports whether a send may begin. While enough of the pool is free, it always may. The
// limit is PreferredFactor times as high for preferred sends, those of customers that use less
// than their share.
func (w *Window) Allows(now time.Duration, v View, preferred bool) bool {
	if (!w.full || now-w.fullAt >= freeAfterFull) && float64(w.inUse)+v.PeerLoad+1 <= freeShare*v.Slots {
		return true
	}
	if w.full && now-w.fullAt < fullPause && float64(w.inUse)+v.PeerLoad+1 > v.Slots {
		return false
	}
	limit := w.Limit(v)
	if preferred {
		limit *= PreferredFactor
	}
	if whole := int(limit); w.inUse != whole || !w.granted {
		return float64(w.inUse) < limit
	}
	return float64(w.inUse) < limit && now-w.grantedAt >= time.Duration(float64(w.Took())/limit)
}

// Begin records that a send begins.
func (w *Window) Begin(now time.Duration) {
	w.inUse++
	w.grantedAt, w.granted = now, true
}

// Accepted records that a send ended with an answer after a time.
func (w *Window) Accepted(now, took time.Duration) {
	if w.size > 0 && float64(w.inUse) >= w.size/2 {
		w.size += 1 / w.size
	}
	w.took = time.Duration(float64(w.Took())*(1-tookGain) + float64(took)*tookGain)
	w.end(now)
	w.served = w.decayed(now) + 1
	w.servedAt = now
}

// Full records that an upstream refused a send since it is full. part is the part of the pool
// that is known to be full: one full upstream of many only shifts sends to the others.
func (w *Window) Full(now time.Duration, part float64) {
	if part < poolFullShare {
		w.end(now)
		return
	}
	if !w.full || now-w.fullAt >= decreaseInterval {
		size := float64(w.inUse)
		if w.size > 0 {
			size = min(size, w.size)
		}
		w.size = max(1, size*decrease)
		w.fullAt, w.full = now, true
	}
	w.end(now)
}

// Failed records that a send ended in another way.
func (w *Window) Failed(now time.Duration) { w.end(now) }

func (w *Window) end(time.Duration) { w.inUse = max(0, w.inUse-1) }

// SetBacklog records whether requests wait.
func (w *Window) SetBacklog(now time.Duration, waiting bool) {
	if waiting && !w.backlog {
		w.since, w.served, w.servedAt = now, 0, now
	}
	w.backlog = waiting
}

// Rate returns the requests a second that the router serves while some wait: as measured since
// they began to, and before by the window and the mean time of a send.
func (w *Window) Rate(now time.Duration, v View) float64 {
	predicted := w.Limit(v) / w.Took().Seconds()
	if !w.backlog {
		return predicted
	}
	elapsed := now - w.since
	measured := w.decayed(now) / (rateTime.Seconds() * (1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())))
	trust := min(1, elapsed.Seconds()/rateTime.Seconds())
	if elapsed <= 0 {
		return predicted
	}
	return predicted*(1-trust) + measured*trust
}

// decayed returns the served requests, decayed until now.
func (w *Window) decayed(now time.Duration) float64 {
	return w.served * math.Exp(-(now-w.servedAt).Seconds()/rateTime.Seconds())
}
