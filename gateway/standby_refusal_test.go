package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A silent upstream at last refuses or fails while a standby attempt is in progress.
// Ending that attempt loses a request that was about to be answered.
func TestRefusalDoesNotEndTheStandbyAttempt(t *testing.T) {
	for name, last := range map[string]http.HandlerFunc{
		"refusal": refusing,
		"failure": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(signature, "first")
			w.WriteHeader(http.StatusInternalServerError)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-ended
				select {
				case <-r.Context().Done():
				case <-time.After(300 * time.Millisecond): // the router has read the other answer
					answering("ok")(w, r)
				}
			})
			silent := newReplica(t, "i-silent", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for other.runs.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				last(w, r)
				w.(http.Flusher).Flush()
				close(ended)
			})
			f := newFixture(t, silent)
			go listLater(f, silent, other)
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode)
		})
	}
}
