package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// Headers as the platform names them.
const (
	attemptID = "Dandelionrill-Attempt-Id"
	signature = "Dandelionrill-Replica-Signature"
	notRun    = "Dandelionrill-Not-Executed"
	deadline  = "Dandelionrill-Deadline-Ms"
	parts     = "Dandelionrill-Prompt-Prefix"
)

// replica is an upstream whose answers a test gives.
type replica struct {
	id     string
	server *httptest.Server
	runs   atomic.Int64
	mu     sync.Mutex
	seen   []*http.Request
}

func newReplica(t *testing.T, id string, handle http.HandlerFunc) *replica {
	t.Helper()
	r := &replica{id: id}
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		r.mu.Lock()
		r.seen = append(r.seen, req)
		r.mu.Unlock()
		w.Header().Set(attemptID, req.Header.Get(attemptID))
		handle(w, req)
	}))
	t.Cleanup(r.server.Close)
	return r
}

func (r *replica) requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.seen...)
}

func (r *replica) entry() catalog.Upstream {
	return catalog.Upstream{
		ID: r.id, Service: "s", Address: r.server.Listener.Addr().String(), FailureDomain: "a", State: catalog.StateReady,
	}
}

func answering(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		_, _ = io.WriteString(w, body)
	}
}

func refusing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func resetting(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// events writes whole events with the given identifiers, then returns.
func events(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}

// fixture is a gateway behind an HTTP server.
type fixture struct {
	gateway *gateway.Gateway
	server  *httptest.Server
	age     atomic.Int64 // of the configuration
}

func defaultRoutes() []routing.Route {
	shares := []routing.Share{{Service: "s", Weight: 1}}
	base := routing.Route{Host: "h.example", Shares: shares, Timeout: 5 * time.Second, MaxAttempts: 2}
	with := func(prefix string, change func(*routing.Route)) routing.Route {
		r := base
		r.Name, r.PathPrefix = prefix, prefix
		change(&r)
		return r
	}
	return []routing.Route{
		with("/safe/", func(r *routing.Route) { r.Repeat = routing.RepeatSafe }),
		with("/once/", func(r *routing.Route) { r.Repeat = routing.RepeatNever }),
		with("/stream/", func(r *routing.Route) { r.Repeat = routing.RepeatStream }),
		with("/resume/", func(r *routing.Route) { r.Repeat, r.Resumable = routing.RepeatStream, true }),
		with("/short/", func(r *routing.Route) { r.Repeat, r.Timeout = routing.RepeatSafe, 100*time.Millisecond }),
		with("/shortstream/", func(r *routing.Route) { r.Repeat, r.Timeout = routing.RepeatStream, 100*time.Millisecond }),
		with("/public/", func(r *routing.Route) { r.Repeat, r.Public = routing.RepeatSafe, true }),
	}
}

func newFixture(t *testing.T, replicas ...*replica) *fixture {
	t.Helper()
	f := &fixture{}
	f.gateway = gateway.New(gateway.Options{
		Protocol: platform.Protocol{}, Log: &log.Logger{Handler: discard.New()}, FailureDomain: "a", BodyBytes: 1 << 20,
		Ages: func() (time.Duration, time.Duration) { return time.Duration(f.age.Load()), 0 },
		Policy: gateway.Policy{
			Prompt: place.PromptOptions{Multiple: 2, Slack: 4}, RemoteLoad: 1, RepeatShare: 0.1, RepeatExtra: 20,
			Eject: eject.Options{Base: time.Millisecond, Ceiling: 0.5},
		},
	})
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 1, Routes: defaultRoutes(),
		Limits:    routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
	f.list(replicas...)
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) list(replicas ...*replica) {
	var upstreams []catalog.Upstream
	for _, r := range replicas {
		upstreams = append(upstreams, r.entry())
	}
	f.gateway.SetCatalog(catalog.New(1, upstreams))
}

func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set(attemptID, "attempt-1")
	r.Header.Set("Authorization", "Bearer key")
	return r
}

func (f *fixture) do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	response, err := f.server.Client().Do(r)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response, string(body)
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(signature, "sig")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	})
	f := newFixture(t, up)
	r := f.request(t, http.MethodPost, "/once//x/%2e?q=1", "hello")
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

func TestEndsWithoutAnUpstream(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	for _, c := range []struct {
		name   string
		change func(*fixture, *http.Request)
		want   int
		later  bool // Retry-After is named
	}{
		{"unknown route", func(_ *fixture, r *http.Request) { r.URL.Path = "/none/" }, 404, false},
		{"unknown host", func(_ *fixture, r *http.Request) { r.Host = "x.example" }, 404, false},
		{"unknown key", func(_ *fixture, r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, 401, false},
		{"no key", func(_ *fixture, r *http.Request) { r.Header.Del("Authorization") }, 401, false},
		{"unknown key, old configuration", func(f *fixture, r *http.Request) {
			f.age.Store(int64(time.Minute))
			r.Header.Set("Authorization", "Bearer no")
		}, 503, true},
		{"no attempt id", func(_ *fixture, r *http.Request) { r.Header.Del(attemptID) }, 400, false},
		{"headers over the limit", func(_ *fixture, r *http.Request) { r.Header.Set("X", strings.Repeat("a", 5000)) }, 431, false},
		{"body over the limit", func(_ *fixture, r *http.Request) { r.Body, r.ContentLength = big(), 100<<10 }, 413, false},
		{"chunked body over the limit", func(_ *fixture, r *http.Request) { r.Body, r.ContentLength = big(), -1 }, 413, false},
		{"no upstream", func(f *fixture, _ *http.Request) { f.list() }, 503, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, up)
			r := f.request(t, http.MethodPost, "/safe/", "")
			c.change(f, r)
			response, _ := f.do(t, r)
			must.Eq(t, c.want, response.StatusCode)
			must.Eq(t, c.later, response.Header.Get("Retry-After") != "")
		})
	}
	must.Eq(t, 0, up.runs.Load())
}

