package soak

import (
	"net/http/httptest"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// A router that goes on sending to an upstream, although it passed on that this leaves,
// must be reported, but not another router that did not hear of it.
func TestLateArrivalsAreThoseOfTheRouterThatWasTold(t *testing.T) {
	now := time.Now()
	phase := period{now.Add(-time.Minute), now.Add(time.Minute)}
	for _, c := range []struct {
		name    string
		leaving bool
		router  int
		sent    time.Duration // after the first answer
		want    int
	}{
		{"late", true, 0, drainLimit + 1, 1},
		{"in time", true, 0, drainLimit, 0},
		{"at another router", true, 1, drainLimit + 1, 0},
		{"not leaving", false, 0, drainLimit + 1, 0},
	} {
		u := &upstream{id: "i", replica: replica.New(replica.Options{ID: "i", Slots: 1})}
		u.replica.SetLeaving(c.leaving)
		for _, attempt := range []string{"a", "b"} {
			r := httptest.NewRequest("POST", "/once/x", nil)
			r.Header.Set(wire.HeaderAttempt, attempt)
			u.replica.ServeHTTP(httptest.NewRecorder(), r)
		}
		late := lateArrivals(u, phase, map[string]*outcome{
			"a": {attempt: "a", upstream: "i", headAt: now},
			"b": {attempt: "b", upstream: "i", router: c.router, started: now.Add(c.sent), headAt: now.Add(c.sent)},
		})
		must.Len(t, c.want, late[c.router], must.Sprint(c.name))
	}
}
