package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

// pausing answers after a silence that is longer than maxSilence: streams send events
// 1 and 2 before it and events 3 and 4 after it.
func pausing(w http.ResponseWriter, r *http.Request) {
	const pause = 1500 * time.Millisecond
	_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice when the client disconnects
	w.Header().Set(signature, "first")
	if r.URL.Path == "/resume/" {
		events(w, 1, 2)
	}
	select {
	case <-r.Context().Done():
	case <-time.After(pause):
		events(w, 3, 4)
	}
}

// breakingOff accepts a request and ends its answer without any event.
func breakingOff(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(signature, "second")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// An upstream falls silent for a while and no other one can take its place. The request
// must keep its connection to the silent upstream and get the whole answer, instead of
// being cut or failed because of the silence.
func TestSilenceDoesNotEndAnAnswerThatNoOtherUpstreamContinues(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   http.HandlerFunc
		leaving bool // the other upstream accepts no new work
	}{
		{"the other upstream refuses", refusing, false},
		{"the other upstream resets the connection", resetting, false},
		{"the other upstream breaks off", breakingOff, false},
		{"the other upstream fails", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(signature, "second")
			w.WriteHeader(http.StatusInternalServerError)
		}, false},
		{"the other upstream is leaving", resuming, true},
	} {
		for path, want := range map[string]string{
			"/resume/": "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n",
			"/safe/":   "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n",
		} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				silent, other := newReplica(t, "i-silent", pausing), newReplica(t, "i-other", c.other)
				f := newFixture(t, silent)
				go func() { // list the other upstream once the silent one has the request
					for silent.runs.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					second := other.upstream()
					if c.leaving {
						second.State = catalog.StateLeaving
					}
					f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{silent.upstream(), second}))
				}()
				response, body := f.do(t, f.newRequest(t, http.MethodPost, path, "{}"))
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, "first", response.Header.Get(signature))
				must.Eq(t, want, body)
				must.Eq(t, 1, silent.runs.Load())
			})
		}
	}
}

// The upstream goes on while a standby attempt has nothing to deliver yet. The answer must
// come from the upstream alone, and the standby attempt must be canceled: otherwise events
// are delivered twice, or two upstreams work on the request.
func TestStandbyAttemptIsCanceledWhenTheUpstreamGoesOn(t *testing.T) {
	canceled := make(chan struct{})
	silent := newReplica(t, "i-silent", pausing)
	other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(signature, "second")
		_, _ = io.WriteString(w, "id: 3\nda") // no whole event
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(canceled)
	})
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	_, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
	must.Eq(t, 1, other.runs.Load())
	<-canceled
}

// The silent upstream breaks off while a standby attempt is in progress. That attempt must
// continue the stream: another one would exceed the attempts that the route allows.
func TestStandbyAttemptContinuesAfterTheUpstreamBreaksOff(t *testing.T) {
	asked := make(chan struct{})
	silent := newReplica(t, "i-silent", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "first")
		events(w, 1, 2)
		<-asked
		panic(http.ErrAbortHandler)
	})
	other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		time.Sleep(300 * time.Millisecond) // until after the silent upstream has broken off
		resuming(w, r)
	})
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "first", response.Header.Get(signature))
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
	must.Eq(t, 1, other.runs.Load())
}

// listLater lists the other upstream once the first one has a request.
func listLater(f *fixture, first, other *replica) {
	for first.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.setUpstreams(first, other)
}
