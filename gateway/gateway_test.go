package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

func TestAnswerIsDeliveredUnchanged(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(signature, "sig")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	})
	f := newFixture(t, up)
	r := f.newRequest(t, http.MethodPost, "/once//x/%2e?q=1", "hello")
	r.Header.Set(deadline, "2000")
	r.Header.Set("Dandelionrill-Tenant", "thief")
	response, body := f.do(t, r)
	must.Eq(t, http.StatusCreated, response.StatusCode)
	must.Eq(t, "sig", response.Header.Get(signature))
	must.Eq(t, "POST /once//x/%2e?q=1 hello", body)
	sent := up.requests()[0].Header
	must.Eq(t, "c1", sent.Get("Dandelionrill-Tenant"))
	must.Eq(t, "i-1", sent.Get("Dandelionrill-Expected-Replica"))
	must.Eq(t, "", sent.Get("Authorization"))
	var left int
	_, err := fmt.Sscan(sent.Get(deadline), &left)
	must.NoError(t, err)
	must.Between(t, 1, left, 2000)
}

func TestRequestsRefusedWithoutSending(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	for _, c := range []struct {
		name       string
		change     func(*fixture, *http.Request)
		want       int
		retryAfter bool // the response has a Retry-After header
	}{
		{"unknown route", func(_ *fixture, r *http.Request) { r.URL.Path = "/none/" }, 404, false},
		{"unknown host", func(_ *fixture, r *http.Request) { r.Host = "x.example" }, 404, false},
		{"unknown key", func(_ *fixture, r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, 401, false},
		{"no key", func(_ *fixture, r *http.Request) { r.Header.Del("Authorization") }, 401, false},
		{"unknown key, old configuration", func(f *fixture, r *http.Request) {
			f.configurationAge.Store(int64(time.Minute))
			r.Header.Set("Authorization", "Bearer no")
		}, 503, true},
		{"no attempt id", func(_ *fixture, r *http.Request) { r.Header.Del(attemptID) }, 400, false},
		{"headers over the limit", func(_ *fixture, r *http.Request) { r.Header.Set("X", strings.Repeat("a", 5000)) }, 431, false},
		{"body over the limit", func(_ *fixture, r *http.Request) { r.Body, r.ContentLength = bigBody(), 100<<10 }, 413, false},
		{"chunked body over the limit", func(_ *fixture, r *http.Request) { r.Body, r.ContentLength = bigBody(), -1 }, 413, false},
		{"no upstream", func(f *fixture, _ *http.Request) { f.setUpstreams() }, 503, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, up)
			r := f.newRequest(t, http.MethodPost, "/safe/", "")
			c.change(f, r)
			response, _ := f.do(t, r)
			must.Eq(t, c.want, response.StatusCode)
			must.Eq(t, c.retryAfter, response.Header.Get("Retry-After") != "")
		})
	}
	must.Eq(t, 0, up.runs.Load())
}

func bigBody() io.ReadCloser { return io.NopCloser(io.LimitReader(zeroReader{}, 100<<10)) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

func TestPublicRouteNeedsNoKey(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	r := f.newRequest(t, http.MethodGet, "/public/", "")
	r.Header.Del("Authorization")
	response, _ := f.do(t, r)
	must.Eq(t, 200, response.StatusCode)
	must.Eq(t, "", up.requests()[0].Header.Get("Dandelionrill-Tenant"))
}

func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	unconfigured := gateway.New(gateway.Options{
		Protocol: platform.Protocol{}, Log: &log.Logger{Handler: discard.New()}, FailureDomain: "a", MaxCallerBytes: 1 << 20,
		Policy: gateway.Policy{Prompt: place.PromptOptions{Multiple: 2, Slack: 4}, RetryExtra: 20},
	})
	f.server.Config.Handler = unconfigured
	response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	unconfigured.SetCatalog(catalog.New(1, []catalog.Upstream{up.upstream()}))
	go unconfigured.SetTable(routing.NewTable(&routing.Configuration{Version: 1, Routes: defaultRoutes()}))
	response, _ = f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 200, response.StatusCode)
}

func TestOnlyRepeatableRequestsMayRunTwice(t *testing.T) {
	for _, c := range []struct {
		name         string
		path         string
		firstHandler http.HandlerFunc
		status       int
		runs         int64 // at both upstreams together
	}{
		{"once, reset after it was sent", "/once/", resetting, 502, 1},
		{"stream, reset after it was sent", "/stream/", resetting, 502, 1},
		{"once, refused", "/once/", refusing, 200, 2},
		{"safe, reset", "/safe/", resetting, 200, 2},
		{"resumable stream, reset", "/resume/", resetting, 200, 2},
		{"once, failure of the upstream", "/once/", failing(500), 500, 1},
		{"safe, failure of the upstream", "/safe/", failing(500), 200, 2},
		{"once, refusal without the not-run header", "/once/", failing(503), 502, 1},
		{"once, no signature", "/once/", unsigned, 502, 1},
		{"once, encoded", "/once/", encoded, 502, 1},
		{"safe, no signature", "/safe/", unsigned, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first atomic.Bool
			handle := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					c.firstHandler(w, r)
					return
				}
				answering("data: ok\n\n")(w, r)
			}
			one, two := newReplica(t, "i-1", handle), newReplica(t, "i-2", handle)
			f := newFixture(t, one, two)
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, c.path, "body"))
			must.Eq(t, c.status, response.StatusCode)
			must.Eq(t, c.runs, one.runs.Load()+two.runs.Load())
		})
	}
}

