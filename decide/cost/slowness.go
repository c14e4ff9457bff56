package cost

import (
	"math"
	"time"
)

const (
	// slownessMaxAge is the age from which a stated slowness is not used.
	slownessMaxAge = 2 * time.Second
	// slownessDecay is the time constant with which a stated slowness returns to normal:
	// hosts were seen to be slow for 0.1 to 1 s at a time.
	slownessDecay = 500 * time.Millisecond
	// slownessSmoothing is the time constant with which statements in quick succession are
	// averaged.
	slownessSmoothing = 50 * time.Millisecond
	// maxSlowness limits the effect of a false statement: such an upstream still gets work.
	maxSlowness = 4
	// frozenAfter is how long a slowness must be stated without a change until it is not
	// believed.
	frozenAfter = 5 * time.Second
)

// Slowness is what is known of how many times as long as normal work takes at the host of an
// upstream. The zero value means that nothing was stated. It is immutable.
type Slowness struct {
	known bool
	value float64       // smoothed
	at    time.Duration // of the last statement
	// stated is the last statement and since the time from which it has not changed.
	stated float64
	since  time.Duration
}

// bounded returns a statement within the limits of what is believed; false if it is no
// number. Hosts that are faster than normal do not exist, and one that says so must not draw
// all requests.
func bounded(value float64) (float64, bool) {
	if math.IsNaN(value) || value <= 0 {
		return 0, false
	}
	return min(max(value, 1), maxSlowness), true
}

// Stated returns what is known after the host stated the slowness value at now. Statements
// that are no positive numbers, or older than the last one, change nothing.
func (s Slowness) Stated(now time.Duration, value float64) Slowness {
	v, ok := bounded(value)
	if !ok || s.known && now < s.at {
		return s
	}
	next := Slowness{known: true, value: v, at: now, stated: value, since: now}
	if !s.fresh(now) {
		return next
	}
	if s.stated == value {
		next.since = s.since
	}
	gain := max(0.5, -math.Expm1(-float64(now-s.at)/float64(slownessSmoothing)))
	next.value = s.value + gain*(v-s.value)
	return next
}

// Reported returns what is known after another router reported that value, already smoothed,
// was stated at a time. Reports that are not newer than what is known change nothing.
func (s Slowness) Reported(at time.Duration, value float64) Slowness {
	v, ok := bounded(value)
	if !ok || s.known && at <= s.at {
		return s
	}
	next := Slowness{known: true, value: v, at: at, stated: v, since: at}
	if s.known && at-s.at <= slownessMaxAge && s.value == v {
		next.stated, next.since = s.stated, s.since
	}
	return next
}

func (s Slowness) fresh(now time.Duration) bool { return s.known && now-s.at <= slownessMaxAge }

// Frozen reports whether the same slowness has been stated for so long that it is not
// believed.
func (s Slowness) Frozen() bool { return s.stated != 1 && s.at-s.since >= frozenAfter }

// Last returns the last value and its age, if that is still used.
func (s Slowness) Last(now time.Duration) (value float64, age time.Duration, ok bool) {
	return s.value, now - s.at, s.fresh(now) && !s.Frozen()
}

// At returns the slowness expected at now, 1 or more.
func (s Slowness) At(now time.Duration) float64 {
	if !s.fresh(now) || s.Frozen() {
		return 1
	}
	return 1 + (s.value-1)*math.Exp(-float64(max(0, now-s.at))/float64(slownessDecay))
}

// Over returns the mean slowness over a time in ms, of which slowness is expected at its
// beginning.
func Over(slowness, ms float64) float64 {
	x := ms / (float64(slownessDecay) / float64(time.Millisecond))
	if x < 1e-6 {
		return slowness
	}
	return 1 + (slowness-1)*-math.Expm1(-x)/x
}

const (
	// speedGain is the share of one answer in a Speed.
	speedGain = 0.125
	// speedHalfLife is the time after which half of a Speed is forgotten.
	speedHalfLife = 10 * time.Second
	// minSpeed limits how much work an upstream draws because its answers come early.
	minSpeed = 0.7
)

// Speed is by how much the answers of one upstream took longer than predicted, whatever its
// host states. The zero value means that nothing is known. It is immutable.
type Speed struct {
	log float64 // natural logarithm of the ratio
	at  time.Duration
}

// Observe returns the speed after an answer for which predicted ms were expected without it.
func (s Speed) Observe(now time.Duration, observedMs, predictedMs float64) Speed {
	ratio := math.Log(observedMs / predictedMs)
	if math.IsNaN(ratio) {
		return s
	}
	limit := math.Log(maxSlowness)
	ratio = min(max(ratio, -limit), limit)
	known := s.decayed(now)
	return Speed{log: known + speedGain*(ratio-known), at: now}.limited()
}

func (s Speed) limited() Speed {
	s.log = min(max(s.log, math.Log(minSpeed)), math.Log(maxSlowness))
	return s
}

func (s Speed) decayed(now time.Duration) float64 {
	return s.log * math.Exp2(-float64(max(0, now-s.at))/float64(speedHalfLife))
}

// At returns the factor by which answers are expected to take longer than normal. The
// exponential of a logarithm may miss the limits by its rounding, which differs by processor.
func (s Speed) At(now time.Duration) float64 {
	return min(max(math.Exp(s.decayed(now)), minSpeed), maxSlowness)
}
