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

// meanLoad and replicas are the mean that agents are told: enough that none
// refuses.
const (
	meanLoad = 10
	replicas = 5
)

// slot is an upstream host whose agent is replaced.
type slot struct {
	name, service string
	base          *url.URL
	current       *fleettest.Upstream
}

// rolling is a fleet whose processes are replaced under load.
type rolling struct {
	t     *testing.T
	cfg   *config.Config
	slots []*slot
	stop  atomic.Bool

	mu      sync.Mutex
	routers []*fleettest.Router // that the balancer holds for ready
	faults  []string
	done    int
	runs    map[string]int // operations sent
}

func newRolling(t *testing.T) *rolling {
	r := &rolling{t: t, cfg: fleettest.Config(1), runs: make(map[string]int)}
	for i := range r.cfg.Services {
		r.cfg.Services[i].LoadMultiple = 4
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		e := engine.New(engine.Options{Name: name, TimePerToken: 2 * time.Millisecond})
		r.slots = append(r.slots, newSlot(t, name, fleettest.ModelService, e))
	}
	for _, name := range []string{"s1", "s2"} {
		r.slots = append(r.slots, newSlot(t, name, fleettest.PlainService, service.New(service.Options{Name: name})))
	}
	for _, s := range r.slots {
		s.start(t, r.cfg)
	}
	r.routers = []*fleettest.Router{r.router("r1"), r.router("r2")}
	return r
}

func newSlot(t *testing.T, name, service string, handler http.Handler) *slot {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	must.NoError(t, err)
	return &slot{name: name, service: service, base: base}
}

// start starts an agent in the slot and returns the one before.
func (s *slot) start(t *testing.T, cfg *config.Config) *fleettest.Upstream {
	before := s.current
	s.current = fleettest.StartAgent(t, s.name, s.service, s.base, cfg, func(o *agent.Options) { o.UnreadRetention, o.DrainQuiet = 5*time.Second, 200*time.Millisecond })
	s.current.Agent.ObserveMean(meanLoad, replicas, 0)
	return before
}

func (r *rolling) router(name string) *fleettest.Router {
	var upstreams []*fleettest.Upstream
	for _, s := range r.slots {
		upstreams = append(upstreams, s.current)
	}
	return fleettest.StartRouter(r.t, name, r.cfg, upstreams, nil, func(o *router.Options) { o.DrainDelay = 2 * time.Second })
}

// balance returns a router that is held for ready.
func (r *rolling) balance(i int) *fleettest.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers[i%len(r.routers)]
}

func (r *rolling) list(hosts ...store.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.routers {
		ro.Board.ObserveHostList(hosts)
	}
}

func (r *rolling) hosts() (hosts []store.Host) {
	for _, s := range r.slots {
		hosts = append(hosts, s.current.Host)
	}
	return hosts
}

