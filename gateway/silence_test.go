package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hanging sends events 1 and 2 of streams and nothing of other answers, and then
// keeps the connection open, as one to a host without power looks.
func hanging(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client leaves
	if r.URL.Path != "/safe/" && r.URL.Path != "/once/" {
		w.Header().Set(signature, "first")
		events(w, 1, 2)
	}
	<-r.Context().Done()
}

func goingOn(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(signature, "second")
	if r.Header.Get("Last-Event-Id") == "2" {
		events(w, 3, 4)
	}
}

// Crowd of requests while a replica is dark: those that may be repeated end at
// another one, without waiting for their deadline.
func TestRequestsLeaveASilentUpstream(t *testing.T) {
	for _, c := range []struct {
		name, path string
		status     int
		body       string
		others     int64 // runs at the other upstream
	}{
		{"resumable stream", "/resume/", 200, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", 1},
		{"safe", "/safe/", 200, "", 1},
		{"once", "/once/", 504, "timeout\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dark, other := newReplica(t, "i-dark", hanging), newReplica(t, "i-other", goingOn)
			f := newFixture(t, dark)
			r := f.request(t, http.MethodPost, c.path, "{}")
			r.Header.Set(deadline, "3000")
			go func() { // the other upstream comes once the dark one has the request
				for dark.runs.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				f.list(dark, other)
			}()
			response, body := f.do(t, r)
			must.Eq(t, c.status, response.StatusCode)
			must.Eq(t, c.body, body)
			must.Eq(t, c.others, other.runs.Load())
		})
	}
}

// Once an upstream is silent, new requests go elsewhere, also those whose shared
// prompt it holds.
func TestSilentUpstreamTakesNoNewRequests(t *testing.T) {
	dark, other := newReplica(t, "i-dark", hanging), newReplica(t, "i-other", goingOn)
	f := newFixture(t, dark)
	for range 2 { // one stream alone may be a long prompt that is being read
		response, err := f.server.Client().Do(f.request(t, http.MethodPost, "/stream/", "{}"))
		must.NoError(t, err)
		defer response.Body.Close()
	}
	time.Sleep(500 * time.Millisecond) // more than the silence that counts as a fault
	f.list(dark, other)
	before := dark.runs.Load()
	for i := range 50 {
		r := f.request(t, http.MethodPost, "/stream/", "{}")
		r.Header.Set(parts, fmt.Sprintf("%x:100,ff:10", i))
		r.Header.Set(deadline, "300") // at the dark one it would end so
		f.do(t, r)
	}
	must.Eq(t, before, dark.runs.Load())
	must.Eq(t, 50, other.runs.Load())
}

// A slow answer is waited for where no other attempt is possible.
func TestLastAttemptIsNotTakenFromASilentUpstream(t *testing.T) {
	for _, c := range []struct {
		name, path string
		others     bool
	}{
		{"one attempt allowed", "/single/", true},
		{"no other upstream", "/safe/", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			slow := newReplica(t, "i-slow", func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(1300 * time.Millisecond) // more than the longest silence
				answering("ok")(w, r)
			})
			f := newFixture(t, slow)
			if c.others {
				f.list(slow, newReplica(t, "i-other", slow.server.Config.Handler.ServeHTTP))
			}
			response, body := f.do(t, f.request(t, http.MethodGet, c.path, ""))
			must.Eq(t, 200, response.StatusCode)
			must.Eq(t, "ok", body)
		})
	}
}
