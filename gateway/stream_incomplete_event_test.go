package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// framings are the heads of answers whose body ends in order however it is framed.
var framings = map[string]func(body string) string{
	"close":  func(body string) string { return "\r\n" + body },
	"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunked": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
}

// ending answers a request with a body that ends in order, and closes the connection.
func ending(framing, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		writeHead(buffered, w.Header().Get(attemptID))
		_, _ = buffered.WriteString(framings[framing](body))
		_ = buffered.Flush()
	}
}

// writeHead writes the head of a success, except for its framing and the empty line.
func writeHead(w *bufio.ReadWriter, attempt string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: first\r\nContent-Type: text/event-stream\r\n", attemptID, attempt, signature)
}

const twoEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// An upstream closes its connection in order in the middle of an event. The caller must
// see that the stream broke off: with a body that is framed as complete it takes the part
// that arrived for the whole answer.
func TestStreamEndedInsideEventIsNotDeliveredAsComplete(t *testing.T) {
	for framing := range framings {
		for _, rest := range []string{"id: 3\nda", "id: 3\ndata: piece 3\n", "\r\nid: 3\r\ndata: piece 3\r\n"} {
			t.Run(fmt.Sprintf("%s %q", framing, rest), func(t *testing.T) {
				f := newFixture(t, newReplica(t, "i-1", ending(framing, twoEvents+rest)))
				response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/stream/", "{}"))
				must.NoError(t, err)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				must.ErrorIs(t, err, io.ErrUnexpectedEOF)
				must.StrHasPrefix(t, twoEvents, string(body))
				must.StrNotContains(t, string(body), "id: 3")
			})
		}
	}
}

// An upstream closes its connection before the end of the first event. The caller must get
// a failure instead of a success without events.
func TestStreamEndedBeforeItsFirstEventIsAFailure(t *testing.T) {
	for _, body := range []string{"", "id: 1\nda"} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			f := newFixture(t, newReplica(t, "i-1", ending("close", body)))
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
			must.Eq(t, http.StatusBadGateway, response.StatusCode)
			must.Eq(t, "", response.Header.Get(signature))
		})
	}
}

// A resumable stream that ends inside an event must go on at another upstream, after the
// last whole event.
func TestStreamEndedInsideEventContinuesAtAnotherUpstream(t *testing.T) {
	for _, first := range []string{twoEvents + "id: 3\nda", "id: 1\ndata: pi", ""} {
		t.Run(fmt.Sprintf("%q", first), func(t *testing.T) {
			var runs atomic.Int64
			handle := func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					ending("close", first)(w, r)
					return
				}
				from := 1
				if r.Header.Get("Last-Event-Id") == "2" {
					from = 3
				}
				w.Header().Set(signature, "second")
				events(w, from, 4)
			}
			f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
			_, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
			must.Eq(t, twoEvents+"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
		})
	}
}

// Streams may end with their connection and use any line end. Their whole answer must be
// delivered, and as it was sent.
func TestStreamThatEndsWithAnEventIsComplete(t *testing.T) {
	for framing := range framings {
		for _, body := range []string{
			twoEvents, "id: 1\r\ndata: x\r\n\r\n", "id: 1\rdata: x\r\r", "id: 1\ndata: x\n\n\n", ": comment\n\n", "data: x\n\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s %q", framing, body), func(t *testing.T) {
				f := newFixture(t, newReplica(t, "i-1", ending(framing, body)))
				response, got := f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, body, got)
			})
		}
	}
}

// While an upstream is silent, the standby attempt ends inside its first event. It must not
// take over: the silent upstream goes on and has the whole answer.
func TestStandbyStreamEndedInsideEventDoesNotTakeOver(t *testing.T) {
	for _, body := range []string{"", "id: 3\nda"} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			t.Parallel()
			silent, other := newReplica(t, "i-silent", pausing), newReplica(t, "i-other", ending("close", body))
			f := newFixture(t, silent)
			go listLater(f, silent, other)
			response, got := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, "first", response.Header.Get(signature))
			must.Eq(t, twoEvents+"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", got)
		})
	}
}

// An upstream falls silent inside an event, and a standby attempt takes over. The upstream
// must count as unreachable, as after any silence, and not as one that sends bytes.
func TestSilenceInsideEventCountsAsSilence(t *testing.T) {
	silent := newReplica(t, "i-silent", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(signature, "first")
		_, _ = io.WriteString(w, twoEvents+"id: 3\nda")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	f := newFixture(t, silent)
	go listLater(f, silent, newReplica(t, "i-other", resuming))
	f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.True(t, f.gateway.Board().Status(silent.upstreamKey()).Unreachable)
}

// A silent upstream closes its connection in order inside an event while a standby attempt
// is in progress. That attempt must continue the stream: canceled, it would use up the
// attempts that the route allows.
func TestStandbyAttemptContinuesAfterTheStreamEndedInsideEvent(t *testing.T) {
	asked := make(chan struct{})
	silent := newReplica(t, "i-silent", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		writeHead(buffered, w.Header().Get(attemptID))
		_, _ = buffered.WriteString("\r\n" + twoEvents + "id: 3\nda")
		_ = buffered.Flush()
		<-asked
	})
	other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(asked)
		time.Sleep(300 * time.Millisecond) // until after the silent upstream has closed its connection
		resuming(w, r)
	})
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "first", response.Header.Get(signature))
	must.Eq(t, twoEvents+"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
	must.Eq(t, 1, other.runs.Load())
}
