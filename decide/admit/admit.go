// Package admit bounds the load of one upstream against the mean of its pool.
//
// An agent that admits work only while its load, including the new work, is at
// most Limit guarantees at every admission that
//
//	load <= max(Floor, ceil(Multiple * mean))
//
// where mean is the newest mean observed, at most FreshFor old and taken over
// more than Multiple replicas. The load of a replica includes running and waiting
// work, so that the limit follows the demand. Without such a mean, the load is at
// most the greater of Floor and the last such limit. Ceiling, if set, always applies.
//
// A pool of at most Multiple replicas needs no bound, because no load can exceed
// the mean times the number of replicas. Work in progress is never interrupted when
// the limit falls.
package admit

import (
	"math"
	"time"
)

// DefaultFreshFor is the age beyond which a mean is stale.
const DefaultFreshFor = 20 * time.Second

// State is what the limit of a Bound is based on.
type State uint8

// Possible states.
const (
	StateUnknown State = iota // no usable mean yet: the limit is Floor
	StateFresh                // the limit follows the newest mean
	StateSmall                // the pool has at most Multiple replicas: only Ceiling limits the load
	StateStale                // the last usable mean is older than FreshFor: its limit stays, or Floor if greater
)

// Options configures a Bound.
type Options struct {
	Multiple float64       // highest load, as a multiple of the mean; more than 1
	Floor    int           // load that is always allowed, even if the mean is unknown or the pool is idle; at least 1
	Ceiling  int           // load that is never exceeded; 0 means none
	FreshFor time.Duration // 0 means DefaultFreshFor
}

// Bound computes the load limit of one upstream. It is not safe for concurrent
// use.
type Bound struct {
	opts  Options
	known bool
	at    time.Duration // when the newest usable mean was measured
	limit int           // from the newest usable mean
	mean  float64
	count int // replicas of the mean
	pool  int // replicas of the whole pool; 0 if unknown
}

// NewBound returns a bound that has observed no mean.
func NewBound(opts Options) *Bound {
	opts.Floor = max(1, opts.Floor)
	if opts.FreshFor == 0 {
		opts.FreshFor = DefaultFreshFor
	}
	return &Bound{opts: opts}
}

// ObserveMean records a mean load over the given number of replicas, measured at the
// given time of the agent's monotonic clock: the arrival time minus the age of the
// mean. Callers pass means in the order in which they were computed. A mean that is
// more than FreshFor older than the previous one is ignored. So is a mean over at
// most Multiple replicas: the load of the upstream itself would raise such a mean as
// fast as the limit allows the load to rise, so that nothing would be bounded.
func (b *Bound) ObserveMean(mean float64, replicas int, at time.Duration) {
	if math.IsNaN(mean) || mean < 0 || float64(replicas) <= b.opts.Multiple {
		return
	}
	if b.known && at < b.at-b.opts.FreshFor {
		return
	}
	b.known, b.at, b.mean, b.count = true, at, mean, replicas
	b.limit = b.clamp(math.Ceil(b.opts.Multiple * mean))
}

// SetMultiple sets the multiple of a newer configuration. The last mean is dropped
// if it is not usable with that multiple.
func (b *Bound) SetMultiple(multiple float64) {
	if multiple == b.opts.Multiple {
		return
	}
	b.opts.Multiple = multiple
	known := b.known
	b.known = false
	if known {
		b.ObserveMean(b.mean, b.count, b.at)
	}
}

// SetPool sets the number of replicas in the whole pool; 0 if unknown.
func (b *Bound) SetPool(replicas int) { b.pool = replicas }

// Limit returns the highest load, including new work, that may be admitted at now.
func (b *Bound) Limit(now time.Duration) int {
	switch b.State(now) {
	case StateSmall:
		return b.clamp(math.MaxInt32)
	case StateUnknown:
		return b.clamp(0)
	default:
		return b.limit
	}
}

// State returns what the limit at now is based on.
func (b *Bound) State(now time.Duration) State {
	switch {
	case b.pool > 0 && float64(b.pool) <= b.opts.Multiple:
		return StateSmall
	case !b.known:
		return StateUnknown
	case now-b.at > b.opts.FreshFor:
		return StateStale
	default:
		return StateFresh
	}
}

// Mean returns the newest usable mean, negative if there is none.
func (b *Bound) Mean() float64 {
	if !b.known {
		return -1
	}
	return b.mean
}

func (b *Bound) clamp(load float64) int {
	limit := b.opts.Floor
	if load >= math.MaxInt32 {
		limit = math.MaxInt32
	} else {
		limit = max(limit, int(load))
	}
	if b.opts.Ceiling > 0 {
		limit = min(limit, b.opts.Ceiling)
	}
	return limit
}
