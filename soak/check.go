package soak

import (
	"fmt"
	"net/http"
	"strings"

	"dandelionrill.example/standin/replica"
)

// check compares what callers were told with what the upstreams ran.
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
	s.checkDepartures()
	s.logf("%d requests, %d served, %d runs, %d planned stops", len(outcomes), served, total, len(s.stops))
	if served < len(outcomes)/4 {
		s.violation("RECOVER", "all", "%d of %d requests served", served, len(outcomes))
	}
}

func (s *Soak) checkOutcome(o *outcome, runs []replica.Run) {
	if (o.kind == "/once/" || o.kind == "/stream/") && len(runs) > 1 {
		s.violation("TWICE", o.attempt, "%d runs of %s", len(runs), o.kind)
	}
	if o.answered() && promisesNotRun(o.status) && len(runs) > 0 {
		s.violation("REFUSED", o.attempt, "%d says not run, and it ran %d times", o.status, len(runs))
	}
	if !o.answered() && len(runs) > 0 && s.cutByPlannedStop(o) {
		s.violation("LOST", o.attempt, "%s cut by a planned stop: %v", o.kind, o.err)
	}
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// cutByPlannedStop tells whether a request lay within a calm time and its
// router was being stopped as planned.
func (s *Soak) cutByPlannedStop(o *outcome) bool {
	if strings.Contains(fmt.Sprint(o.err), "Client.Timeout") {
		return false // the caller gave up
	}
	for _, stop := range s.stops {
		if stop.router == o.router && o.ended.After(stop.from) && !o.ended.After(stop.to) {
			for _, calm := range s.calm {
				if o.begun.After(calm.from) && !o.ended.After(calm.to) {
					return true
				}
			}
		}
	}
	return false
}

// checkDepartures finds runs that an upstream began after it had left.
func (s *Soak) checkDepartures() {
	for _, d := range s.departures {
		for _, run := range d.up.replica.Runs() {
			if run.At.After(d.up.left.Add(leavingBound)) && run.At.Before(d.to) {
				s.violation("DRAIN", run.Attempt, "run at %s %v after it left", d.up.id, run.At.Sub(d.up.left))
			}
		}
	}
}
