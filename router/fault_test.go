package router_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/standin/engine"
	"dandelionrill.example/standin/service"
)

// ledgerFleet is a router and its ledger service replicas, connected by a
// network that can inject faults.
type ledgerFleet struct {
	network  *fleettest.Network
	services []*service.Server
	ups      []*fleettest.Upstream
	router   *fleettest.Router
}

func newLedgerFleet(t *testing.T, replicas int) *ledgerFleet {
	l := &ledgerFleet{network: &fleettest.Network{}}
	cfg := fleettest.Config(1)
	for i := range replicas {
		s := service.New(service.Options{Name: fmt.Sprint("s", i)})
		l.services = append(l.services, s)
		l.ups = append(l.ups, fleettest.StartUpstream(t, fmt.Sprint("s", i), fleettest.PlainService, s, cfg, shortUpstreamTimeout))
	}
	l.router = fleettest.StartRouter(t, "r1", cfg, l.ups, l.network.Dial, func(o *router.Options) { o.AgentLostAfter = 2 * time.Second })
	return l
}

// shortUpstreamTimeout sets a short timeout for the agent's calls, so that
// calls that hang do not block the test.
func shortUpstreamTimeout(o *agent.Options) { o.UpstreamTimeout = time.Second }

func (l *ledgerFleet) runs(operation string) int {
	n := 0
	for _, s := range l.services {
		n += s.Runs()[operation]
	}
	return n
}

func (l *ledgerFleet) transfer(t *testing.T, operation string, header map[string]string) fleettest.Answer {
	return l.router.Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"`+operation+`"}`, header)
}

// onFirstWrite returns a callback that calls f at the first write that
// contains text.
func onFirstWrite(text string, f func()) func([]byte) {
	var done atomic.Bool
	return func(p []byte) {
		if bytes.Contains(p, []byte(text)) && !done.Swap(true) {
			f()
		}
	}
}

func TestSubmitDelayedByFreezeDoesNotRunAgain(t *testing.T) {
	l := newLedgerFleet(t, 1)
	l.network.BeforeWrite = onFirstWrite("Agent.Submit", l.network.Freeze)
	a := l.transfer(t, "t", nil)
	must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	must.Eq(t, 1, l.runs("t"))
	l.network.Unfreeze() // delivers the first submission late
	must.Eq(t, 200, l.transfer(t, "other", nil).Status)
	must.Eq(t, 1, l.runs("t"))
}

func TestLostSubmitReplyDoesNotRunTwice(t *testing.T) {
	l := newLedgerFleet(t, 2)
	l.network.AfterWrite = onFirstWrite("Agent.Submit", l.network.Freeze)
	a := l.transfer(t, "t", nil)
	must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	must.Eq(t, 1, l.runs("t"))
}

func TestAnswerIsReadOnNewConnectionAfterFreeze(t *testing.T) {
	l := newLedgerFleet(t, 1)
	l.services[0].SetFaults(service.Faults{DelayMillis: 300})
	l.network.BeforeWrite = onFirstWrite("Agent.Read", l.network.Freeze)
	a := l.transfer(t, "t", nil)
	must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	must.Eq(t, 1, l.runs("t"))
	must.Greater(t, 1, l.network.Dials())
}

func TestLostUpstreamAnswerIsNotRepeated(t *testing.T) {
	l := newLedgerFleet(t, 2)
	for _, s := range l.services {
		s.SetFaults(service.Faults{Mode: service.ModeLoseAnswer})
	}
	a := l.transfer(t, "t", nil)
	must.Eq(t, 502, a.Status, must.Sprint(a.Body))
	must.StrContains(t, a.Body, `"outcome":"may-have-run"`)
	must.NotEq(t, "", a.Header.Get("Retry-After"))
	must.Eq(t, 1, l.runs("t"))
}

func TestCallRefusedByUpstreamIsRetriedOnAnother(t *testing.T) {
	l := newLedgerFleet(t, 1)
	closed, err := url.Parse("http://127.0.0.1:1")
	must.NoError(t, err)
	cfg := fleettest.Config(1)
	down := fleettest.StartAgent(t, "down", fleettest.PlainService, closed, cfg, nil)
	r := fleettest.StartRouter(t, "r2", cfg, []*fleettest.Upstream{down}, nil, nil)
	refused := r.Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"t"}`, nil)
	must.Eq(t, 503, refused.Status)
	must.StrContains(t, refused.Body, `"outcome":"not-run"`)
	both := fleettest.StartRouter(t, "r3", cfg, append(l.ups, down), nil, nil)
	for i := range 10 {
		op := fmt.Sprint("op", i)
		a := both.Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"`+op+`"}`, nil)
		must.Eq(t, 200, a.Status, must.Sprint(a.Body))
		must.Eq(t, 1, l.runs(op))
	}
}

func TestDeadlineReturnsMayHaveRunWithTicket(t *testing.T) {
	l := newLedgerFleet(t, 1)
	l.services[0].SetFaults(service.Faults{Mode: service.ModeHang})
	a := l.transfer(t, "t", map[string]string{router.HeaderTimeout: "0.2"})
	must.Eq(t, 504, a.Status)
	must.StrContains(t, a.Body, `"outcome":"may-have-run"`)
	must.StrContains(t, a.Body, `"ticket":"`)
	must.Eq(t, 1, l.runs("t"))
}

