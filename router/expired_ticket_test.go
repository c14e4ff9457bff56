package router_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/standin/service"
)

// TestExpiredTicketMayHaveRun asks for the outcome of a ticket that ran, after
// the agent has discarded its window.
func TestExpiredTicketMayHaveRun(t *testing.T) {
	s := service.New(service.Options{Name: "s"})
	cfg := fleettest.Config(1)
	up := fleettest.StartUpstream(t, "s", fleettest.PlainService, s, cfg, func(o *agent.Options) {
		o.WindowDuration, o.Windows = 100*time.Millisecond, 1
	})
	r := fleettest.StartRouter(t, "r", cfg, []*fleettest.Upstream{up}, nil, nil)
	ran := r.Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"t"}`, nil)
	must.Eq(t, 200, ran.Status, must.Sprint(ran.Body))
	outcome := ran
	for range 10 {
		time.Sleep(2 * time.Second) // every request for the outcome keeps the recorded answer longer
		outcome = r.Do(t, "GET", "/v1/tickets/"+ran.Header.Get(router.HeaderTicket), "", nil)
		if outcome.Status != 200 {
			break
		}
	}
	must.Eq(t, 502, outcome.Status, must.Sprint(outcome.Body))
	must.StrContains(t, outcome.Body, `"outcome":"may-have-run"`)
}
