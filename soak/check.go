package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dandelionrill.example/standin/replica"
)

// check compares the outcomes that callers observed with the runs that the
// upstreams recorded.
func (s *Soak) check() {
	runs := make(map[string][]replica.Run)
	total := 0
	for _, u := range s.fleet.upstreams {
		for _, run := range u.replica.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], run)
			total++
		}
	}
	s.mu.Lock()
	outcomes := s.outcomes
	s.mu.Unlock()
	served := 0
	for i := range outcomes {
		o := &outcomes[i]
		if o.answered() && o.status == http.StatusOK {
			served++
		}
		s.checkOutcome(o, runs[o.attempt])
	}
	s.checkDrains()
	byAttempt := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		byAttempt[outcomes[i].attempt] = &outcomes[i]
	}
	s.checkLeaving(byAttempt)
	s.checkBudget(byAttempt)
	for _, phase := range s.crashing {
		s.checkCrashingWork(phase, byAttempt)
	}
	for _, phase := range s.limited {
		s.checkLimits(phase, outcomes, byAttempt)
	}
	for _, phase := range s.taking {
		s.checkTakenUp(phase, outcomes)
	}
	for _, phase := range s.restarts {
		s.checkRestart(phase, outcomes)
	}
	for _, c := range s.cold {
		s.checkCold(c)
	}
	for _, phase := range s.evacuation {
		s.checkEvacuation(phase, outcomes)
	}
	for _, phase := range s.pressed {
		s.checkQueue(phase, outcomes, runs)
	}
	s.logf("%d requests, %d served, %d runs, %d graceful shutdowns", len(outcomes), served, total, len(s.shutdowns))
	if served < len(outcomes)/4 {
		s.addViolation("RECOVER", "all", "only %d of %d requests were served", served, len(outcomes))
	}
}

func (s *Soak) checkOutcome(o *outcome, runs []replica.Run) {
	for _, run := range runs {
		if len(run.Customers) != 1 || run.BodyBytes != len(requestBody) {
			s.addViolation("UNASKED", o.attempt, "request to %s ran for customers %q, with a body of %d bytes", o.route, run.Customers, run.BodyBytes)
		}
	}
	if (o.route == "/once/" || o.route == "/stream/" || o.route == bookRoute) && len(runs) > 1 {
		s.addViolation("TWICE", o.attempt, "%d runs of a request to %s", len(runs), o.route)
	}
	if o.answered() && meansNotRun(o.status) && len(runs) > 0 {
		s.addViolation("REFUSED", o.attempt, "status %d says that the request did not run, but it ran %d times", o.status, len(runs))
	}
	if !o.answered() && (len(runs) > 0 || o.finished.Sub(o.started) > crossingLimit) && s.interruptedByShutdown(o) {
		s.addViolation("LOST", o.attempt, "request to %s%s, %d runs, was interrupted after %v by a graceful shutdown: %v",
			o.route, o.path, len(runs), o.finished.Sub(o.started).Round(time.Millisecond), o.err)
	}
	if s.spoiledByOne(o) {
		s.addViolation("LOST", o.attempt, "request to %s%s ended after %v with status %d, although only one upstream spoiled its answers: %v",
			o.route, o.path, o.finished.Sub(o.started).Round(time.Millisecond), o.status, o.err)
	}
	if o.endedEarly() && within(o, s.silent) {
		s.addViolation("LOST", o.attempt, "request to %s%s ended after %v with status %d, although upstreams were at most silent for a while: %v",
			o.route, o.path, o.finished.Sub(o.started).Round(time.Millisecond), o.status, o.err)
	}
}

// crossingLimit is the time after its sending in which a request may cross the close of
// its connection, unless it was run.
const crossingLimit = 200 * time.Millisecond

// meansNotRun reports whether the status guarantees that the request did not run.
func meansNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// interruptedByShutdown reports whether a request started and ended in one fault-free
// phase, and ended while its router was shutting down gracefully.
func (s *Soak) interruptedByShutdown(o *outcome) bool {
	if strings.Contains(fmt.Sprint(o.err), "Client.Timeout") {
		return false // the caller timed out
	}
	for _, shutdown := range s.shutdowns {
		if shutdown.router == o.router && o.finished.After(shutdown.from) && !o.finished.After(shutdown.to) {
			if within(o, s.faultFree) {
				return true
			}
		}
	}
	return false
}

// within reports whether the request started and ended in one of the phases.
func within(o *outcome, phases []period) bool {
	return slices.ContainsFunc(phases, func(p period) bool { return o.started.After(p.from) && !o.finished.After(p.to) })
}

// deadlineMargin is the time before a deadline in which a request counts as ended by it.
const deadlineMargin = 100 * time.Millisecond

// endedEarly reports whether the request ended without an answer, or as failed, before
// its deadline.
func (o *outcome) endedEarly() bool {
	if o.answered() && o.status != http.StatusBadGateway {
		return false
	}
	return o.finished.Sub(o.started) < o.deadline-deadlineMargin
}

// checkDrains finds runs that an upstream received more than drainLimit after
// it was marked as leaving, within the same fault-free phase.
func (s *Soak) checkDrains() {
	for _, drain := range s.drains {
		for _, run := range drain.upstream.replica.Runs() {
			if run.At.After(drain.upstream.drainingSince.Add(drainLimit)) && run.At.Before(drain.until) {
				s.addViolation("DRAIN", run.Attempt, "%s received a request %v after it was marked as leaving", drain.upstream.id, run.At.Sub(drain.upstream.drainingSince))
			}
		}
	}
}
