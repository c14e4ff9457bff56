package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

// Pattern: a replica fails half of its requests while its health check passes, and
// all replicas fail some. Requests that must not be repeated go to the others.
func TestReplicaThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	every := func(n int64, fails http.HandlerFunc) http.HandlerFunc {
		var count atomic.Int64
		return func(w http.ResponseWriter, r *http.Request) {
			if count.Add(1)%n == 0 {
				fails(w, r)
				return
			}
			answering("ok")(w, r)
		}
	}
	grey, one, two := newReplica(t, "i-grey", every(2, failing(500))), newReplica(t, "i-1", every(20, failing(500))), newReplica(t, "i-2", every(20, failing(500)))
	f := newFixture(t, grey, one, two)
	send := func(n int) {
		for range n {
			f.do(t, f.request(t, http.MethodPost, "/once/", "{}"))
		}
	}
	send(60)
	before := grey.runs.Load()
	send(60) // a third of them without the knowledge
	must.Less(t, 8, grey.runs.Load()-before)
	must.Greater(t, 0, one.runs.Load())
	must.Greater(t, 0, two.runs.Load())
}

// What speaks against a replica at one router is told to the others: a failure of
// its own, and a connection that it reset under a request.
func TestFailuresOfPlainReplicasAreTallied(t *testing.T) {
	for _, c := range []struct {
		name     string
		handle   http.HandlerFunc
		failures float32
	}{
		{"answer", answering("ok"), 0},
		{"failure", failing(500), 1},
		{"reset", resetting, 1},
		{"refusal", refusing, 0}, // it has not run
	} {
		t.Run(c.name, func(t *testing.T) {
			up := newReplica(t, "i-1", c.handle)
			f := newFixture(t, up)
			f.do(t, f.request(t, http.MethodPost, "/once/", "{}"))
			tally := f.gateway.Board().Tally(catalog.Key{ID: "i-1"})
			must.InDelta(t, c.failures, tally.Failures, 0.1)
		})
	}
}
