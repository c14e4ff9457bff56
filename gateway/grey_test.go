package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Pattern: a replica fails half of its requests while its health check passes, and
// all replicas fail some. Requests that must not be repeated go to the others.
func TestReplicaThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	every := func(n int64) http.HandlerFunc {
		var count atomic.Int64
		return func(w http.ResponseWriter, r *http.Request) {
			if count.Add(1)%n == 0 {
				failing(500)(w, r)
				return
			}
			answering("ok")(w, r)
		}
	}
	grey, one, two := newReplica(t, "i-grey", every(2)), newReplica(t, "i-1", every(20)), newReplica(t, "i-2", every(20))
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
