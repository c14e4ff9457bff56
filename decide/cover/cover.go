// Package cover decides whether a router knows of all streams that the routers of its fleet have begun.
//
// Each router promises the others, for a short time, to tell them of a stream before it delivers the
// stream's first event. A router to which all others have promised so, from their start or from the time
// at which it received all of their earlier records, knows of every stream. It still does after one of
// them has ended, if the promise held until the end was noticed. It does not know what a router began that
// fell silent for longer than its promise.
//
// The package has no clock, and its types are not for concurrent use. A router is identified by its
// address, and one process at that address by its incarnation.
package cover

import (
	"cmp"
	"slices"
	"time"
)

// Promises are the promises of the other routers to this one.
type Promises struct {
	memory    time.Duration
	joining   time.Duration
	openUntil time.Time
	routers   map[string]*promise
}

// promise is what is known of one other router.
type promise struct {
	incarnation uint64 // 0: none was heard from
	previous    uint64 // the incarnation before; what it has sent may arrive late
	until       time.Time
	ended       bool // the process has ended, and all streams that it began are known
	gone        bool // it did not answer any more while its promise held, and may have ended
	listed      bool
	heard       time.Time // when the router was last heard from; before, when it was first listed
}

// NewPromises returns what a router knows when it starts. memory is how long streams matter after
// their first event, and joining the time within which a new router is heard from: one that is listed
// for longer may have run before under another incarnation. whole states that there are no earlier
// streams, as at the first start of a fleet.
func NewPromises(now time.Time, memory, joining time.Duration, whole bool) *Promises {
	p := &Promises{memory: memory, joining: joining, routers: make(map[string]*promise)}
	if !whole {
		p.Open(now)
	}
	return p
}

// Open records that streams may be unknown that began until now.
func (p *Promises) Open(now time.Time) {
	if until := now.Add(p.memory); until.After(p.openUntil) {
		p.openUntil = until
	}
}

// SetRouters sets the addresses of the other routers that are registered.
func (p *Promises) SetRouters(now time.Time, addresses []string) {
	for _, r := range p.routers {
		r.listed = false
	}
	for _, address := range addresses {
		p.router(now, address).listed = true
	}
	p.expire(now)
}

// router returns the state of a router.
func (p *Promises) router(now time.Time, address string) *promise {
	r := p.routers[address]
	if r == nil {
		r = &promise{heard: now}
		p.routers[address] = r
	}
	return r
}

// expire removes routers that are not registered and were not heard from for the time of memory.
func (p *Promises) expire(now time.Time) {
	for address, r := range p.routers {
		if !r.listed && p.isPast(now, r) {
			delete(p.routers, address)
		}
	}
}

// isPast reports whether a router has been silent for so long that what it began does not matter any more.
func (p *Promises) isPast(now time.Time, r *promise) bool {
	return now.Sub(r.heard) > p.memory && now.Sub(r.until) > p.memory
}

// Heard records that an incarnation of a router runs; 0 if it does not say which, as those that make no
// promises. An earlier one has ended then.
func (p *Promises) Heard(now time.Time, address string, incarnation uint64) {
	p.expire(now)
	r := p.router(now, address)
	if incarnation == 0 {
		r.heard, r.ended = now, false
		return
	}
	if incarnation == r.previous {
		return
	}
	if r.incarnation != 0 && r.incarnation != incarnation {
		if !r.gone {
			p.end(now, r)
		}
	} else if r.incarnation == 0 && now.Sub(r.heard) > p.joining {
		p.Open(now)
	}
	r.heard, r.gone = now, false
	if incarnation == r.incarnation {
		r.ended = false // it did not answer for a while
		return
	}
	r.previous, r.incarnation, r.until, r.ended = r.incarnation, incarnation, time.Time{}, false
}

// Promised records that a router has promised, in its answer to a question of asked, to tell of each
// stream for a time from then on. This router has all of its records until then, unless Open says so.
func (p *Promises) Promised(now time.Time, address string, incarnation uint64, asked time.Time, validity time.Duration) {
	p.Heard(now, address, incarnation)
	r := p.routers[address]
	if until := asked.Add(validity); r.incarnation == incarnation && until.After(r.until) {
		r.until = until
	}
}

// Ended records that the process of a router has ended.
func (p *Promises) Ended(now time.Time, address string) {
	if r := p.routers[address]; r != nil {
		p.end(now, r)
		r.ended = true
	}
}

// Gone records that the process of a router has ended or is cut off. If it turns out that another
// incarnation has followed, it had ended by now.
func (p *Promises) Gone(now time.Time, address string) {
	if r := p.routers[address]; r != nil && r.incarnation != 0 && !now.After(r.until) {
		r.gone = true
	}
}

// end records that the process of a router has ended by now. If its promise does not hold any more, it
// may have begun streams that are unknown.
func (p *Promises) end(now time.Time, r *promise) {
	if !r.ended && now.After(r.until) {
		p.Open(now)
	}
}

// Complete reports whether this router knows of all streams that a caller can take up now, but for those
// that the router at except has begun itself.
func (p *Promises) Complete(now time.Time, except string) bool {
	if now.Before(p.openUntil) {
		return false
	}
	for address, r := range p.routers {
		if address != except && !r.ended && now.After(r.until) && !p.isPast(now, r) {
			return false
		}
	}
	return true
}

// Ended is a process that has ended, and whose streams are all known.
type Ended struct {
	Address     string
	Incarnation uint64 // 0 if it was not heard from
}

// Routers returns the addresses of the routers of which this one keeps track: those that run as far as it
// knows, and those that have ended. Both are sorted.
func (p *Promises) Routers() (running []string, ended []Ended) {
	for address, r := range p.routers {
		if r.ended {
			ended = append(ended, Ended{Address: address, Incarnation: r.incarnation})
		} else {
			running = append(running, address)
		}
	}
	slices.Sort(running)
	slices.SortFunc(ended, func(a, b Ended) int { return cmp.Compare(a.Address, b.Address) })
	return running, ended
}

// Inherit records that this router has all records of another one, whose knowledge was complete when it
// sent them. running and ended are the routers of which that one keeps track. It reports whether this
// router lacks nothing of the past by that: it keeps track of no router that the other one does not know.
func (p *Promises) Inherit(now time.Time, from string, running []string, ended []Ended) bool {
	hasEnded := func(address string) bool {
		return slices.ContainsFunc(ended, func(e Ended) bool { return e.Address == address })
	}
	for address, r := range p.routers {
		if address != from && !p.isPast(now, r) && !slices.Contains(running, address) && !hasEnded(address) {
			return false
		}
	}
	p.openUntil = time.Time{}
	for _, e := range ended {
		if r := p.routers[e.Address]; r != nil && (r.incarnation == 0 || r.incarnation == e.Incarnation) {
			r.ended = true
		}
	}
	return true
}
