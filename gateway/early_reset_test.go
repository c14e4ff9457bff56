package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// uploadBytes is more than the buffers of a connection hold: the upload is in progress while
// the answer is read.
const uploadBytes = 16 << 20

// earlyAnswer answers a request before its body is read with text, after the fields of a signed
// success, and ends the connection.
func earlyAnswer(text string, end func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n%s", attemptID, w.Header().Get(attemptID), signature, text)
		end(c.(*net.TCPConn))
	}
}

// resetSoon resets a connection once the answer has arrived.
func resetSoon(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = c.SetLinger(0)
}

// endInOrder ends the answer and reads the rest of the request.
func endInOrder(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// newUploadFixture is newFixture with limits that allow uploads.
func newUploadFixture(t *testing.T, replicas ...*replica) *fixture {
	t.Helper()
	f := newFixtureWith(t, func(o *gateway.Options) { o.MaxCallerBytes = 8 * uploadBytes }, replicas...)
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 2, Routes: defaultRoutes(), Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: uploadBytes},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
	return f
}

// upload sends an upload over a connection of its own, in a version of HTTP, and returns the
// status and the body of the answer; err says that it ended before it was complete.
func (f *fixture) upload(t *testing.T, version, path string) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "POST %sx HTTP/%s\r\nHost: h.example\r\n%s: attempt-1\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n",
		path, version, attemptID, uploadBytes)
	must.NoError(t, err)
	_, err = c.Write(make([]byte, uploadBytes))
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

var uploadRoutes = []string{"/safe/", "/once/", "/stream/", "/resume/", "/single/"}

// Guards against a part of an answer that its caller gets as complete: an upstream answers an
// upload early and resets the connection while the upload is being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for framing, text := range map[string]string{
		"no length":   "Content-Type: text/event-stream\r\n\r\n" + twoEvents,
		"long body":   "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat(twoEvents, 5000),
		"length":      "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n" + twoEvents,
		"in chunks":   "Content-Type: text/event-stream\r\n" + chunk(twoEvents),
		"head only":   "Content-Type: text/event-stream\r\n\r\n",
		"plain bytes": "Content-Type: text/plain\r\n\r\npart",
	} {
		for _, path := range uploadRoutes {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(framing+path+version, func(t *testing.T) {
					f := newUploadFixture(t, newReplica(t, "i-1", earlyAnswer(text, resetSoon)))
					status, body, err := f.upload(t, version, path)
					must.False(t, status == http.StatusOK && err == nil, must.Sprintf("%.100q as a complete answer", body))
				})
			}
		}
	}
}

// A request that may be repeated must be answered by another upstream then.
func TestEarlyAnswerThatIsResetIsRetried(t *testing.T) {
	early := newReplica(t, "i-1", earlyAnswer("\r\npart", resetSoon))
	f := newUploadFixture(t, early, newReplica(t, "i-2", answering("whole")))
	for len(early.requests()) == 0 {
		status, body, err := f.upload(t, "1.1", "/safe/")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "whole", body)
	}
}

// An early answer that ends in order must come whole, whatever its framing.
func TestEarlyAnswerComesWhole(t *testing.T) {
	for framing, text := range map[string]string{
		"no length": "Content-Type: text/event-stream\r\n\r\n" + twoEvents,
		"length":    fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(twoEvents), twoEvents),
		"in chunks": "Content-Type: text/event-stream\r\n" + chunk(twoEvents) + chunkedEnd,
	} {
		for _, path := range uploadRoutes {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(framing+path+version, func(t *testing.T) {
					f := newUploadFixture(t, newReplica(t, "i-1", earlyAnswer(text, endInOrder)))
					status, body, err := f.upload(t, version, path)
					must.NoError(t, err)
					must.Eq(t, http.StatusOK, status)
					must.Eq(t, twoEvents, body)
				})
			}
		}
	}
}
