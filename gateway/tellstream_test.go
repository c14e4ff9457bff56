package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// Guards against streams that other routers hear of too late, or too often: each must be told once,
// before its first event is delivered, and only while its service has several versions.
func TestStreamIsToldAtItsFirstEvent(t *testing.T) {
	var mu sync.Mutex
	var told [][]gateway.Stream
	streaming := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 4)
	}
	one, two := newReplica(t, "i-1", streaming), newReplica(t, "i-2", streaming)
	two.version = "v2"
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.TellStreams = func(home uint64, streams []gateway.Stream) {
			mu.Lock()
			defer mu.Unlock()
			must.Eq(t, streams[len(streams)-1].Attempt, home)
			told = append(told, streams)
		}
	}, one)
	call := func(path, attempt string) {
		r := f.newRequest(t, http.MethodPost, path, "{}")
		r.Header.Set(attemptID, attempt)
		response, _ := f.do(t, r)
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	call("/resume/", "a")
	must.Len(t, 0, told) // one version only
	f.setUpstreams(one, two)
	call("/stream/", "b")
	call("/safe/", "c")
	must.Len(t, 0, told) // nobody can take them up
	call("/resume/", "d")
	must.Len(t, 1, told)
	must.Eq(t, gateway.StreamKey("d"), told[0][0].Attempt)
	version, known := f.gateway.Streams().Version(gateway.StreamKey("d"))
	must.True(t, known)
	must.Eq(t, version, told[0][0].Version)
}
