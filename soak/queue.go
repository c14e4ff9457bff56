package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
)

// The pool of docs/design/load-and-recovery.md: three upstreams with 6 slots, requests of 60 ms
// with an objective of 300 ms and a deadline of 4 s. Each upstream queues 24 requests, of which
// routers are to use poolQueueShare of its slots.
const (
	poolService    = "pool"
	poolUpstreams  = 3
	poolSlots      = 6
	poolQueue      = 24
	poolWork       = 60 * time.Millisecond
	poolTarget     = 300 * time.Millisecond
	poolDeadline   = 4 * time.Second
	poolQueueShare = 0.5
	otherKey       = "soak-other-key" // of the second customer
	bookRoute      = "/book/"         // its requests may not be repeated
	findRoute      = "/find/"         // its requests may
)

var poolRoutes = []wire.Route{
	{Prefix: bookRoute, Kind: wire.RouteNonIdempotent, Service: poolService, Target: poolTarget},
	{Prefix: findRoute, Kind: wire.RouteIdempotent, Service: poolService, Target: poolTarget, Priority: 1},
}

const (
	// queueTime is how long there are more requests than slots.
	queueTime = 6 * time.Second
	// queueCallers are at least, and at most twice as many.
	queueCallers = 60
	queuePause   = 100 * time.Millisecond
	// queueSettles is the time from the begin of a load in which each router learns of that of others.
	queueSettles = time.Second
	// atOnce is the time of a refusal that does not wait.
	atOnce = 500 * time.Millisecond
)

// queuePhase is a phase in which a pool had more requests than slots.
type queuePhase struct {
	period
	restarted int    // router; -1 if none was
	failing   period // in which an upstream resets its connections, or all refuse; zero if there was none
	reset     bool
}

func (f *fleet) addPoolUpstream() error {
	_, err := f.add(poolService, replica.Options{Slots: poolSlots, Queue: poolQueue, EventInterval: poolWork}, 0)
	return err
}

// runQueuePhase sends more requests to the pool than it has slots, of two customers and with
// different deadlines. In two of three cases a router is restarted meanwhile, and in two of three an
// upstream of the pool resets its connections, or all of them refuse. It records the phase for check.
func (s *Soak) runQueuePhase() {
	phase := &queuePhase{period: period{from: time.Now()}}
	callers := queueCallers + s.random.IntN(queueCallers)
	end := s.startLoad(callers, queuePause, func(random *rand.Rand) outcome {
		o := outcome{route: bookRoute, deadline: poolDeadline}
		if random.IntN(2) == 0 {
			o.route = findRoute
		}
		if random.IntN(3) == 0 {
			o.deadline = poolTarget + time.Duration(random.Int64N(int64(poolDeadline-poolTarget)))
		}
		if random.IntN(2) == 0 {
			o.key = otherKey
		}
		return o
	})
	phase.restarted = s.restartOne(queueTime / 2)
	time.Sleep(queueTime / 2)
	pool := s.fleet.pool()
	if kind := s.random.IntN(3); kind > 0 {
		phase.failing.from, phase.reset = time.Now(), kind == 1
		s.logf("the pool fails, by resets: %v", phase.reset)
		failing := pool[s.random.IntN(len(pool))]
		if phase.reset {
			failing.proxy.SetMode(ModeReset)
		} else {
			setFull(pool, true)
		}
		time.Sleep(queueTime / 4)
		failing.proxy.SetMode(ModePass)
		setFull(pool, false)
		phase.failing.to = time.Now()
	}
	time.Sleep(time.Until(phase.from.Add(queueTime)))
	end()
	phase.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressed = append(s.pressed, phase)
}

// pool returns the upstreams of the pool.
func (f *fleet) pool() (pool []*upstream) {
	for _, u := range f.upstreams {
		if u.service == poolService {
			pool = append(pool, u)
		}
	}
	return pool
}

// settled reports whether the routers know at a time of the phase what others send: each
// begins to use half of a pool that nobody used before.
func (p *queuePhase) settled(at time.Time) bool {
	return period{p.from.Add(queueSettles), p.to}.has(at) && !period{p.failing.from, p.failing.to.Add(queueSettles)}.has(at)
}

// checkQueue checks that each request is served, or refused with a reason and a Retry-After, by
// its deadline; that none runs twice; and that upstreams hold no more than their slots and
// the queue that routers may use. While an upstream resets its connections, requests may fail.
func (s *Soak) checkQueue(phase *queuePhase, outcomes []outcome, runs map[string][]replica.Run) {
	count := make(map[int]int)
	for i := range outcomes {
		o := &outcomes[i]
		if o.route != bookRoute && o.route != findRoute || !within(o, []period{{phase.from, phase.to.Add(time.Second)}}) {
			continue
		}
		count[o.status]++
		took := o.finished.Sub(o.started)
		mayFail := phase.reset && o.finished.After(phase.failing.from) && o.started.Before(phase.failing.to) || o.router == phase.restarted
		switch _, unreadable := strconv.ParseFloat(o.wait, 64); {
		case o.status == http.StatusServiceUnavailable && (unreadable != nil || o.reason == ""):
			s.addViolation("QUEUE", o.attempt, "refused with the reason %q and Retry-After %q", o.reason, o.wait)
		case o.status == http.StatusServiceUnavailable && took > o.deadline:
			s.addViolation("QUEUE", o.attempt, "refused after %v, later than its deadline of %v: %s", took, o.deadline, o.reason)
		case !mayFail && (!o.answered() || o.status != http.StatusOK && o.status != http.StatusServiceUnavailable):
			s.addViolation("QUEUE", o.attempt, "request to %s with a deadline of %v ended after %v with status %d: %v %s", o.route, o.deadline, took, o.status, o.err, o.reason)
		case !mayFail && len(runs[o.attempt]) > 1:
			s.addViolation("TWICE", o.attempt, "%d runs of a request to %s", len(runs[o.attempt]), o.route)
		}
	}
	for _, u := range s.fleet.pool() {
		most, last := 0, ""
		for _, run := range u.replica.Runs() {
			if phase.settled(run.At) && run.Held > most {
				most, last = run.Held, run.Attempt
			}
		}
		s.logf("%s: at most %d requests at a time", u.id, most)
		if float64(most) > poolSlots*(1+poolQueueShare) {
			s.addViolation("HELD", last, "%s had %d requests at a time, with %d slots", u.id, most, poolSlots)
		}
	}
	s.logf("requests to the pool by status: %v", count)
}
