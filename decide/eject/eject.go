// Package eject takes hosts that fail out of placement for a while and lets
// them back gradually. What a host did wrong is forgotten with time and not by
// its next success, so that one that flaps stays out for longer each time. Only
// a share of a service's hosts is out at once: where many fail together the
// cause is likely to be elsewhere, and the rest could not carry the load.
package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options configures Weights and Record.Failure. Zero values mean the defaults.
type Options struct {
	Base    time.Duration // first time out
	Max     time.Duration // longest time out
	Forget  time.Duration // in which half of a penalty is forgotten
	Return  time.Duration // from the lowest weight to 1, for each unit of penalty
	Ceiling float64       // largest share of the hosts that is out at once; below 1
}

// Defaults of Options.
const (
	DefaultBase    = 2 * time.Second
	DefaultMax     = time.Minute
	DefaultForget  = time.Minute
	DefaultReturn  = 5 * time.Second
	DefaultCeiling = 0.5
)

// firstWeight is the weight of a host that has just been let back.
const firstWeight = 0.1

func (o Options) withDefaults() Options {
	o.Base = cmp.Or(o.Base, DefaultBase)
	o.Max = cmp.Or(o.Max, DefaultMax)
	o.Forget = cmp.Or(o.Forget, DefaultForget)
	o.Return = cmp.Or(o.Return, DefaultReturn)
	o.Ceiling = cmp.Or(o.Ceiling, DefaultCeiling)
	return o
}

// Record is what is held against one host. The zero Record holds nothing. It is
// not safe for concurrent use.
type Record struct {
	penalty float64
	at      time.Duration // of the last failure that counted
	until   time.Duration // end of the time out
}

// Failure records a failure at now and returns for how long the host is taken
// out by it. Those within a time out count once, and return 0: they are requests
// that were on their way.
func (r *Record) Failure(opts Options, now time.Duration) time.Duration {
	opts = opts.withDefaults()
	if now < r.until {
		return 0
	}
	r.penalty = r.left(opts, now) + 1
	r.at = now
	out := float64(opts.Base) * math.Exp2(r.penalty-1)
	r.until = now + time.Duration(math.Min(out, float64(opts.Max)))
	return r.until - now
}

// HeldUntil returns the record with the host out until then, for a reason that
// leaves no penalty.
func (r Record) HeldUntil(until time.Duration) Record {
	r.until = max(r.until, until)
	return r
}

// left returns the penalty not yet forgotten.
func (r *Record) left(opts Options, now time.Duration) float64 {
	return r.penalty * math.Exp2(-float64(now-r.at)/float64(opts.Forget))
}

// Forgettable tells whether nothing worth keeping is held at now.
func (r *Record) Forgettable(opts Options, now time.Duration) bool {
	return now >= r.until && r.left(opts.withDefaults(), now) < firstWeight
}

// weight returns the weight without regard to the ceiling.
func (r *Record) weight(opts Options, now time.Duration) float64 {
	if now < r.until {
		return 0
	}
	if r.penalty == 0 {
		return 1
	}
	span := float64(opts.Return) * r.penalty
	return math.Min(1, firstWeight+(1-firstWeight)*float64(now-r.until)/span)
}

// Weights returns the weights of all hosts of a service, between 0 and 1. If
// more than the ceiling's share are out, those whose time ends first are let
// back at the lowest weight.
func Weights(opts Options, now time.Duration, records []Record) []float64 {
	opts = opts.withDefaults()
	weights := make([]float64, len(records))
	var out []int
	for i := range records {
		weights[i] = records[i].weight(opts, now)
		if weights[i] == 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return int(records[a].until - records[b].until)
	})
	most := int(opts.Ceiling * float64(len(records)))
	for _, i := range out[:max(0, len(out)-most)] {
		weights[i] = firstWeight
	}
	return weights
}
