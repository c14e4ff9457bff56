package router

import (
	"context"
	"testing"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/shoenig/test/must"
)

// TestCandidatesEjectWithinLimit checks that hosts that failed are ejected
// within the limit and return at a low weight, and that leaving hosts are
// excluded regardless of the limit.
func TestCandidatesEjectWithinLimit(t *testing.T) {
	now := time.Hour
	b := board.NewWithClock(func() time.Duration { return now })
	var hosts []store.Host
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		hosts = append(hosts, store.Host{Name: name, Role: store.RoleAgent, Service: "model", Address: name, State: store.HostLive})
	}
	hosts[3].State = store.HostLeaving
	b.ObserveHostList(hosts)
	r := &Router{opts: Options{Board: b}}
	weights := func() (ws []float64) {
		for _, c := range r.candidates()["model"] {
			ws = append(ws, c.Weight)
		}
		return ws
	}
	must.Eq(t, []float64{1, 1, 1}, weights())
	r.ejections.recordFailure("e1", now)
	must.Eq(t, []float64{0, 1, 1}, weights())
	now += time.Second
	r.ejections.recordFailure("e2", now) // only one of three may be ejected: the earlier one is readmitted
	must.Eq(t, []float64{0.1, 0, 1}, weights())
	now += time.Minute
	must.Eq(t, []float64{1, 1, 1}, weights())
	b.ObservePeer(board.Evidence{Host: "e3", Kind: board.EvidenceRefused})
	must.Eq(t, []float64{1, 1, 0}, weights())
}

// TestFinalAttemptMayQueue checks that an attempt may queue if no other can
// follow: the last one of MaxAttempts, or the last one that the retry budget
// allows.
func TestFinalAttemptMayQueue(t *testing.T) {
	candidates := []place.Candidate{{Host: "e1", Weight: 1}, {Host: "e2", Weight: 1}, {Host: "e3", Weight: 1}, {Host: "e4", Weight: 1}}
	for _, tc := range []struct {
		burst float64
		want  []bool
	}{{9, []bool{false, false, true}}, {1, []bool{false, true}}, {0.5, []bool{true}}} {
		r := &Router{
			opts:    Options{}.withDefaults(),
			budgets: map[string]*retry.Budget{"model": retry.NewBudget(retry.Options{Ratio: 0.001, Burst: tc.burst})},
		}
		var got []bool
		q := &request{service: &config.Service{ID: "model"}, customer: &config.Customer{}, idempotent: true}
		snapshot := &serviceSnapshot{picker: place.NewPicker(place.Options{LoadMultiple: 2}, candidates)}
		r.snapshots.Store(&snapshots{"model": snapshot})
		upstreams := &upstreamIterator{router: r, request: q, snapshot: snapshot, allowed: snapshot.picker.Allow(func(place.Candidate) bool { return true })}
		err := r.tryUpstreams(context.Background(), q, upstreams, func(_ place.Candidate, mayQueue bool) error {
			got = append(got, mayQueue)
			return &refusedError{reason: wire.ReasonOverload}
		})
		must.Error(t, err)
		must.Eq(t, tc.want, got)
	}
}
