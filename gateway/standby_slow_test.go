package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The upstream that had the request stays silent, or breaks off, and the only other one
// needs longer for its answer than a standby attempt may take. Giving up the standby
// attempt then leaves nobody to answer.
func TestSlowStandbyAttemptIsNotGivenUpForNothing(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"stays silent": mute,
		"breaks off": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(1300 * time.Millisecond)
			panic(http.ErrAbortHandler)
		},
	} {
		for _, path := range []string{"/safe/", "/resume/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-r.Context().Done():
					case <-time.After(2 * time.Second):
						w.Header().Set(signature, "second")
						events(w, 1, 4)
					}
				})
				silent := newReplica(t, "i-silent", first)
				f := newFixture(t, silent)
				f.setRoutes(3, 5*time.Second)
				go listLater(f, silent, other)
				response, body := f.do(t, f.newRequest(t, http.MethodPost, path, "{}"))
				must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(body))
			})
		}
	}
}
