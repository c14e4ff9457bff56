// Package eject temporarily removes failing hosts from placement and ramps them
// back up gradually. A host's penalty decays with time rather than being cleared
// by its next success, so that a flapping host is ejected for longer each time.
// The share of a service's hosts ejected at once is limited: when many fail
// together the cause is probably elsewhere, and the remaining hosts could not
// carry the load.
package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options configures Weights and Record.Failure. Zero values mean the defaults.
type Options struct {
	Base            time.Duration // duration of a first ejection
	Max             time.Duration // longest ejection
	HalfLife        time.Duration // half-life of the penalty
	RampUp          time.Duration // ramp-up from the initial weight to 1, per unit of penalty
	MaxEjectedShare float64       // largest share of the hosts ejected at once; below 1
}

// Defaults of Options.
const (
	DefaultBase            = 2 * time.Second
	DefaultMax             = time.Minute
	DefaultHalfLife        = time.Minute
	DefaultRampUp          = 5 * time.Second
	DefaultMaxEjectedShare = 0.5
)

// initialWeight is the weight of a host whose ejection has just ended.
const initialWeight = 0.1

func (o Options) withDefaults() Options {
	o.Base = cmp.Or(o.Base, DefaultBase)
	o.Max = cmp.Or(o.Max, DefaultMax)
	o.HalfLife = cmp.Or(o.HalfLife, DefaultHalfLife)
	o.RampUp = cmp.Or(o.RampUp, DefaultRampUp)
	o.MaxEjectedShare = cmp.Or(o.MaxEjectedShare, DefaultMaxEjectedShare)
	return o
}

// Record tracks the failure penalty and ejection of one host. The zero Record is
// a host without failures. It is not safe for concurrent use.
type Record struct {
	penalty float64
	at      time.Duration // of the last failure that counted
	until   time.Duration // end of the ejection
}

// Failure records a failure at now and returns for how long it ejects the host.
// Failures during an ejection are ignored and return 0: they belong to requests
// that were already in flight.
func (r *Record) Failure(opts Options, now time.Duration) time.Duration {
	opts = opts.withDefaults()
	if now < r.until {
		return 0
	}
	r.penalty = r.remainingPenalty(opts, now) + 1
	r.at = now
	ejection := float64(opts.Base) * math.Exp2(r.penalty-1)
	r.until = now + time.Duration(math.Min(ejection, float64(opts.Max)))
	return r.until - now
}

// EjectedUntil returns the record with the host ejected at least until then,
// without adding a penalty.
func (r Record) EjectedUntil(until time.Duration) Record {
	r.until = max(r.until, until)
	return r
}

// remainingPenalty returns the penalty after decay.
func (r *Record) remainingPenalty(opts Options, now time.Duration) float64 {
	return r.penalty * math.Exp2(-float64(now-r.at)/float64(opts.HalfLife))
}

// CanDrop reports whether the record can be dropped at now: the host is not
// ejected and its penalty has decayed to almost nothing.
func (r *Record) CanDrop(opts Options, now time.Duration) bool {
	return now >= r.until && r.remainingPenalty(opts.withDefaults(), now) < initialWeight
}

// weight returns the weight before the limit on ejected hosts is applied.
func (r *Record) weight(opts Options, now time.Duration) float64 {
	if now < r.until {
		return 0
	}
	if r.penalty == 0 {
		return 1
	}
	rampUp := float64(opts.RampUp) * r.penalty
	return math.Min(1, initialWeight+(1-initialWeight)*float64(now-r.until)/rampUp)
}

// Weights returns the weights of all hosts of a service, between 0 and 1. If
// more hosts are ejected than Options.MaxEjectedShare allows, those whose ejection
// ends first get the initial weight instead.
func Weights(opts Options, now time.Duration, records []Record) []float64 {
	opts = opts.withDefaults()
	weights := make([]float64, len(records))
	var ejected []int
	for i := range records {
		weights[i] = records[i].weight(opts, now)
		if weights[i] == 0 {
			ejected = append(ejected, i)
		}
	}
	slices.SortStableFunc(ejected, func(a, b int) int {
		return int(records[a].until - records[b].until)
	})
	maxEjected := int(opts.MaxEjectedShare * float64(len(records)))
	for _, i := range ejected[:max(0, len(ejected)-maxEjected)] {
		weights[i] = initialWeight
	}
	return weights
}
