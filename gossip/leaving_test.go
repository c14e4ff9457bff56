package gossip

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

// Routers that got no answer of an upstream since it began to leave would go on sending to
// it until its entry says so.
func TestUpstreamsThatSayThatTheyLeaveAreReported(t *testing.T) {
	first := startRouter(t, "r1")
	second := startRouter(t, "r2", first.address)
	x := catalog.Key{ID: "x", Born: 5}
	first.mesh.opts.Leaving.Add(x, 0)
	select {
	case got := <-second.leaving:
		must.Eq(t, x, got)
	case <-time.After(10 * time.Second):
		t.Fatal("not reported")
	}
}
