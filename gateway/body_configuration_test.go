package gateway_test

import (
	"net/http"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// Guards against requests that are handled by a configuration of seconds ago: a new one takes
// effect while the body arrives, which withdraws the key, drops the route, moves it to another
// service, or allows smaller bodies only.
func TestConfigurationThatArrivesDuringTheBodyCounts(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*routing.Configuration)
		status int
		served string // by which upstream
	}{
		"nothing changes": {func(*routing.Configuration) {}, http.StatusOK, "i-1"},
		"no key":          {func(c *routing.Configuration) { c.Customers[0].Keys = []string{"other"} }, http.StatusUnauthorized, ""},
		"no route":        {func(c *routing.Configuration) { c.Routes = nil }, http.StatusNotFound, ""},
		"smaller bodies":  {func(c *routing.Configuration) { c.Limits.BodyBytes = 9 }, http.StatusRequestEntityTooLarge, ""},
		"other service": {func(c *routing.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Shares = []routing.Share{{Service: "other", Weight: 1}}
			}
		}, http.StatusOK, "i-2"},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newReplica(t, "i-1", answering("ok")), newReplica(t, "i-2", answering("ok"))
			f := newFixture(t)
			other := two.upstream()
			other.Service = "other"
			f.gateway.SetCatalog(catalog.New(2, []catalog.Upstream{one.upstream(), other}))
			caller := newSlowCaller(t, f, "/once/", false)
			await(func() bool { return f.gateway.Active() == 1 })
			configuration := &routing.Configuration{
				Version: 2, Routes: defaultRoutes(), Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
				Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
			}
			c.change(configuration)
			f.gateway.SetTable(routing.NewTable(configuration))
			caller.finish(t)
			must.Eq(t, c.status, caller.answer(t).StatusCode)
			for _, r := range []*replica{one, two} {
				must.Eq(t, c.served == r.id, r.runs.Load() == 1, must.Sprint(r.id))
			}
		})
	}
}
