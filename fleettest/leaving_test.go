package fleettest_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/standin/engine"
	"dandelionrill.example/standin/service"
)

const chat = `{"model":"` + fleettest.Model + `","stream":true,"max_tokens":15,"messages":[{"role":"user","content":"draft %d"}]}`

// meanLoad and replicas are the mean load and the replica count that the agents
// observe. They are high enough that no agent refuses a request.
const (
	meanLoad = 10
	replicas = 5
)

// upstreamHost is a host whose agent is replaced while its upstream keeps running.
type upstreamHost struct {
	name, service string
	base          *url.URL
	current       *fleettest.Upstream
}

// rollingFleet is a fleet whose agents and routers are replaced under load.
type rollingFleet struct {
	t             *testing.T
	cfg           *config.Config
	upstreamHosts []*upstreamHost
	stopped       atomic.Bool

	mu        sync.Mutex
	routers   []*fleettest.Router // that the load balancer considers ready
	failures  []string
	completed int
	transfers map[string]int // operations sent, with the number of requests for each
}

func newRollingFleet(t *testing.T) *rollingFleet {
	r := &rollingFleet{t: t, cfg: fleettest.Config(1), transfers: make(map[string]int)}
	for i := range r.cfg.Services {
		r.cfg.Services[i].LoadMultiple = 4
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		e := engine.New(engine.Options{Name: name, TimePerToken: 2 * time.Millisecond})
		r.upstreamHosts = append(r.upstreamHosts, newUpstreamHost(t, name, fleettest.ModelService, e))
	}
	for _, name := range []string{"s1", "s2"} {
		r.upstreamHosts = append(r.upstreamHosts, newUpstreamHost(t, name, fleettest.PlainService, service.New(service.Options{Name: name})))
	}
	for _, s := range r.upstreamHosts {
		s.startAgent(t, r.cfg)
	}
	r.routers = []*fleettest.Router{r.startRouter("r1"), r.startRouter("r2")}
	return r
}

func newUpstreamHost(t *testing.T, name, service string, handler http.Handler) *upstreamHost {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	must.NoError(t, err)
	return &upstreamHost{name: name, service: service, base: base}
}

// startAgent starts a new agent on the host and returns the previous one.
func (s *upstreamHost) startAgent(t *testing.T, cfg *config.Config) *fleettest.Upstream {
	previous := s.current
	s.current = fleettest.StartAgent(t, s.name, s.service, s.base, cfg, func(o *agent.Options) { o.UnreadRetention, o.DrainQuiet = 5*time.Second, 200*time.Millisecond })
	s.current.Agent.ObserveMean(meanLoad, replicas, 0)
	return previous
}

func (r *rollingFleet) startRouter(name string) *fleettest.Router {
	var upstreams []*fleettest.Upstream
	for _, s := range r.upstreamHosts {
		upstreams = append(upstreams, s.current)
	}
	return fleettest.StartRouter(r.t, name, r.cfg, upstreams, nil, func(o *router.Options) { o.DrainDelay = 2 * time.Second })
}

// readyRouter returns one of the routers that the load balancer considers ready.
func (r *rollingFleet) readyRouter(i int) *fleettest.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers[i%len(r.routers)]
}

func (r *rollingFleet) publishHostList(hosts ...store.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.routers {
		ro.Board.ObserveHostList(hosts)
	}
}

func (r *rollingFleet) hosts() (hosts []store.Host) {
	for _, s := range r.upstreamHosts {
		hosts = append(hosts, s.current.Host)
	}
	return hosts
}

// sendRequests sends chats and transfers in turn until the fleet is stopped.
func (r *rollingFleet) sendRequests(worker int) {
	for i := 0; !r.stopped.Load(); i++ {
		failure := ""
		operation := fmt.Sprintf("w%d-%d", worker, i)
		if i%2 == 0 {
			a, err := r.readyRouter(i/2+worker).Try("POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil)
			if err != nil || a.Status != 200 || !strings.HasSuffix(a.Body, "data: [DONE]\n\n") || strings.Contains(a.Body, `"error"`) {
				failure = fmt.Sprint("chat: ", err, a)
			}
		} else {
			a, err := r.readyRouter(i/2+worker).Try("POST", "/v1/services/"+fleettest.PlainService+"/transfers", `{"operation":"`+operation+`"}`, nil)
			if err != nil || a.Status != 200 {
				failure = fmt.Sprint("transfer: ", err, a)
			}
		}
		r.mu.Lock()
		if failure != "" {
			r.failures = append(r.failures, failure)
		}
		if i%2 == 1 {
			r.transfers[operation]++
		}
		r.completed++
		r.mu.Unlock()
	}
}

func (r *rollingFleet) completedRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed
}

