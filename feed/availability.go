package feed

import "time"

// maxPeriodAge is the age up to which what was last heard of the store, from its answers
// or from other routers, is taken for its present state: reports from other failure
// domains are some seconds old.
const maxPeriodAge = 3 * time.Second

// period is a time in which the store answered one router or another without an outage.
type period struct {
	from, to time.Time
}

// join returns the period that covers both, if no outage fits between them.
func (p period) join(q period) (joined period, ok bool) {
	if p.from.Sub(q.to) > minOutage || q.from.Sub(p.to) > minOutage {
		return period{}, false
	}
	return period{from: earlier(p.from, q.from), to: later(p.to, q.to)}, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Availability is what a router knows of a period without an outage of the store. Both
// ages grow as it is passed on, so that it says nothing of the time after the store's last
// answer, however many routers repeat it.
type Availability struct {
	FromAge time.Duration // since the period began; 0 if none is known
	ToAge   time.Duration // since the store's last answer in it
}

// availability returns what this router knows, for other routers. f.mu must be held.
func (f *Feed) availability(now time.Time) Availability {
	p := f.sinceReturn(f.available)
	return Availability{FromAge: now.Sub(p.from), ToAge: now.Sub(p.to)}
}

// observeAvailability takes over what another router knows of the store. What it says of
// the time before the store's last return from a copy is ignored. f.mu must be held.
func (f *Feed) observeAvailability(stamp Stamp) {
	if _, returned := f.opts.Eras.Since(); returned && stamp.Era < f.opts.Eras.Newest() {
		return
	}
	reported := stamp.Available
	if reported.FromAge == 0 {
		reported.FromAge = stamp.Steady // a router of an earlier version
	}
	if reported.FromAge <= 0 || reported.ToAge < 0 || reported.ToAge > reported.FromAge {
		return
	}
	now := time.Now()
	other := period{from: now.Add(-reported.FromAge), to: now.Add(-reported.ToAge)}
	if joined, ok := f.available.join(other); ok {
		f.available = joined
		return
	}
	// An outage separates the two, or this router lacks the reports in between, which
	// may still arrive.
	if other.from.After(f.available.to) && (f.inOutage() || now.Sub(f.available.to) > maxPeriodAge) {
		f.available = other
	}
}

// sinceReturn returns the part of a period after the store's last return from a copy.
// f.mu must be held.
func (f *Feed) sinceReturn(p period) period {
	if at, returned := f.opts.Eras.Since(); returned {
		return period{from: later(p.from, at), to: later(p.to, at)}
	}
	return p
}

// inOutage reports whether this router's calls have kept failing for longer than
// minOutage since the store last answered any router. A failure that is followed by
// answers to others, and by no more calls of this router, is none. f.mu must be held.
func (f *Feed) inOutage() bool {
	if f.failingSince.IsZero() {
		return false
	}
	return f.lastFailure.Sub(later(f.failingSince, f.available.to)) > minOutage
}

// Steady returns how long the store has answered this router or others without an
// outage. If only this router was cut off from the store, the store had no outage.
func (f *Feed) Steady() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inOutage() {
		return 0
	}
	return time.Since(f.sinceReturn(f.available).from)
}