func big() io.ReadCloser { return io.NopCloser(io.LimitReader(zeros{}, 100<<10)) }

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestPublicRouteNeedsNoKey(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	r := f.request(t, http.MethodGet, "/public/", "")
	r.Header.Del("Authorization")
	response, _ := f.do(t, r)
	must.Eq(t, 200, response.StatusCode)
	must.Eq(t, "", up.requests()[0].Header.Get("Dandelionrill-Tenant"))
}

func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	started := gateway.New(gateway.Options{
		Protocol: platform.Protocol{}, Log: &log.Logger{Handler: discard.New()}, FailureDomain: "a", BodyBytes: 1 << 20,
		Policy: gateway.Policy{Prompt: place.PromptOptions{Multiple: 2, Slack: 4}, RepeatExtra: 20},
	})
	f.server.Config.Handler = started
	response, _ := f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	started.SetCatalog(catalog.New(1, []catalog.Upstream{up.entry()}))
	go started.SetTable(routing.NewTable(&routing.Configuration{Version: 1, Routes: defaultRoutes()}))
	response, _ = f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 200, response.StatusCode)
}

func TestOneRunAtMost(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		runs   int64 // at both upstreams
	}{
		{"once, reset after it was sent", "/once/", resetting, 502, 1},
		{"stream, reset after it was sent", "/stream/", resetting, 502, 1},
		{"once, refused", "/once/", refusing, 200, 2},
		{"safe, reset", "/safe/", resetting, 200, 2},
		{"resumable stream, reset", "/resume/", resetting, 200, 2},
		{"once, failure of the upstream", "/once/", failing(500), 500, 1},
		{"safe, failure of the upstream", "/safe/", failing(500), 200, 2},
		{"once, refusal that promises nothing", "/once/", failing(503), 502, 1},
		{"once, no signature", "/once/", unsigned, 502, 1},
		{"once, encoded", "/once/", encoded, 502, 1},
		{"safe, no signature", "/safe/", unsigned, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first atomic.Bool
			handle := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					c.first(w, r)
					return
				}
				answering("ok")(w, r)
			}
			one, two := newReplica(t, "i-1", handle), newReplica(t, "i-2", handle)
			f := newFixture(t, one, two)
			response, _ := f.do(t, f.request(t, http.MethodPost, c.path, "body"))
			must.Eq(t, c.status, response.StatusCode)
			must.Eq(t, c.runs, one.runs.Load()+two.runs.Load())
		})
	}
}

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

func TestRefusalsEverywhereAreARefusal(t *testing.T) {
	one, two := newReplica(t, "i-1", refusing), newReplica(t, "i-2", refusing)
	f := newFixture(t, one, two)
	response, _ := f.do(t, f.request(t, http.MethodPost, "/once/", "body"))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.Eq(t, "", response.Header.Get(signature))
	must.Eq(t, 2, one.runs.Load()+two.runs.Load())
}

// A request that may have run at one upstream is not made "not run" by the
// refusal of the next.
func TestRefusalAfterAPossibleRunIsNoRefusal(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			resetting(w, r)
			return
		}
		refusing(w, r)
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	response, _ := f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 502, response.StatusCode)
}

func TestUnreachableUpstreamCostsNoAttempt(t *testing.T) {
	dead := newReplica(t, "i-1", answering("never"))
	entry := dead.entry()
	dead.server.Close()
	up := newReplica(t, "i-2", answering("ok"))
	f := newFixture(t, up)
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{entry, up.entry()}))
	for range 20 {
		response, _ := f.do(t, f.request(t, http.MethodPost, "/once/", "body"))
		must.Eq(t, 200, response.StatusCode)
	}
}

func TestRepeatsKeepToTheBudget(t *testing.T) {
	one, two := newReplica(t, "i-1", failing(500)), newReplica(t, "i-2", failing(500))
	f := newFixture(t, one, two)
	const requests = 200
	for range requests {
		f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	}
	repeats := one.runs.Load() + two.runs.Load() - requests
	must.Between(t, 20, repeats, 20+requests/10)
}

