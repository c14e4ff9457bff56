package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

const (
	// crashContact is the least time after which the users' rules bind routers in touch.
	crashContact = 3 * time.Second
	// crashLease is how long the entry of an upstream that has crashed is still listed, and
	// crashRestart how long until another one takes its place.
	crashLease   = 500 * time.Millisecond
	crashRestart = time.Second
	// maxCrashRetries is the number of times that a request may reach upstreams after it has
	// crashed three and crashContact has passed.
	maxCrashRetries = 3
	// soundRequests is the least number of each kind of sound request that is sent then.
	soundRequests = 10
)

// crashFleet is a fleet of routers before upstreams that a request crashes.
type crashFleet struct {
	store   *storeFixture
	request replica.CrashedBy
	routers []*httptest.Server

	mu      sync.Mutex
	started int
	crashes []time.Time
	all     []*replica.Replica
}

func newCrashFleet(t *testing.T, routers int, request replica.CrashedBy) *crashFleet {
	t.Helper()
	f := &crashFleet{store: newStoreFixture(t), request: request}
	c := wire.Configuration{
		Version: 7, Host: "h", Service: "s", Key: "k", OtherKey: "k2", Timeout: 2 * time.Second, Attempts: 2,
		Routes: []wire.Route{
			{Prefix: "/safe/", Kind: wire.RouteIdempotent}, {Prefix: "/once/", Kind: wire.RouteNonIdempotent},
			{Prefix: "/stream/", Kind: wire.RouteStreaming}, {Prefix: "/resume/", Kind: wire.RouteStreaming, Resumable: true, Sticky: true},
		},
	}
	f.store.SetObject(wire.KindConfiguration, wire.NameConfiguration, c.Spec())
	for range 3 {
		f.start(t)
	}
	var hosts []*Host
	var seeds []string
	for i := range routers {
		h := f.store.startHostIn(t, fmt.Sprint("d", i%3), fmt.Sprint("r-", i), seeds...)
		if i < 2 {
			seeds = append(seeds, h.opts.Settings.PeersAddress)
		}
		server := httptest.NewServer(h.gateway)
		t.Cleanup(server.Close)
		hosts, f.routers = append(hosts, h), append(f.routers, server)
	}
	for _, h := range hosts {
		await(t, "all routers known", func() bool { return len(h.routers.Snapshot().Records) == routers })
		await(t, "all upstreams known", func() bool { return h.initialized() && len(h.upstreams.Snapshot().Records) == 3 })
	}
	return f
}

// start starts an upstream that the request crashes. Another one takes its place then.
func (f *crashFleet) start(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprint("i-", f.started)
	f.started++
	r := replica.New(replica.Options{ID: id, Slots: 1000, EventInterval: 5 * time.Millisecond})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	var once sync.Once
	r.CrashOnRequest(f.request, func() {
		once.Do(func() {
			_ = server.Listener.Close()
			go server.CloseClientConnections() // waits for the connection of this request
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			time.AfterFunc(crashLease, func() { f.store.RemoveObject(wire.KindUpstreams, id) })
			time.AfterFunc(crashRestart, func() { f.start(t) })
		})
	})
	f.all = append(f.all, r)
	f.store.SetObject(wire.KindUpstreams, id, wire.Upstream("s", strings.TrimPrefix(server.URL, "http://"), "", false))
}

// send sends a request to a random router and returns the status of its whole answer; 0 if
// there is none.
func (f *crashFleet) send(attempt, key, method, path, body string) int {
	r, err := http.NewRequest(method, f.routers[rand.IntN(len(f.routers))].URL+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	wire.SetRequestHeaders(r.Header, attempt, key, 2*time.Second)
	if strings.HasPrefix(path, "/resume/") {
		wire.SetPrompt(r.Header, "m", "first:10", "subject:10", attempt+":5")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// reached returns how often an attempt with the prefix reached upstreams after a time.
func (f *crashFleet) reached(prefix string, after time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.all {
		for _, a := range r.Arrivals() {
			if strings.HasPrefix(a.Attempt, prefix) && a.At.After(after) {
				n++
			}
		}
	}
	return n
}

// third returns when the third upstream crashed; zero before.
func (f *crashFleet) third() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return time.Time{}
	}
	slices.SortFunc(f.crashes, func(a, b time.Time) int { return a.Compare(b) })
	return f.crashes[2]
}

// Guards against upstreams that end one after the other under a request that comes again
// with the same path, caller and body, at any router, and has no prompt part in common with
// others. What differs in one of the three is served.
func TestRequestThatCrashesUpstreamsIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		routers      int
		method, path string
	}{{5, http.MethodGet, "/safe/a/"}, {5, http.MethodPost, "/once/a/"}, {5, http.MethodPost, "/stream/a/"}, {5, http.MethodPost, "/resume/a/"}, {24, http.MethodGet, "/safe/a/"}} {
		t.Run(fmt.Sprint(c.path, c.routers), func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, c.routers, replica.CrashedBy{Customer: "desk", Path: c.path, Body: "x"})
			twins := []struct{ key, path, body string }{{"k2", c.path, "x"}, {"k", c.path + "b", "x"}, {"k", c.path, "y"}}
			served, asked := make([]int, len(twins)), make([]int, len(twins))
			var third time.Time
			for n, start := 0, time.Now(); slices.Min(asked) < soundRequests; n++ {
				must.Less(t, time.Minute, time.Since(start), must.Sprint("three upstreams crash"))
				go f.send(fmt.Sprint("bad-", n), "k", c.method, c.path, "x")
				third = f.third()
				for i, twin := range twins {
					status := f.send(fmt.Sprint("sound-", i, "-", n), twin.key, c.method, twin.path, twin.body)
					if third.IsZero() || time.Since(third) < 2*crashContact {
						continue
					}
					if asked[i]++; status == http.StatusOK {
						served[i]++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			must.LessEq(t, maxCrashRetries, f.reached("bad-", third.Add(crashContact)))
			for i, twin := range twins {
				must.GreaterEq(t, asked[i]*9/10, served[i], must.Sprint("sound: ", twin))
			}
		})
	}
}
