package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowCaller sends the body of one request in two halves.
type slowCaller struct {
	net.Conn
	chunked bool
}

// newSlowCaller sends the head of a request and the first half of its body.
func newSlowCaller(t *testing.T, f *fixture, path string, chunked bool) slowCaller {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	framing, half := "Content-Length: 10", "01234"
	if chunked {
		framing, half = "Transfer-Encoding: chunked", "5\r\n01234\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n%s: a%s\r\n%s\r\n\r\n%s",
		path, attemptID, path, framing, half)
	must.NoError(t, err)
	return slowCaller{c, chunked}
}

// finish sends the second half.
func (c slowCaller) finish(t *testing.T) {
	t.Helper()
	half := "56789"
	if c.chunked {
		half = "5\r\n56789\r\n0\r\n\r\n"
	}
	_, err := io.WriteString(c, half)
	must.NoError(t, err)
}

// answer reads the answer.
func (c slowCaller) answer(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// forEachSlowCaller runs a test with callers of streams and of requests that may not be
// repeated, and with both framings of a body.
func forEachSlowCaller(t *testing.T, test func(t *testing.T, path string, chunked bool)) {
	for _, path := range []string{"/stream/", "/once/"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s chunked=%v", path[1:len(path)-1], chunked), func(t *testing.T) { test(t, path, chunked) })
		}
	}
}

// Guards against requests that are passed on and then cut in a graceful shutdown: the head
// came in time, the end of the body when the request could not end before the process.
func TestBodyThatEndsLateInAStopIsNotPassedOn(t *testing.T) {
	forEachSlowCaller(t, func(t *testing.T, path string, chunked bool) {
		up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(signature, "sig")
			events(w, 1, 3)
		})
		f := newFixture(t, up)
		c := newSlowCaller(t, f, path, chunked)
		await(func() bool { return f.gateway.Active() == 1 })
		f.gateway.Drain(1500 * time.Millisecond)
		c.finish(t)
		response := c.answer(t)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.True(t, response.Close)
		must.Zero(t, up.runs.Load())
	})
}

// Guards against sound requests that are refused in a graceful shutdown since the body of
// another one had been slow: the time of the body says nothing of how long answers take.
func TestSlowBodyIsNoSlowAnswer(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	c := newSlowCaller(t, f, "/once/", false)
	await(func() bool { return f.gateway.Active() == 1 })
	time.Sleep(1500 * time.Millisecond)
	c.finish(t)
	must.Eq(t, http.StatusOK, c.answer(t).StatusCode)
	f.gateway.Drain(2 * time.Second) // 1.4 s without the margin
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}