func TestEndlessAnswerEndsAtKeptAnswerLimit(t *testing.T) {
	const kept, oneRead = 100 << 10, 32 << 10 // a read that does not fit is dropped completely
	cfg := fleettest.Config(1)
	cfg.Services[0].Resumes = false
	e := engine.New(engine.Options{Name: "e1", Faults: engine.Faults{Mode: engine.ModeEndless}})
	up := fleettest.StartUpstream(t, "e1", fleettest.ModelService, e, cfg, func(o *agent.Options) { o.KeptAnswerBytes = kept })
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{up}, nil, nil)
	a := r.Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
	must.StrContains(t, a.Body, `"outcome":"incomplete"`)
	must.StrNotContains(t, a.Body, "[DONE]")
	must.Between(t, kept-oneRead, len(a.Body), 3*kept) // event identifiers add to the size
	e.SetFaults(engine.Faults{})
	must.Eq(t, 200, r.Do(t, "POST", "/v1/chat/completions", chatBody("false"), nil).Status, must.Sprint("the bytes of the first answer must be released"))
}

func TestStreamContinuesOnNewConnection(t *testing.T) {
	cfg := fleettest.Config(1)
	e := engine.New(engine.Options{Name: "e1", TimePerToken: 10 * time.Millisecond})
	up := fleettest.StartUpstream(t, "e1", fleettest.ModelService, e, cfg, nil)
	network := &fleettest.Network{}
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{up}, network.Dial, nil)
	want := r.Do(t, "POST", "/v1/chat/completions", chatBody("false"), nil)
	for name, fault := range map[string]func(){"freeze": network.Freeze, "close all": network.CloseAll} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest("POST", r.URL+"/v1/chat/completions", strings.NewReader(chatBody("true")))
			must.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+fleettest.CustomerKey)
			resp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			defer resp.Body.Close()
			head := make([]byte, 400)
			_, err = io.ReadFull(resp.Body, head)
			must.NoError(t, err)
			dials := network.Dials()
			fault()
			rest, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			network.Unfreeze()
			must.Eq(t, plainText(t, want.Body), streamText(t, string(head)+string(rest)))
			must.Greater(t, dials, network.Dials())
		})
	}
}

// lateDeliveryWait gives submissions that were frozen time to arrive before
// runs are counted.
const lateDeliveryWait = 200 * time.Millisecond

// outcomeCounts counts the outcomes that callers received. An outcome that
// contradicts what the services ran is a violation.
type outcomeCounts struct {
	answered, notRun, mayHaveRun, violations int
}

func (c *outcomeCounts) add(a fleettest.Answer, runs int) {
	switch {
	case a.Status == 200:
		c.answered++
		c.check(runs == 1)
	case strings.Contains(a.Body, `"outcome":"not-run"`):
		c.notRun++
		c.check(runs == 0)
	case strings.Contains(a.Body, `"outcome":"may-have-run"`):
		c.mayHaveRun++
		c.check(runs <= 1)
	default:
		c.violations++
	}
}

func (c *outcomeCounts) check(ok bool) {
	if !ok {
		c.violations++
	}
}

// TestAtMostOnceUnderConnectionFaults freezes, unfreezes and closes the connections
// by a seeded plan while callers send transfers. No call may run twice, and no
// outcome may contradict the number of runs.
func TestAtMostOnceUnderConnectionFaults(t *testing.T) {
	const operations, callers, faults, seed = 120, 12, 40, 7
	l := newLedgerFleet(t, 3)
	for _, s := range l.services {
		s.SetFaults(service.Faults{DelayMillis: 5})
	}
	stop := make(chan struct{})
	var injected sync.WaitGroup
	injected.Go(func() {
		plan := rand.New(rand.NewPCG(seed, seed))
		actions := []func(){l.network.Freeze, l.network.Unfreeze, l.network.CloseAll}
		for range faults {
			actions[plan.IntN(len(actions))]()
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(plan.IntN(40)) * time.Millisecond):
			}
		}
	})
	answers := make([]fleettest.Answer, operations)
	var calls sync.WaitGroup
	for c := range callers {
		calls.Go(func() {
			for i := c; i < operations; i += callers {
				answers[i] = l.transfer(t, fmt.Sprint("op", i), map[string]string{router.HeaderTimeout: "10"})
			}
		})
	}
	calls.Wait()
	close(stop)
	injected.Wait()
	l.network.Unfreeze()
	time.Sleep(lateDeliveryWait)
	var counts outcomeCounts
	for i, a := range answers {
		counts.add(a, l.runs(fmt.Sprint("op", i)))
	}
	t.Logf("seed %d: %d operations: %d answered, %d not run, %d may have run", seed, operations, counts.answered, counts.notRun, counts.mayHaveRun)
	must.Eq(t, 0, counts.violations)
}
