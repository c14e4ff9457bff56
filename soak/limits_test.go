package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// More requests than a limit allows must be reported, but not those of a router that has not
// passed on an answer with it or was disturbed; and limits that are not used, or that
// outlast what the upstream says.
func TestLimitsThatAreNotKeptAreReported(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int // requests of one router
		unknown   bool
		disturbed int
		refused   int // requests refused at any other router, a second
		want      int
	}{
		{"kept", 3, false, -1, 0, 0},
		{"exceeded", 6, false, -1, 0, 1},
		{"not passed on", 6, true, -1, 0, 0},
		{"router disturbed", 6, false, 0, 0, 0},
		{"used", 2, false, -1, 20, 0},
		{"not used", 0, false, -1, 20, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{id: "i", replica: replica.New(replica.Options{ID: "i", Slots: 1000})}
			u.replica.SetLimit("2")
			phase := &limitPhase{disturbed: c.disturbed, limits: map[*upstream]namedLimits{u: {2, 2}}, all: true}
			phase.from = time.Now()
			var outcomes []outcome
			for second := range int(limitTime.Seconds()) {
				for n := range c.perSecond {
					o := outcome{attempt: fmt.Sprint(second, "-", n), upstream: "i", started: time.Now(), headAt: time.Now(), finished: time.Now(), status: http.StatusOK}
					if c.unknown {
						o.upstream = ""
					}
					r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
					r.Header.Set(wire.HeaderAttempt, o.attempt)
					u.replica.ServeHTTP(httptest.NewRecorder(), r)
					outcomes = append(outcomes, o)
				}
				for range c.refused {
					outcomes = append(outcomes, outcome{started: time.Now(), finished: time.Now(), status: http.StatusServiceUnavailable})
				}
				time.Sleep(time.Second)
			}
			phase.to = time.Now()
			byAttempt := make(map[string]*outcome)
			for i := range outcomes {
				byAttempt[outcomes[i].attempt] = &outcomes[i]
			}
			s := &Soak{}
			s.checkLimits(phase, outcomes, byAttempt)
			must.Len(t, c.want, s.violations, must.Sprint(c.name, s.violations))
			late := phase.to.Add(limitEndTime + time.Second)
			s.checkLimits(phase, append(outcomes, outcome{started: late, finished: late, status: http.StatusServiceUnavailable}), byAttempt)
			must.Len(t, 2*c.want+1, s.violations, must.Sprint("refused after the limits"))
		})
	}
}
