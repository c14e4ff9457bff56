package router

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/platform"
	"github.com/shoenig/test/must"
)

// Hosts that failed are out within the ceiling, return at a low weight, and
// leaving ones stay out whatever the ceiling.
func TestCandidatesEjectWithinCeiling(t *testing.T) {
	now := time.Hour
	b := board.NewWithClock(func() time.Duration { return now })
	var hosts []platform.Host
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		hosts = append(hosts, platform.Host{Name: name, Role: platform.RoleAgent, Service: "model", Address: name, State: platform.HostLive})
	}
	hosts[3].State = platform.HostLeaving
	b.ObserveHostList(hosts)
	r := &Router{opts: Options{Board: b}}
	weights := func() (ws []float64) {
		for _, c := range r.candidates()["model"] {
			ws = append(ws, c.Weight)
		}
		return ws
	}
	must.Eq(t, []float64{1, 1, 1}, weights())
	r.ejections.fail("e1", now)
	must.Eq(t, []float64{0, 1, 1}, weights())
	now += time.Second
	r.ejections.fail("e2", now) // one of three may be out: the earlier is let back
	must.Eq(t, []float64{0.1, 0, 1}, weights())
	now += time.Minute
	must.Eq(t, []float64{1, 1, 1}, weights())
	b.ObservePeer(board.Evidence{Host: "e3", Kind: board.EvidenceRefused})
	must.Eq(t, []float64{1, 1, 0}, weights())
}