// failing answers with the status. Only a 500 is signed, as a failure of the
// upstream itself.
func failing(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if status == 500 {
			w.Header().Set(signature, "sig")
		}
		w.WriteHeader(status)
	}
}

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "not the upstream") }

func encoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signature, "sig")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = io.WriteString(w, "xx")
}

func TestRefusalByAllUpstreamsIsARefusal(t *testing.T) {
	one, two := newReplica(t, "i-1", refusing), newReplica(t, "i-2", refusing)
	f := newFixture(t, one, two)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "body"))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.Eq(t, "", response.Header.Get(signature))
	must.Eq(t, 2, one.runs.Load()+two.runs.Load())
}

// A request that may have run at one upstream must not be reported as not run
// because the next upstream refused it.
func TestRefusalAfterAPossibleRunIsAFailure(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			resetting(w, r)
			return
		}
		refusing(w, r)
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 502, response.StatusCode)
}

func TestUnreachableUpstreamDoesNotCountAsAttempt(t *testing.T) {
	unreachable := newReplica(t, "i-1", answering("never"))
	entry := unreachable.upstream()
	unreachable.server.Close()
	up := newReplica(t, "i-2", answering("ok"))
	f := newFixture(t, up)
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{entry, up.upstream()}))
	for range 20 {
		response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "body"))
		must.Eq(t, 200, response.StatusCode)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	one, two := newReplica(t, "i-1", failing(500)), newReplica(t, "i-2", failing(500))
	f := newFixture(t, one, two)
	const requests = 200
	for range requests {
		f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	}
	retries := one.runs.Load() + two.runs.Load() - requests
	must.Between(t, 20, retries, 20+requests/10)
}

func TestRouteTimeout(t *testing.T) {
	up := newReplica(t, "i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, up)
	response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/short/", ""))
	must.Eq(t, 504, response.StatusCode)
	must.Eq(t, 1, up.runs.Load())
}

func TestTimeoutCutsAStream(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 1)
		<-r.Context().Done()
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/shortstream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	must.Error(t, err)
}

func TestDrainAsksCallersToCloseConnections(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.False(t, response.Close)
	f.gateway.Drain(time.Minute)
	response, _ = f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 200, response.StatusCode)
	must.True(t, response.Close)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	must.True(t, f.gateway.SetTable(routing.NewTable(&routing.Configuration{Version: 5})))
	must.False(t, f.gateway.SetTable(routing.NewTable(&routing.Configuration{Version: 4})))
	must.False(t, f.gateway.SetTable(routing.NewTable(&routing.Configuration{Version: 5})))
	must.Eq(t, 5, f.gateway.Version())
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	one, two := newReplica(t, "i-1", answering("ok")), newReplica(t, "i-2", answering("ok"))
	f := newFixture(t, one, two)
	leaving := one.upstream()
	leaving.State = catalog.StateLeaving
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{leaving, two.upstream()}))
	for range 20 {
		f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	}
	must.Eq(t, 0, one.runs.Load())
	must.Eq(t, 20, two.runs.Load())
}

// A draining router immediately refuses requests that cannot finish before its
// process ends.
func TestDrainRefusesRequestsThatCannotFinish(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	f.gateway.Drain(1500 * time.Millisecond)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.True(t, response.Close)
	must.Eq(t, 0, up.runs.Load())
	response, _ = f.do(t, f.newRequest(t, http.MethodGet, "/short/", "")) // has a timeout of 100 ms
	must.Eq(t, 200, response.StatusCode)
}

// A draining router refuses a request whose kind has lately taken longer than the drain
// lasts: its caller finds another router, instead of losing the request at the end.
func TestDrainRefusesWhatLatelyTookTooLong(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		answering("ok")(w, r)
	})
	f := newFixture(t, up)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, 200, response.StatusCode)
	f.gateway.Drain(2 * time.Second) // 1.4 s without the margin
	response, _ = f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, 503, response.StatusCode)
	must.Eq(t, 1, up.runs.Load())
}

// When the retry budget is used up, the failure answer of the upstream is
// delivered; the router must not replace it by a failure of its own.
func TestUpstreamFailureIsDeliveredWithoutRetryBudget(t *testing.T) {
	one, two := newReplica(t, "i-1", failing(500)), newReplica(t, "i-2", failing(500))
	f := newFixture(t, one, two)
	for range 100 {
		response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
		must.Eq(t, 500, response.StatusCode)
		must.Eq(t, "sig", response.Header.Get(signature))
	}
}