// work sends chats and transfers until told to stop.
func (r *rolling) work(worker int) {
	for i := 0; !r.stop.Load(); i++ {
		fault := ""
		operation := fmt.Sprintf("w%d-%d", worker, i)
		if i%2 == 0 {
			a, err := r.balance(i/2+worker).Try("POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil)
			if err != nil || a.Status != 200 || !strings.HasSuffix(a.Body, "data: [DONE]\n\n") || strings.Contains(a.Body, `"error"`) {
				fault = fmt.Sprint("chat: ", err, a)
			}
		} else {
			a, err := r.balance(i/2+worker).Try("POST", "/v1/services/"+fleettest.PlainService+"/transfers", `{"operation":"`+operation+`"}`, nil)
			if err != nil || a.Status != 200 {
				fault = fmt.Sprint("transfer: ", err, a)
			}
		}
		r.mu.Lock()
		if fault != "" {
			r.faults = append(r.faults, fault)
		}
		if i%2 == 1 {
			r.runs[operation]++
		}
		r.done++
		r.mu.Unlock()
	}
}

func (r *rolling) requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// more waits until that many more requests are done.
func (r *rolling) more(n int) {
	for target := r.requests() + n; r.requests() < target; {
		for _, s := range r.slots {
			s.current.Agent.ObserveMean(meanLoad, replicas, 0)
		}
		time.Sleep(time.Millisecond)
	}
}

// Every agent and router is replaced under load; the list lags behind every
// second time. No request is cut or refused, and each transfer runs once.
func TestRollingReplacementCutsNothing(t *testing.T) {
	r := newRolling(t)
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() { r.work(w) })
	}
	for i, s := range r.slots {
		r.more(40)
		old := s.start(t, r.cfg)
		if i%2 == 0 { // the list shows the new agent first
			r.list(r.hosts()...)
		}
		old.Stop()
		r.more(40)
		r.list(r.hosts()...)
		<-old.Done
	}
	for i := range 2 {
		r.more(40)
		fresh := r.router(fmt.Sprint("new", i))
		old := r.routers[i]
		old.Stop()
		for old.Board.Drain().Value == board.DrainServing {
			time.Sleep(time.Millisecond)
		}
		r.more(20) // the balancer has not noticed yet
		r.mu.Lock()
		r.routers[i] = fresh
		r.mu.Unlock()
		<-old.Done
	}
	r.more(40)
	r.stop.Store(true)
	workers.Wait()
	must.SliceEmpty(t, r.faults, must.Sprint(strings.Join(r.faults[:min(3, len(r.faults))], "\n")))
	total := 0
	for _, s := range r.slots[3:] {
		for operation, n := range runsAt(t, s.base) {
			must.Eq(t, 1, n, must.Sprint(operation))
			total++
		}
	}
	must.Eq(t, len(r.runs), total)
	t.Logf("%d requests, %d of them transfers, while 5 agents and 2 routers were replaced: none cut or refused", r.done, total)
}

func runsAt(t *testing.T, base *url.URL) map[string]int {
	resp, err := http.Get(base.String() + "/control/runs")
	must.NoError(t, err)
	defer resp.Body.Close()
	runs := make(map[string]int)
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
	return runs
}

// However a router learns that an agent leaves, or if it never does, the
// upstream gets no new work.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	leave := func(u *fleettest.Upstream) store.Host {
		row := u.Host
		row.State = store.HostLeaving
		return row
	}
	for name, tc := range map[string]struct {
		begin func(r *rolling, u *fleettest.Upstream)
		known bool // to the router before its next request
	}{
		"the list says it, the agent does not know": {func(r *rolling, u *fleettest.Upstream) { r.list(append(r.hosts()[1:], leave(u))...) }, true},
		"the list drops it":                         {func(r *rolling, _ *fleettest.Upstream) { r.list(r.hosts()[1:]...) }, true},
		"the agent says it":                         {func(r *rolling, u *fleettest.Upstream) { r.tell(u) }, true},
		"the router never hears it":                 {func(_ *rolling, u *fleettest.Upstream) { u.Agent.Leave() }, false},
		"the agent has ended":                       {func(_ *rolling, u *fleettest.Upstream) { u.Stop(); <-u.Done }, false},
	} {
		r := newRolling(t)
		u := r.slots[0].current
		for i := range 6 {
			must.Eq(t, 200, r.routers[i%2].Do(t, "POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil).Status)
		}
		tc.begin(r, u)
		served := engineRequests(t, r.slots[0].base)
		for i := range 30 {
			a := r.routers[i%2].Do(t, "POST", "/v1/chat/completions", fmt.Sprintf(chat, i), nil)
			must.Eq(t, 200, a.Status, must.Sprint(name, a.Body))
		}
		must.Eq(t, served, engineRequests(t, r.slots[0].base), must.Sprint(name))
		for _, ro := range r.routers {
			view, _ := ro.Board.Host("e1")
			must.True(t, !tc.known || !view.Choosable(), must.Sprint(name))
		}
	}
}

// tell lets both routers hear the agent's own word.
func (r *rolling) tell(u *fleettest.Upstream) {
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
