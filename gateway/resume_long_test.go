package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A stream lasts longer than the record of its version before it breaks off. Taken up
// again, it must neither be refused while its version serves, nor go on at another
// version because that is the only one still listed.
func TestLongStreamCanBeTakenUp(t *testing.T) {
	for _, stays := range []bool{true, false} {
		t.Run(map[bool]string{true: "version serves", false: "version has left"}[stays], func(t *testing.T) {
			delivered, later := make(chan struct{}), make(chan struct{})
			other := newVersion(t, "i-2", "v2", breaking)
			first := newVersion(t, "i-1", "v1", func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(lastEvent) != "" {
					resuming(w, r)
					return
				}
				w.Header().Set(signature, "sig")
				events(w, 1, 1)
				<-later
				events(w, 2, 2)
				panic(http.ErrAbortHandler)
			})
			f := newFixture(t, first)
			go func() {
				defer close(later)
				<-delivered
				if f.setUpstreams(first, other); !stays {
					f.setUpstreams(other)
				}
				f.gateway.AgeStreams(61 * time.Second)
			}()
			response, err := f.server.Client().Do(f.newResumable(t, "a", ""))
			must.NoError(t, err)
			defer response.Body.Close()
			close(delivered) // the head is delivered with event 1
			for buffer := make([]byte, 100); err == nil; {
				_, err = response.Body.Read(buffer)
			}
			again, _ := f.do(t, f.newResumable(t, "b", "a"))
			must.Eq(t, 0, other.runs.Load())
			must.Eq(t, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[stays], again.StatusCode)
		})
	}
}
