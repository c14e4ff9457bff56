package router_test

import (
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/router"
	standin "dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/service"
)

// newDisjointRouters starts two routers that know different replicas, so that
// only the claim can prevent a key's calls from running on both.
func newDisjointRouters(t testing.TB) (*standin.Server, [2]*service.Server, [2]*fleettest.Router) {
	store := standin.New(standin.Options{})
	web := httptest.NewServer(store)
	t.Cleanup(web.Close)
	client, err := platform.NewClient(platform.ClientOptions{BaseURL: web.URL, Timeout: time.Second})
	must.NoError(t, err)
	var services [2]*service.Server
	var routers [2]*fleettest.Router
	cfg := fleettest.Config(1)
	for i := range services {
		name := "s" + strconv.Itoa(i)
		services[i] = service.New(service.Options{Name: name})
		up := fleettest.StartUpstream(t, name, fleettest.PlainService, services[i], cfg, nil)
		routers[i] = fleettest.StartRouter(t, "r"+strconv.Itoa(i), cfg, []*fleettest.Upstream{up}, nil, func(o *router.Options) {
			o.Keys = claims.New(claims.Options{Store: client, RetryDelay: time.Millisecond})
		})
	}
	return store, services, routers
}

func TestSameKeyThroughRoutersWithDifferentReplicasRunsOnce(t *testing.T) {
	_, services, routers := newDisjointRouters(t)
	const operations, copies = 20, 4
	var wg sync.WaitGroup
	answers := make([]fleettest.Answer, operations*copies)
	for i := range answers {
		wg.Go(func() {
			op := strconv.Itoa(i / copies)
			answers[i] = routers[i%2].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"`+op+`"}`, map[string]string{router.HeaderIdempotencyKey: "k" + op})
		})
	}
	wg.Wait()
	for i, a := range answers {
		must.Eq(t, 200, a.Status, must.Sprint(a.Body))
		must.Eq(t, answers[i/copies*copies].Body, a.Body)
	}
	for i := range operations {
		op := strconv.Itoa(i)
		must.Eq(t, 1, services[0].Runs()[op]+services[1].Runs()[op])
	}
	mismatch := routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"x"}`, map[string]string{router.HeaderIdempotencyKey: "k0"})
	must.Eq(t, 422, mismatch.Status)
	rubber := map[string]string{router.HeaderIdempotencyKey: "k0", "Authorization": "Bearer " + fleettest.OtherCustomerKey}
	must.Eq(t, 200, routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"0"}`, rubber).Status)
	must.Eq(t, 2, services[0].Runs()["0"]+services[1].Runs()["0"])
}

func TestKeyedCallIsRefusedDuringPlatformOutage(t *testing.T) {
	store, services, routers := newDisjointRouters(t)
	store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	key := map[string]string{router.HeaderIdempotencyKey: "k"}
	body := `{"operation":"t"}`
	refused := routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", body, key)
	must.Eq(t, 503, refused.Status)
	must.StrContains(t, refused.Body, `"code":"platform-unavailable"`)
	must.NotEq(t, "", refused.Header.Get("Retry-After"))
	must.MapEmpty(t, services[0].Runs())
	store.SetFaults(standin.Faults{})
	must.Eq(t, 200, routers[1].Do(t, "POST", "/v1/services/share-ledger/transfers", body, key).Status)
	must.Eq(t, 200, routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", body, key).Status)
	must.Eq(t, 1, services[0].Runs()["t"]+services[1].Runs()["t"])
}

func TestKeyIsReboundAfterTicketIsRevoked(t *testing.T) {
	_, services, routers := newDisjointRouters(t)
	issued := routers[0].Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil).Header.Get(router.HeaderTicket)
	must.Eq(t, 204, routers[0].Do(t, "DELETE", "/v1/tickets/"+issued, "", nil).Status)
	key := map[string]string{router.HeaderIdempotencyKey: "k", router.HeaderTicket: issued}
	a := routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"t"}`, key)
	must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	must.NotEq(t, issued, a.Header.Get(router.HeaderTicket))
	must.Eq(t, 1, services[0].Runs()["t"])
}
