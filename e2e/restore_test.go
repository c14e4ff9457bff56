package e2e

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a second run of a call whose idempotency key the platform has lost at
// its return from a copy.
func TestKeyLostByPlatformDoesNotRunAgain(t *testing.T) {
	ctx := newTestContext(t)
	send := func(router string) int {
		header := http.Header{"Idempotency-Key": {"e2e-lost-key"}}
		answer, err := sharedFleet.Call(ctx, router, http.MethodPost, transferPath, header, `{"operation":"e2e-lost-key"}`)
		must.NoError(t, err)
		return answer.Status
	}
	copied, err := sharedFleet.Call(ctx, "platform", http.MethodPut, "/control/copy", nil, "")
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, copied.Status)
	must.Eq(t, http.StatusOK, send("router-1"))
	_, err = sharedFleet.Call(ctx, "platform", http.MethodPut, "/control/restore", nil, "")
	must.Error(t, err) // no call during which the store returns is answered
	for _, router := range []string{"router-2", "router-1", "router-2"} {
		must.Eq(t, http.StatusServiceUnavailable, send(router))
	}
	must.Eq(t, 1, countRuns(ctx, t, "e2e-lost-key"))
}
