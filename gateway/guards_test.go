package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// misdirected answers like a replica that has the address of one that is gone.
func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// An address that belongs to another upstream answers 421 to every request until
// the old entry is gone, which can take seconds. Without a long backoff each request
// would try it again.
func TestUpstreamAtWrongAddressIsKeptOutOfPlacement(t *testing.T) {
	const laterThanRefusalBackoff = 5 * time.Second
	for _, c := range []struct {
		name    string
		handle  http.HandlerFunc
		wantOut bool
	}{
		{"wrong host", misdirected, true},
		{"refused", refusing, false},
	} {
		gone := newReplica(t, "i-gone", c.handle)
		f := newFixture(t, gone)
		response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, 1, gone.runs.Load())
		key := gone.upstreamKey()
		records := []eject.Record{f.gateway.Board().Status(key).Failures, {}}
		weight := eject.Weights(eject.Options{}, laterThanRefusalBackoff, records)[0]
		must.Eq(t, c.wantOut, weight == 0, must.Sprint(c.name))
	}
}

// An upstream resets connections beyond its limit, which breaks off requests that
// are already being sent. The router refuses them before they are sent.
func TestConnectionsToAnUpstreamAreLimited(t *testing.T) {
	const limit = 4
	entered, release := make(chan struct{}, 2*limit), make(chan struct{})
	var slow *replica
	slow = newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if slow.runs.Load() <= limit {
			entered <- struct{}{}
			<-release
		}
		answering("ok")(w, r)
	})
	f := newFixture(t, slow)
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 2, Routes: defaultRoutes(),
		Services:  []routing.Service{{Name: "s", MaxConnections: limit}},
		Limits:    routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
	var callers sync.WaitGroup
	for range limit {
		callers.Go(func() {
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode)
		})
	}
	for range limit {
		<-entered
	}
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, limit, slow.runs.Load())
	close(release)
	callers.Wait()
}

// An upstream identifies a repeat by the attempt's id, and its answers by the same.
func TestAttemptIDReachesTheUpstream(t *testing.T) {
	one := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, one)
	request := f.newRequest(t, http.MethodPost, "/once/", "{}")
	request.Header.Set(attemptID, "attempt-7")
	f.do(t, request)
	must.Len(t, 1, one.requests())
	must.Eq(t, "attempt-7", one.requests()[0].Header.Get(attemptID))
}
