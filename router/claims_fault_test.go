package router_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
	standin "dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/service"
)

const transfers = "/v1/services/share-ledger/transfers"

func keyHeader(key string) map[string]string {
	return map[string]string{router.HeaderIdempotencyKey: key}
}

func TestKeyedCallRunsOnceWhenClaimReplyIsLost(t *testing.T) {
	store, services, routers := newDisjointRouters(t)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	for _, r := range routers {
		a := r.Do(t, "POST", transfers, `{"operation":"t"}`, keyHeader("k"))
		must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	}
	must.Eq(t, 1, services[0].Runs()["t"]+services[1].Runs()["t"])
}

// TestKeysUnderPlatformFaults sends each key concurrently through two routers
// that know different replicas, while the platform injects faults by a seeded
// plan. It then repeats the key once without faults. The call must run exactly
// once.
func TestKeysUnderPlatformFaults(t *testing.T) {
	const operations, seed = 100, 11
	store, services, routers := newDisjointRouters(t)
	plan := rand.New(rand.NewPCG(seed, seed))
	var counts outcomeCounts
	faults := 0
	for i := range operations {
		op := fmt.Sprint("op", i)
		fault := standin.Faults{LoseAnswers: plan.IntN(4)}
		if plan.IntN(5) == 0 {
			fault = standin.Faults{Outage: standin.OutageRefuse}
		}
		if fault != (standin.Faults{}) {
			faults++
		}
		store.SetFaults(fault)
		var answers [2]fleettest.Answer
		var calls sync.WaitGroup
		for j, r := range routers {
			calls.Go(func() { answers[j] = r.Do(t, "POST", transfers, `{"operation":"`+op+`"}`, keyHeader(op)) })
		}
		calls.Wait()
		for _, a := range answers {
			counts.add(a, services[0].Runs()[op]+services[1].Runs()[op])
		}
		store.SetFaults(standin.Faults{})
		last := routers[plan.IntN(2)].Do(t, "POST", transfers, `{"operation":"`+op+`"}`, keyHeader(op))
		must.Eq(t, 200, last.Status, must.Sprint(last.Body))
		must.Eq(t, 1, services[0].Runs()[op]+services[1].Runs()[op])
	}
	t.Logf("seed %d: %d operations, %d sent under platform faults, %d answered, %d not run, %d may have run", seed, operations, faults, counts.answered, counts.notRun, counts.mayHaveRun)
	must.Eq(t, 0, counts.violations)
}

// TestReplacedHostNeverRunsAnOldTicket starts an agent with another
// incarnation at the address that two tickets name: one that has run and one
// that has not. The new agent must run neither.
func TestReplacedHostNeverRunsAnOldTicket(t *testing.T) {
	s := service.New(service.Options{Name: "s"})
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	base, err := url.Parse(web.URL)
	must.NoError(t, err)
	cfg := fleettest.Config(1)
	old := fleettest.StartAgent(t, "s", fleettest.PlainService, base, cfg, nil)
	r := fleettest.StartRouter(t, "r", cfg, []*fleettest.Upstream{old}, nil, nil)
	ran := r.Do(t, "POST", transfers, `{"operation":"ran"}`, nil)
	must.Eq(t, 200, ran.Status, must.Sprint(ran.Body))
	issued := r.Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil)
	old.Stop()
	<-old.Done
	fleettest.StartAgent(t, "s", fleettest.PlainService, base, cfg, func(o *agent.Options) {
		must.NoError(t, o.Listener.Close())
		o.Address = old.Host.Address
		o.Listener, err = net.Listen("tcp", old.Host.Address)
		must.NoError(t, err)
	})
	for op, first := range map[string]fleettest.Answer{"ran": ran, "drawn": issued} {
		ticket := map[string]string{router.HeaderTicket: first.Header.Get(router.HeaderTicket)}
		again := r.Do(t, "POST", transfers, `{"operation":"`+op+`"}`, ticket)
		must.StrContains(t, again.Body, `"outcome":"may-have-run"`)
		must.Eq(t, http.StatusBadGateway, again.Status)
	}
	must.Eq(t, map[string]int{"ran": 1}, s.Runs())
	must.Eq(t, 200, r.Do(t, "POST", transfers, `{"operation":"new"}`, nil).Status)
}

// BenchmarkTransfer compares a call by ticket, which needs no platform call,
// with a call by idempotency key, which needs a claim, at a platform with a
// latency of 2 ms per call.
func BenchmarkTransfer(b *testing.B) {
	for _, mode := range []string{"ticket", "claim"} {
		b.Run(mode, func(b *testing.B) {
			store, _, routers := newDisjointRouters(b)
			store.SetFaults(standin.Faults{DelayMillis: 2})
			n := 0
			for b.Loop() {
				n++
				var header map[string]string
				if mode == "claim" {
					header = keyHeader(strconv.Itoa(n))
				}
				a := routers[0].Do(b, "POST", transfers, `{"operation":"`+mode+strconv.Itoa(n)+`"}`, header)
				must.Eq(b, 200, a.Status)
			}
			counts := store.Counts()
			b.ReportMetric(float64(counts.Put+counts.Get)/float64(n), "platform-calls/op")
		})
	}
}

// TestRevokeRacesWithStart submits and revokes tickets concurrently. Either
// the call runs or the revocation succeeds, and the answers to both callers
// must say which.
func TestRevokeRacesWithStart(t *testing.T) {
	const operations = 200
	_, services, routers := newDisjointRouters(t)
	var counts outcomeCounts
	for i := range operations {
		op := fmt.Sprint("op", i)
		issued := routers[0].Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil).Header.Get(router.HeaderTicket)
		var sent, revoked fleettest.Answer
		var calls sync.WaitGroup
		calls.Go(func() {
			sent = routers[0].Do(t, "POST", transfers, `{"operation":"`+op+`"}`, map[string]string{router.HeaderTicket: issued})
		})
		calls.Go(func() {
			time.Sleep(time.Duration(i%20) * 50 * time.Microsecond)
			revoked = routers[1].Do(t, "DELETE", "/v1/tickets/"+issued, "", nil)
		})
		calls.Wait()
		runs := services[0].Runs()[op]
		counts.add(sent, runs)
		must.Eq(t, revoked.Status == 204, runs == 0, must.Sprint(op, ": ", revoked.Status, " ", revoked.Body))
	}
	t.Logf("%d operations: %d answered, %d not run, %d may have run", operations, counts.answered, counts.notRun, counts.mayHaveRun)
	must.Eq(t, 0, counts.violations)
}
