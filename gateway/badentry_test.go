package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/gateway"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// badNames are names with a control byte, and some that end in whole heads.
func badNames() []string {
	names := []string{"i-1\r\n\r\n", "i-1\r\nDandelionrill-Tenant: other", "i-1\nContent-Length: 0\n\n"}
	for b := range 128 {
		if c := string([]byte{byte(b)}); (b < 32 || b == 127) && b != '\t' {
			names = append(names, c+"i-1", "i"+c+"-1", "i-1"+c)
		}
	}
	return names
}

// Guards against an upstream whose name ends the head of each request to it: requests ran without
// their body or customer. The gateway must not depend on its adapter for that: each request must
// be served by the sound upstream, as it was sent, at most one send must fail for each bad entry,
// and the log must name it once.
func TestUpstreamWithABadNameHarmsNoRequest(t *testing.T) {
	var changed atomic.Int64
	sound := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.ContentLength != 2 || string(body) != "{}" || !slices.Equal(r.Header["Dandelionrill-Tenant"], []string{"c1"}) {
			changed.Add(1)
		}
		answering("data: ok\n\n")(w, r)
	})
	f, lines := newFixtureCountingBadEntries(t, sound)
	names := badNames()
	upstreams := []catalog.Upstream{sound.upstream()}
	for _, name := range names {
		u := sound.upstream()
		u.ID = name
		upstreams = append(upstreams, u)
	}
	for revision := range uint64(2) {
		f.gateway.SetCatalog(catalog.New(1+revision, slices.Clone(upstreams)))
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/", "/prompt/"} {
			for i := range 20 {
				r := f.newRequest(t, http.MethodPost, path, "{}")
				r.Header.Set(attemptID, fmt.Sprint("attempt-", path, i, revision))
				if path == "/prompt/" {
					r.Header.Set(parts, fmt.Sprint(i, ":10,b:1"))
				}
				response, body := f.do(t, r)
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, "data: ok\n\n", body)
			}
		}
	}
	must.Eq(t, 0, changed.Load())
	must.Eq(t, 200, sound.runs.Load())
	must.Eq(t, int64(len(names)), lines.Load())
}

// newFixtureCountingBadEntries is newFixture, with the number of log lines about bad entries.
func newFixtureCountingBadEntries(t *testing.T, replicas ...*replica) (*fixture, *atomic.Int64) {
	t.Helper()
	var lines atomic.Int64
	handler := log.HandlerFunc(func(e *log.Entry) error {
		if strings.Contains(e.Message, "cannot be written into a head") {
			lines.Add(1)
		}
		return nil
	})
	f := newFixtureWith(t, func(o *gateway.Options) { o.Log = &log.Logger{Handler: handler, Level: log.InfoLevel} }, replicas...)
	return f, &lines
}

// If only entries are left that cannot be written into a head, a request is refused at once.
func TestRequestIsRefusedIfAllEntriesAreBad(t *testing.T) {
	f := newFixture(t)
	bad := catalog.Upstream{ID: "i-1\n", Service: "s", Address: "127.0.0.1:1", State: catalog.StateReady}
	f.gateway.SetCatalog(catalog.New(1, []catalog.Upstream{bad}))
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		response, _ := f.do(t, f.newRequest(t, http.MethodPost, path, "{}"))
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NotEq(t, "", response.Header.Get("Retry-After"))
	}
	mended := newReplica(t, "i-1", answering("data: ok\n\n"))
	f.setUpstreams(mended)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// An address may be sound to dial and not in a head: as that of the upstream that has the prompt
// cached. The request must run without it, and the list of that cache is not asked for again.
func TestFetchSourceWithABadAddressIsLeftOut(t *testing.T) {
	near := newReplica(t, "i-1", answering("data: ok\n\n"))
	f, lines := newFixtureCountingBadEntries(t, near)
	far := catalog.Upstream{ID: "i-2", Service: "s", Address: "[::1%lo\r\nX: 1]:1", FailureDomain: "a", State: catalog.StateLeaving}
	f.gateway.SetCatalog(catalog.New(1, []catalog.Upstream{near.upstream(), far}))
	for i := range 10 {
		r := f.newRequest(t, http.MethodPost, "/prompt/", "{}")
		r.Header.Set(attemptID, fmt.Sprint(i))
		r.Header.Set(parts, "a:10000,b:1")
		f.gateway.Prompts().RecordSend(gateway.Placement{Part: xxhash.Sum64String("\x00a"), At: far.Key()})
		response, _ := f.do(t, r)
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	for _, r := range near.requests() {
		must.Eq(t, "", r.Header.Get("Kv-Fetch"))
		must.Eq(t, "", r.Header.Get("X"))
	}
	must.Eq(t, 10, near.runs.Load())
	for range 3 {
		f.gateway.ReadCaches(t.Context(), func(*catalog.Upstream) bool { return true })
	}
	must.Eq(t, 1, lines.Load())
}

// The list of a cache is asked for at the address of its entry, which stands in the head.
func TestCacheListOfABadAddressIsNotAskedForAgain(t *testing.T) {
	f, lines := newFixtureCountingBadEntries(t)
	far := catalog.Upstream{ID: "i-2", Service: "s", Address: "[::1%lo\r\nX: 1]:1", FailureDomain: "a", State: catalog.StateReady}
	f.gateway.SetCatalog(catalog.New(1, []catalog.Upstream{far}))
	for range 3 {
		f.gateway.CacheIndex().Age(time.Hour)
		f.gateway.ReadCaches(t.Context(), func(*catalog.Upstream) bool { return true })
	}
	must.Eq(t, 1, lines.Load())
}

// A request whose own head cannot be written must be denied at once, and is no fault of upstreams.
func TestRequestWithABadHeadIsDenied(t *testing.T) {
	sound := newReplica(t, "i-1", answering("data: ok\n\n"))
	f := newFixture(t, sound)
	for range 10 {
		r := httptest.NewRequest(http.MethodPost, "/once/", strings.NewReader("{}"))
		r.Host = "h.example"
		r.Header = f.newRequest(t, http.MethodPost, "/once/", "{}").Header
		r.Header["X"] = []string{"a\r\nb"}
		w := httptest.NewRecorder()
		f.gateway.ServeHTTP(w, r)
		must.Eq(t, http.StatusBadRequest, w.Code)
	}
	must.Eq(t, 0, sound.runs.Load())
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}
