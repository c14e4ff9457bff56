package gateway_test

import (
	"net/http"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

// leavingHeader is the header by which an upstream says that it leaves.
const leavingHeader = "Server-Leaving"

func sayingThatItLeaves(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(leavingHeader, "1")
		handle(w, r)
	}
}

// An upstream says in an answer that it leaves while its entry is still ready. Requests
// sent to it from then on would be lost when it ends.
func TestUpstreamThatSaysThatItLeavesGetsNoNewRequests(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handle     http.HandlerFunc
	}{
		{"success", "/once/", answering("ok")},
		{"refusal", "/safe/", refusing},
		{"failure", "/safe/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(signature, "sig")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{"stream", "/resume/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(signature, "sig")
			events(w, 1, 2)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			leaving := newReplica(t, "i-leaving", sayingThatItLeaves(c.handle))
			other := newReplica(t, "i-other", answering("ok"))
			f := newFixture(t, leaving)
			f.do(t, f.newRequest(t, http.MethodPost, c.path, "{}"))
			must.Eq(t, 1, leaving.runs.Load())
			f.setUpstreams(leaving, other)
			f.setUpstreams(other)          // the entry lapses
			f.setUpstreams(leaving, other) // and is written again, still ready
			for range 10 {
				f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
			}
			must.Eq(t, 1, leaving.runs.Load())
			must.Eq(t, 10, other.runs.Load())
			restarted := leaving.upstream()
			restarted.Born = 2
			f.gateway.SetCatalog(catalog.New(3, []catalog.Upstream{restarted}))
			f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
			must.Eq(t, 2, leaving.runs.Load()) // a new process under the same id
		})
	}
}

// An answer from an address that now belongs to another upstream says nothing of the one
// that was expected there.
func TestMisdirectedAnswerDoesNotMarkAsLeaving(t *testing.T) {
	gone := newReplica(t, "i-gone", sayingThatItLeaves(misdirected))
	f := newFixture(t, gone)
	f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.False(t, f.gateway.Leaving().Has(gone.upstreamKey()))
}