func TestStreamIsPassedOnEventByEvent(t *testing.T) {
	next := make(chan struct{})
	up := newReplica(t, "i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		events(w, 1, 1)
		<-next
		events(w, 2, 3)
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.request(t, http.MethodPost, "/stream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "id: 1\n", line) // came before the second was made
	close(next)
	rest, err := io.ReadAll(reader)
	must.NoError(t, err)
	must.Eq(t, "data: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", string(rest))
}

func TestCutStreamDoesNotLookComplete(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 2)
		_, _ = io.WriteString(w, "id: 3\nda")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.request(t, http.MethodPost, "/stream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", string(body))
	must.Eq(t, 1, up.runs.Load())
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			w.Header().Set(signature, "first")
			events(w, 1, 2)
			_, _ = io.WriteString(w, "id: 3\nda") // in the middle of an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(signature, "second")
		if r.Header.Get("Last-Event-Id") != "2" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		events(w, 3, 4)
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	response, body := f.do(t, f.request(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "first", response.Header.Get(signature))
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	ended := make(chan struct{})
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	f := newFixture(t, up)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := f.server.Client().Do(f.request(t, http.MethodPost, "/stream/", "{}").WithContext(ctx))
	must.NoError(t, err)
	cancel()
	<-ended
	_ = response.Body.Close()
}

func TestTimeoutOfTheRoute(t *testing.T) {
	up := newReplica(t, "i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, up)
	response, _ := f.do(t, f.request(t, http.MethodGet, "/short/", ""))
	must.Eq(t, 504, response.StatusCode)
	must.Eq(t, 1, up.runs.Load())
}

func TestTimeoutInMidStreamCutsIt(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 1)
		<-r.Context().Done()
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.request(t, http.MethodPost, "/shortstream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	must.Error(t, err)
}

func TestDrainAsksCallersToClose(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	response, _ := f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	must.False(t, response.Close)
	f.gateway.Drain(time.Minute)
	response, _ = f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
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

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	one, two := newReplica(t, "i-1", answering("ok")), newReplica(t, "i-2", answering("ok"))
	f := newFixture(t, one, two)
	leaving := one.entry()
	leaving.State = catalog.StateLeaving
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{leaving, two.entry()}))
	for range 20 {
		f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	}
	must.Eq(t, 0, one.runs.Load())
	must.Eq(t, 20, two.runs.Load())
}

func TestPromptStaysAtItsUpstream(t *testing.T) {
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("ok")))
	}
	f := newFixture(t, replicas...)
	for i := range 12 {
		r := f.request(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, fmt.Sprintf("aa:100,bb:5000,%x:10", i))
		f.do(t, r)
	}
	used := 0
	for _, up := range replicas {
		if up.runs.Load() > 0 {
			used++
		}
	}
	must.Eq(t, 1, used)
}

// When the upstream that holds a prompt leaves, the next one is told where the
// prompt can still be fetched from.
func TestPromptIsFetchedFromALeavingUpstream(t *testing.T) {
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("ok")))
	}
	f := newFixture(t, replicas...)
	send := func() {
		r := f.request(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, "aa:100,bb:5000,cc:10")
		f.do(t, r)
	}
	send()
	var home *replica
	var entries []catalog.Upstream
	for _, up := range replicas {
		entry := up.entry()
		if up.runs.Load() > 0 {
			home = up
			entry.State = catalog.StateLeaving
		}
		entries = append(entries, entry)
	}
	f.gateway.SetCatalog(catalog.New(2, entries))
	send()
	for _, up := range replicas {
		if up != home && up.runs.Load() > 0 {
			must.Eq(t, home.server.Listener.Addr().String(), up.requests()[0].Header.Get("Kv-Fetch"))
			return
		}
	}
	t.Fatal("no other upstream was used")
}

// Two documents share their first part. The upstream that gets the second one
// fetches the first part from where it was read.
func TestSharedBeginningIsFetched(t *testing.T) {
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("ok")))
	}
	f := newFixture(t, replicas...)
	send := func(document string) (used *replica, fetched string) {
		before := make([]int64, len(replicas))
		for i, up := range replicas {
			before[i] = up.runs.Load()
		}
		r := f.request(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, "aa:300,"+document+":5000,cc:10")
		f.do(t, r)
		for i, up := range replicas {
			if up.runs.Load() > before[i] {
				seen := up.requests()
				return up, seen[len(seen)-1].Header.Get("Kv-Fetch")
			}
		}
		return nil, ""
	}
	first, fetched := send("d0")
	must.Eq(t, "", fetched)
	for i := 1; ; i++ {
		used, fetched := send(fmt.Sprint("d", i))
		if used == first {
			must.Eq(t, "", fetched) // it holds the part itself
			continue
		}
		must.Eq(t, first.server.Listener.Addr().String(), fetched)
		_, fetched = send(fmt.Sprint("d", i))
		must.Eq(t, "", fetched)
		return
	}
}

// A router that is about to end refuses at once what could not end before it.
func TestDrainRefusesWhatCannotEnd(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	f.gateway.Drain(2 * time.Second)
	response, _ := f.do(t, f.request(t, http.MethodPost, "/stream/", "{}"))
	must.Eq(t, 503, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.True(t, response.Close)
	must.Eq(t, 0, up.runs.Load())
	response, _ = f.do(t, f.request(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 200, response.StatusCode)
}
