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
	f.setWeights(1, 1)
	other := second.upstream()
	other.Service = "s2"
	f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{first.upstream(), other}))
}

// setWeights divides all routes between the two services.
func (f *fixture) setWeights(first, second int) {
	routes := defaultRoutes()
	for i := range routes {
		routes[i].Shares = []routing.Share{{Service: "s", Weight: first}, {Service: "s2", Weight: second}}
	}
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: f.gateway.Version() + 1, Routes: routes, Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
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

// Both services of a route have the same version. Its weights change while a stream waits to
// be taken up: it must go on at the service that began it while the route has that, and must
// not be continued by the other one, which writes another answer.
func TestStreamStaysAtItsServiceWhenWeightsChange(t *testing.T) {
	for name, left := range map[string]int{"fewer": 1, "none": 0} {
		t.Run(name, func(t *testing.T) {
			first, second := newVersion(t, "i-1", "v1", breaking), newVersion(t, "i-2", "v1", breaking)
			f := newFixture(t, first)
			f.setServices(first, second)
			var began []string
			for i := 0; len(began) < 10; i++ {
				if attempt := "began-" + strconv.Itoa(i); routeToFirst(attempt) {
					f.cut(t, f.newResumable(t, attempt, ""))
					began = append(began, attempt)
				}
			}
			f.setWeights(left, 1000)
			atFirst, atSecond := first.runs.Load(), second.runs.Load()
			for _, attempt := range began {
				f.do(t, f.newResumable(t, "again-"+attempt, attempt))
			}
			must.Eq(t, 10*int64(left), first.runs.Load()-atFirst)
			must.Eq(t, 0, second.runs.Load()-atSecond)
		})
	}
}