// awaitRequests waits until n more requests have completed.
func (r *rollingFleet) awaitRequests(n int) {
	for target := r.completedRequests() + n; r.completedRequests() < target; {
		for _, s := range r.upstreamHosts {
			s.current.Agent.ObserveMean(meanLoad, replicas, 0)
		}
		time.Sleep(time.Millisecond)
	}
}

// Replaces every agent and router under load. For every second agent the host list
// lags: it shows the new agent only some time after the old one began to stop. No
// request may be interrupted or refused, and each transfer must run exactly once.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	r := newRollingFleet(t)
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() { r.sendRequests(w) })
	}
	for i, s := range r.upstreamHosts {
		r.awaitRequests(40)
		old := s.startAgent(t, r.cfg)
		if i%2 == 0 { // the host list shows the new agent before the old one stops
			r.publishHostList(r.hosts()...)
		}
		old.Stop()
		r.awaitRequests(40)
		r.publishHostList(r.hosts()...)
		<-old.Done
	}
	for i := range 2 {
		r.awaitRequests(40)
		replacement := r.startRouter(fmt.Sprint("new", i))
		old := r.routers[i]
		old.Stop()
		for old.Board.Drain().Value == board.DrainServing {
			time.Sleep(time.Millisecond)
		}
		r.awaitRequests(20) // the load balancer still sends requests to the old router
		r.mu.Lock()
		r.routers[i] = replacement
		r.mu.Unlock()
		<-old.Done
	}
	r.awaitRequests(40)
	r.stopped.Store(true)
	workers.Wait()
	must.SliceEmpty(t, r.failures, must.Sprint(strings.Join(r.failures[:min(3, len(r.failures))], "\n")))
	total := 0
	for _, s := range r.upstreamHosts[3:] {
		for operation, n := range operationRuns(t, s.base) {
			must.Eq(t, 1, n, must.Sprint(operation))
			total++
		}
	}
	must.Eq(t, len(r.transfers), total)
	t.Logf("%d requests, %d of them transfers, while 5 agents and 2 routers were replaced: none interrupted or refused", r.completed, total)
}

func operationRuns(t *testing.T, base *url.URL) map[string]int {
	resp, err := http.Get(base.String() + "/control/runs")
	must.NoError(t, err)
	defer resp.Body.Close()
	runs := make(map[string]int)
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
	return runs
}

// The upstream of a leaving agent gets no new requests, no matter how the routers
// learn that the agent is leaving, and even if they never learn it.
func TestLeavingAgentGetsNoNewRequests(t *testing.T) {
	asLeaving := func(u *fleettest.Upstream) store.Host {
		row := u.Host
		row.State = store.HostLeaving
		return row
	}
	for name, tc := range map[string]struct {
		leave    func(r *rollingFleet, u *fleettest.Upstream)
		reported bool // the routers know it before their next request
	}{
		"the host list marks the agent as leaving, the agent does not know": {func(r *rollingFleet, u *fleettest.Upstream) {
			r.publishHostList(append(r.hosts()[1:], asLeaving(u))...)
		}, true},
		"the host list no longer contains the agent": {func(r *rollingFleet, _ *fleettest.Upstream) { r.publishHostList(r.hosts()[1:]...) }, true},
		"the agent reports that it is leaving":       {func(r *rollingFleet, u *fleettest.Upstream) { r.reportLeaving(u) }, true},
		"no report reaches the routers":              {func(_ *rollingFleet, u *fleettest.Upstream) { u.Agent.StartDrain() }, false},
		"the agent has stopped":                      {func(_ *rollingFleet, u *fleettest.Upstream) { u.Stop(); <-u.Done }, false},
	} {
		r := newRollingFleet(t)
		u := r.upstreamHosts[0].current
		for i := range 6 {
			must.Eq(t, 200, r.routers[i%2].Do(t, "POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil).Status)
		}
		tc.leave(r, u)
		before := engineRequests(t, r.upstreamHosts[0].base)
		for i := range 30 {
			a := r.routers[i%2].Do(t, "POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil)
			must.Eq(t, 200, a.Status, must.Sprint(name, a.Body))
		}
		must.Eq(t, before, engineRequests(t, r.upstreamHosts[0].base), must.Sprint(name))
		for _, ro := range r.routers {
			view, _ := ro.Board.Host("e1")
			must.True(t, !tc.reported || !view.Available(), must.Sprint(name))
		}
	}
}

// reportLeaving delivers the agent's report that it is leaving to both routers.
func (r *rollingFleet) reportLeaving(u *fleettest.Upstream) {
	for _, ro := range r.routers {
		ro.Board.ObservePeer(board.Evidence{Host: u.Host.Name, Kind: board.EvidenceLeaving, Incarnation: u.Agent.Meta().Incarnation})
	}
}

func engineRequests(t *testing.T, base *url.URL) int {
	resp, err := http.Get(base.String() + "/control/stats")
	must.NoError(t, err)
	defer resp.Body.Close()
	var stats engine.Stats
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	return stats.Requests
}
