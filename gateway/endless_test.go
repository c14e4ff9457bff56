package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endless answers with the status, the beginning of a body and then more bytes until its
// caller closes. A pause of 0 sends them at full speed.
func endless(status int, begin, more string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice when the client disconnects
		w.Header().Set(signature, "first")
		w.WriteHeader(status)
		_, err := io.WriteString(w, begin)
		for err == nil && r.Context().Err() == nil {
			time.Sleep(pause)
			_, err = io.WriteString(w, more)
			w.(http.Flusher).Flush()
		}
	}
}

// manyBytes is written at once by upstreams that send at full speed.
var manyBytes = strings.Repeat("x", 4<<10)

// firstThen serves the first request with one handler and all others with another one.
func firstThen(first, others http.HandlerFunc) http.HandlerFunc {
	var begun atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if begun.CompareAndSwap(false, true) {
			first(w, r)
			return
		}
		others(w, r)
	}
}

// An upstream sends an event that never ends. The caller must get an answer that says so:
// a failure if nothing was delivered, instead of a closed connection.
func TestEventWithoutEndBeforeTheFirstIsAFailure(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", endless(http.StatusOK, "data: ", manyBytes, 0)))
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
}

// A resumable stream with an event that never ends must go on at another upstream, also if
// the bytes come so slowly that they reach no limit before the deadline.
func TestEventWithoutEndIsContinuedAtAnotherUpstream(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"fast":                       endless(http.StatusOK, twoEvents+"data: ", manyBytes, 0),
		"slow":                       endless(http.StatusOK, twoEvents+"data: ", "x", 20*time.Millisecond),
		"slow, in the first event":   endless(http.StatusOK, "data: ", "x", 20*time.Millisecond),
		"slow, before a first event": endless(http.StatusOK, "", "\n", 20*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handle := firstThen(handler, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(signature, "second")
				from := 1
				if r.Header.Get("Last-Event-Id") == "2" {
					from = 3
				}
				events(w, from, 4)
			})
			f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
			response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, twoEvents+"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", strings.TrimLeft(body, "\n"))
		})
	}
}

// A plain answer goes on a byte now and then. A repeatable request must get its answer from
// another upstream, instead of waiting until its deadline.
func TestSlowAnswerWithoutEndIsReplaced(t *testing.T) {
	handle := firstThen(endless(http.StatusOK, "", "x", 20*time.Millisecond), answering("ok"))
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	response, body := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "ok", body)
}

// A standby attempt sends an event that never ends. It must not take over from the silent
// upstream, which goes on.
func TestStandbyEventWithoutEndDoesNotTakeOver(t *testing.T) {
	silent := newReplica(t, "i-silent", pausing)
	other := newReplica(t, "i-other", endless(http.StatusOK, "data: ", manyBytes, 0))
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "first", response.Header.Get(signature))
	must.Eq(t, twoEvents+"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
}

// An upstream sends a failure whose body never ends. The caller must get a failure that
// ends, instead of bytes until the deadline.
func TestFailureWithoutEndIsReplaced(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		f := newFixture(t, newReplica(t, "i-1", endless(status, "", manyBytes, 0)))
		response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
		must.Eq(t, http.StatusBadGateway, response.StatusCode)
	}
}

// A head comes a byte now and then. A repeatable request must get its answer from another
// upstream, and any other one must end with its deadline.
func TestSlowHeadIsReplaced(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		writeHead(buffered, w.Header().Get(attemptID))
		for err = buffered.Flush(); err == nil; _, err = io.WriteString(conn, "x") {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for path, status := range map[string]int{"/safe/": http.StatusOK, "/once/": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			handle := firstThen(slow, answering("ok"))
			f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
			r := f.newRequest(t, http.MethodPost, path, "{}")
			r.Header.Set(deadline, "3000")
			response, _ := f.do(t, r)
			must.Eq(t, status, response.StatusCode)
		})
	}
}

// Dropped answers, those of a refusal, of another upstream and of a failure that is retried,
// go on without end. The request must be served by another upstream all the same.
func TestDroppedAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, drop := range map[string]struct {
		status int
		pause  time.Duration
		more   string
	}{
		"refusal":               {http.StatusServiceUnavailable, 0, manyBytes},
		"refusal, slow":         {http.StatusServiceUnavailable, 20 * time.Millisecond, "x"},
		"other upstream":        {http.StatusMisdirectedRequest, 0, manyBytes},
		"other upstream, slow":  {http.StatusMisdirectedRequest, 20 * time.Millisecond, "x"},
		"retried failure":       {http.StatusInternalServerError, 0, manyBytes},
		"retried failure, slow": {http.StatusInternalServerError, 20 * time.Millisecond, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handle := firstThen(func(w http.ResponseWriter, r *http.Request) {
				if drop.status == http.StatusServiceUnavailable {
					w.Header().Set(notRun, "1")
				}
				endless(drop.status, "", drop.more, drop.pause)(w, r)
			}, answering("ok"))
			f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
			response, body := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, "ok", body)
		})
	}
}
