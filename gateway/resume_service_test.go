package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// setServices divides all routes equally between two services of one replica each.
func (f *fixture) setServices(first, second *replica) {
	routes := defaultRoutes()
	for i := range routes {
		routes[i].Shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}}
	}
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 2, Routes: routes, Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
	other := second.upstream()
	other.Service = "s2"
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{first.upstream(), other}))
}

// A route divides its requests between two services by the attempt's identifier. A stream
// that an attempt with another identifier takes up must go on at the service that began
// it: the other one has no upstream of its version, or is the only guess and wrong.
func TestStreamGoesOnAtTheServiceThatBeganIt(t *testing.T) {
	for name, unrecorded := range map[string]string{"recorded": "", "unrecorded": "elsewhere-"} {
		t.Run(name, func(t *testing.T) {
			first, second := newVersion(t, "i-1", "v1", breaking), newVersion(t, "i-2", "v2", breaking)
			f := newFixture(t, first)
			f.setServices(first, second)
			refused, misplaced := 0, 0
			for i := range 20 {
				began := unrecorded + "began-" + strconv.Itoa(i)
				byFirst := routeToFirst(began)
				if unrecorded == "" {
					f.cut(t, f.newResumable(t, began, ""))
				}
				before := first.runs.Load()
				response, _ := f.do(t, f.newResumable(t, "again-"+strconv.Itoa(i), began))
				switch {
				case response.StatusCode != http.StatusOK:
					refused++
				case byFirst != (first.runs.Load() > before):
					misplaced++
				}
			}
			must.Eq(t, [2]int{}, [2]int{refused, misplaced}, must.Sprint("refused, at the other service"))
		})
	}
}

// routeToFirst reports whether an attempt's new stream goes to the first service.
func routeToFirst(attempt string) bool {
	r := routing.Route{Shares: []routing.Share{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}}}
	return r.Service(attempt) == "s"
}
