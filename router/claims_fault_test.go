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

func keyed(key string) map[string]string { return map[string]string{router.HeaderIdempotencyKey: key} }

func TestLostClaimAnswerRunsOnce(t *testing.T) {
	store, services, routers := newKeyedPair(t)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	for _, r := range routers {
		a := r.Do(t, "POST", transfers, `{"operation":"t"}`, keyed("k"))
		must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	}
	must.Eq(t, 1, services[0].Runs()["t"]+services[1].Runs()["t"])
}

// TestKeysUnderPlatformFaults sends each key at once through two routers that
// know different replicas, while the platform fails by a seeded plan, and then
// once more when it works again.
func TestKeysUnderPlatformFaults(t *testing.T) {
	const operations, seed = 100, 11
	store, services, routers := newKeyedPair(t)
	plan := rand.New(rand.NewPCG(seed, seed))
	var c tally
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
			calls.Go(func() { answers[j] = r.Do(t, "POST", transfers, `{"operation":"`+op+`"}`, keyed(op)) })
		}
		calls.Wait()
		for _, a := range answers {
			c.add(a, services[0].Runs()[op]+services[1].Runs()[op])
		}
		store.SetFaults(standin.Faults{})
		last := routers[plan.IntN(2)].Do(t, "POST", transfers, `{"operation":"`+op+`"}`, keyed(op))
		must.Eq(t, 200, last.Status, must.Sprint(last.Body))
		must.Eq(t, 1, services[0].Runs()[op]+services[1].Runs()[op])
	}
	t.Logf("seed %d: %d operations, %d sent under platform faults, %d answered, %d not run, %d may have run", seed, operations, faults, c.answered, c.notRun, c.mayHaveRun)
	must.Eq(t, 0, c.violations)
}

// TestReplacedHostNeverRunsAnOldTicket puts another incarnation at the address
// that a ticket names, once after the ticket ran and once before.
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
	drawn := r.Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil)
	old.Stop()
	<-old.Done
	fleettest.StartAgent(t, "s", fleettest.PlainService, base, cfg, func(o *agent.Options) {
		must.NoError(t, o.Listener.Close())
		o.Address = old.Host.Address
		o.Listener, err = net.Listen("tcp", old.Host.Address)
		must.NoError(t, err)
	})
	for op, first := range map[string]fleettest.Answer{"ran": ran, "drawn": drawn} {
		ticket := map[string]string{router.HeaderTicket: first.Header.Get(router.HeaderTicket)}
		again := r.Do(t, "POST", transfers, `{"operation":"`+op+`"}`, ticket)
		must.StrContains(t, again.Body, `"outcome":"may-have-run"`)
		must.Eq(t, http.StatusBadGateway, again.Status)
	}
	must.Eq(t, map[string]int{"ran": 1}, s.Runs())
	must.Eq(t, 200, r.Do(t, "POST", transfers, `{"operation":"new"}`, nil).Status)
}

// BenchmarkTransfer compares a ticket, which costs no platform call, with a
// claim per operation at a platform that takes 2 ms a call.
func BenchmarkTransfer(b *testing.B) {
	for _, way := range []string{"ticket", "claim"} {
		b.Run(way, func(b *testing.B) {
			store, _, routers := newKeyedPair(b)
			store.SetFaults(standin.Faults{DelayMillis: 2})
			n := 0
			for b.Loop() {
				n++
				var header map[string]string
				if way == "claim" {
					header = keyed(strconv.Itoa(n))
				}
				a := routers[0].Do(b, "POST", transfers, `{"operation":"`+way+strconv.Itoa(n)+`"}`, header)
				must.Eq(b, 200, a.Status)
			}
			counts := store.Counts()
			b.ReportMetric(float64(counts.Put+counts.Get)/float64(n), "platform-calls/op")
		})
	}
}

// TestRevokeRacesWithStart sends and revokes tickets at the same time: one of
// the two wins, and both callers are told so.
func TestRevokeRacesWithStart(t *testing.T) {
	const operations = 200
	_, services, routers := newKeyedPair(t)
	var c tally
	for i := range operations {
		op := fmt.Sprint("op", i)
		drawn := routers[0].Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil).Header.Get(router.HeaderTicket)
		var sent, revoked fleettest.Answer
		var calls sync.WaitGroup
		calls.Go(func() {
			sent = routers[0].Do(t, "POST", transfers, `{"operation":"`+op+`"}`, map[string]string{router.HeaderTicket: drawn})
		})
		calls.Go(func() {
			time.Sleep(time.Duration(i%20) * 50 * time.Microsecond)
			revoked = routers[1].Do(t, "DELETE", "/v1/tickets/"+drawn, "", nil)
		})
		calls.Wait()
		runs := services[0].Runs()[op]
		c.add(sent, runs)
		must.Eq(t, revoked.Status == 204, runs == 0, must.Sprint(op, ": ", revoked.Status, " ", revoked.Body))
	}
	t.Logf("%d operations: %d answered, %d not run, %d may have run", operations, c.answered, c.notRun, c.mayHaveRun)
	must.Eq(t, 0, c.violations)
}
