package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

// A replica fails half of its requests while its health check passes, and all
// replicas fail some. Requests that must not be repeated are routed to the others.
func TestUpstreamThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	failEvery := func(n int64, fail http.HandlerFunc) http.HandlerFunc {
		var count atomic.Int64
		return func(w http.ResponseWriter, r *http.Request) {
			if count.Add(1)%n == 0 {
				fail(w, r)
				return
			}
			answering("ok")(w, r)
		}
	}
	flaky, one, two := newReplica(t, "i-grey", failEvery(2, failing(500))), newReplica(t, "i-1", failEvery(20, failing(500))), newReplica(t, "i-2", failEvery(20, failing(500)))
	f := newFixture(t, flaky, one, two)
	send := func(n int) {
		for range n {
			f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
		}
	}
	send(60)
	before := flaky.runs.Load()
	send(60) // a third of them would go to the flaky replica if its failures were not counted
	must.Less(t, 8, flaky.runs.Load()-before)
	must.Greater(t, 0, one.runs.Load())
	must.Greater(t, 0, two.runs.Load())
}

// A failure answer of a plain upstream and a connection that it reset during a
// request count as its failures, which are reported to other routers; a refusal
// does not.
func TestFailuresOfPlainUpstreamsAreCounted(t *testing.T) {
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
			f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
			counts := f.gateway.Board().AnswerCounts(catalog.Key{ID: "i-1"})
			must.InDelta(t, c.failures, counts.Failures, 0.1)
		})
	}
}

// A failure answer may only be dropped for a retry if there is an upstream to retry at.
// Otherwise the caller would get an error of the router instead of the upstream's answer.
func TestFailureAnswerIsDeliveredWithoutAnUpstreamToRetryAt(t *testing.T) {
	failing := newReplica(t, "i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		w.WriteHeader(http.StatusInternalServerError)
	})
	leaving := newReplica(t, "i-2", answering("ok"))
	f := newFixture(t, failing)
	second := leaving.upstream()
	second.State = catalog.StateLeaving
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{failing.upstream(), second}))
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
	must.Eq(t, http.StatusInternalServerError, response.StatusCode)
	must.Eq(t, "sig", response.Header.Get(signature))
}
