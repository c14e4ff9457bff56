package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"github.com/shoenig/test/must"
)

// A caller that has read all that its upstream has sent so far does not stall: its answer must
// not be cut because the upstream pauses.
func TestPauseOfAnUpstreamDoesNotCutALargeAnswer(t *testing.T) {
	mayGoOn := make(chan struct{})
	up := newReplica(t, "i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		_, _ = io.WriteString(w, strings.Repeat("a", 128<<10))
		w.(http.Flusher).Flush()
		<-mayGoOn
		_, _ = io.WriteString(w, strings.Repeat("e", 64<<10))
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/once/", ""))
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.CopyN(io.Discard, response.Body, 128<<10) // the caller has read it all
	must.NoError(t, err)
	time.Sleep(2 * membudget.Grace)   // the upstream pauses
	f.gateway.Memory().EvictStalled() // as at the limit on connections
	close(mayGoOn)
	rest, err := io.ReadAll(response.Body)
	must.NoError(t, err, must.Sprint("the caller has not stalled"))
	must.Eq(t, 64<<10, len(rest))
}

// An answer that is given before the body has arrived must be complete for a caller that waits
// with the rest of its body: without a length it ends only once the rest is no longer awaited.
func TestEarlyAnswersNameTheirLength(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering("ok")))
	for _, c := range []struct {
		path, line string
		status     int
	}{
		{"/unknown/", "Transfer-Encoding: chunked", http.StatusNotFound},
		{"/unknown/", "Content-Length: 300000", http.StatusNotFound},
		{"/once/", "Content-Length: 1000000", http.StatusRequestEntityTooLarge},
	} {
		s := f.newSender(t)
		s.head(t, c.path, c.line)
		response, err := http.ReadResponse(s.reader, nil)
		must.NoError(t, err)
		must.Eq(t, c.status, response.StatusCode)
		must.Positive(t, response.ContentLength, must.Sprintf("%s %s", c.path, c.line))
	}
}
