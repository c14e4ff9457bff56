// Package admit bounds the load of one upstream against the mean of its pool.
//
// The promise: an agent that admits work only while its load, the new work
// included, is at most Limit holds at every admission
//
//	load <= max(Floor, ceil(Multiple * mean))
//
// where mean is the newest mean observed, at most FreshFor old and taken over
// more than Multiple replicas. The load of a replica in it is what runs and
// what waits for it, so that the limit follows the demand. Without such a mean the load is at most the
// greater of Floor and the last such limit, and at most Ceiling if one is set.
// A pool of at most Multiple replicas needs no bound: no load can exceed the
// mean as many times as there are replicas.
// Work in progress is never cut off when the limit falls.
package admit

import (
	"math"
	"time"
)

// DefaultFreshFor is the age beyond which a mean is stale.
const DefaultFreshFor = 20 * time.Second

// State says what a limit rests on.
type State uint8

// The states of a bound.
const (
	StateUnknown State = iota // no usable mean yet: Floor
	StateFresh                // the newest mean
	StateSmall                // the pool has at most Multiple replicas: Ceiling alone
	StateStale                // the last usable mean is older than FreshFor: its limit, or Floor if greater
)

// Options configures a Bound.
type Options struct {
	Multiple float64       // most load as a multiple of the mean; more than 1
	Floor    int           // load always allowed, also when the mean is unknown or the pool idle; at least 1
	Ceiling  int           // load never exceeded; 0 means none
	FreshFor time.Duration // 0 means DefaultFreshFor
}

// Bound computes the load limit of one upstream. It is not safe for concurrent
// use.
type Bound struct {
	opts  Options
	known bool
	at    time.Duration // when the newest usable mean was true
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

// ObserveMean takes the mean load of replicas that was true at a time of the
// agent's monotonic clock: the time of its arrival less its age. Callers pass
// means in the order in which they were made; one that is stale against the
// mean before is ignored. So is a mean over no more than
// Multiple replicas: there the load itself raises the mean as fast as the limit
// allows it to rise, and nothing is bounded.
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

// SetMultiple takes a multiple from a newer configuration. A mean that is not
// usable with it is dropped.
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

// SetPool takes the number of replicas of the whole pool, 0 if unknown.
func (b *Bound) SetPool(replicas int) { b.pool = replicas }

// Limit returns the load up to which work may be admitted at now.
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

// State returns what the limit at now rests on.
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
