package router_test

import (
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
)

// Guards against requests that go on to an agent whose upstream refuses connections:
// the agent accepts each of them and refuses it only in its answer.
func TestAgentOfStoppedUpstreamIsHeldBack(t *testing.T) {
	stopped := httptest.NewServer(nil)
	stopped.Close()
	base, err := url.Parse(stopped.URL)
	must.NoError(t, err)
	cfg := fleettest.Config(1)
	for _, method := range []string{"GET", "POST"} {
		up := fleettest.StartAgent(t, "s", fleettest.PlainService, base, cfg, nil)
		r := fleettest.StartRouter(t, "r", cfg, []*fleettest.Upstream{up}, nil, nil)
		a := r.Do(t, method, transfers, `{"operation":"t"}`, nil)
		must.Eq(t, 503, a.Status, must.Sprint(a.Body))
		view, ok := r.Board.Host("s")
		must.True(t, ok)
		must.Greater(t, 0, view.BackoffRemaining, must.Sprint(method))
	}
}
