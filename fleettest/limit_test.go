package fleettest_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/platform"
	"github.com/shoenig/test/must"
)

// Guards against routers that, each by itself, send an upstream more than the limit that it
// names: the agent beside it keeps the limit for all of them, refuses the rest as not run,
// and lets it end.
func TestAgentKeepsTheLimitOfItsUpstream(t *testing.T) {
	const perSecond = 5
	var limited atomic.Bool
	var runs atomic.Int64
	limited.Store(true)
	cfg := fleettest.Config(1)
	u := fleettest.StartUpstream(t, "s1", fleettest.PlainService, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if limited.Load() {
			w.Header().Set("Server-Limit", "5")
		}
		_, _ = w.Write([]byte("ok"))
	}), cfg, func(o *agent.Options) { o.ReadLimit = platform.ReadLimit })
	u.Agent.ObserveMean(meanLoad, replicas, 0)
	var routers []*fleettest.Router
	for _, name := range []string{"r1", "r2", "r3"} {
		routers = append(routers, fleettest.StartRouter(t, name, cfg, []*fleettest.Upstream{u}, nil, nil))
	}
	var served, refused atomic.Int64
	call := func(d time.Duration) {
		var callers sync.WaitGroup
		for _, r := range routers {
			callers.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					a, err := r.Try("GET", "/v1/services/"+fleettest.PlainService+"/x", "", nil)
					switch {
					case err == nil && a.Status == http.StatusOK:
						served.Add(1)
					case err == nil && a.Status == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						t.Error("neither answered nor refused: ", err, a)
					}
				}
			})
		}
		callers.Wait()
	}
	call(time.Second) // the limit becomes known
	served.Store(0)
	refused.Store(0)
	before := runs.Load()
	call(4 * time.Second)
	must.LessEq(t, 1.5*4*perSecond+5, float64(runs.Load()-before))
	must.GreaterEq(t, int64(0.8*4*perSecond), served.Load())
	must.Eq(t, served.Load(), runs.Load()-before, must.Sprint("what was refused has not run"))
	must.Positive(t, refused.Load())
	limited.Store(false)
	call(2 * time.Second)
	refused.Store(0)
	call(time.Second)
	must.Zero(t, refused.Load(), must.Sprint("after the limit"))
}
