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
	"github.com/shoenig/test/must"
)

// sender sends the parts of requests by hand.
type sender struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) newSender(t *testing.T) *sender {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &sender{c, bufio.NewReader(c)}
}

func (s *sender) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s, text)
	must.NoError(t, err)
}

// head sends the head of a request with further lines.
func (s *sender) head(t *testing.T, path string, lines ...string) {
	t.Helper()
	s.send(t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %p\r\nAuthorization: Bearer key\r\n%s\r\n\r\n",
		path, attemptID, s, strings.Join(lines, "\r\n")))
}

// answer reads an answer, and reports whether the connection can be used again.
func (s *sender) answer(t *testing.T) (response *http.Response, open bool) {
	t.Helper()
	response, err := http.ReadResponse(s.reader, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response, !response.Close
}

// chunkOf returns a chunk.
func chunkOf(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size)) }

// Bodies that stop short of their end must not hold memory when others need it: the one without
// progress for longest is refused at once, with a promise, whatever its framing.
func TestStalledBodiesGiveWay(t *testing.T) {
	for name, framing := range map[string]string{"chunks": "Transfer-Encoding: chunked", "length": "Content-Length: 60000"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := newReplica(t, "i-1", answering("ok"))
			f := newFixture(t, up)
			part := strings.Repeat("c", 59_999)
			if name == "chunks" {
				part = chunkOf(59_000)
			}
			var stalled []*sender
			for range 24 { // of 1 MB in all
				s := f.newSender(t)
				s.head(t, "/once/", framing)
				s.send(t, part)
				stalled = append(stalled, s)
			}
			for { // the last ones may be refused while the others have not stalled
				response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", strings.Repeat("b", 50_000)))
				if response.StatusCode == http.StatusOK {
					break
				}
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
				time.Sleep(20 * time.Millisecond)
			}
			refused := 0
			for _, s := range stalled {
				_ = s.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				response, err := http.ReadResponse(s.reader, nil)
				if err != nil {
					continue // not refused
				}
				refused++
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
				must.NotEq(t, "", response.Header.Get("Retry-After"))
				must.True(t, response.Close)
			}
			must.Between(t, 1, refused, len(stalled)-1)
			must.Eq(t, 1, up.runs.Load())
		})
	}
}

// A body that has not arrived at the deadline of its request ends with a promise.
func TestBodyAfterTheDeadlineIsNotAwaited(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	s := f.newSender(t)
	s.head(t, "/once/", "Dandelionrill-Deadline-Ms: 200", "Transfer-Encoding: chunked")
	s.send(t, chunkOf(100))
	response, open := s.answer(t)
	must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
	must.False(t, open)
	must.Eq(t, 0, up.runs.Load())
	must.Eq(t, 0, f.gateway.Memory().Used())
}

// A slow body is served while there is memory, and its connection stays open.
func TestSlowBodyIsServed(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering("ok")))
	s := f.newSender(t)
	s.head(t, "/once/", "Transfer-Encoding: chunked")
	for range 14 {
		time.Sleep(50 * time.Millisecond)
		s.send(t, chunkOf(10))
	}
	s.send(t, chunkOf(0)[:5])
	response, open := s.answer(t)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.True(t, open)
	s.head(t, "/once/", "Content-Length: 0")
	response, _ = s.answer(t)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// An answer that is given before the body has arrived must not wait for the rest of it.
func TestAnswersDoNotWaitForTheBody(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering("ok")))
	for _, c := range []struct {
		name, path, line string
		status           int
	}{
		{"no route", "/unknown/", "Content-Length: 1000", 404},
		{"no route, chunks", "/unknown/", "Transfer-Encoding: chunked", 404},
		{"no route, waiting for 100", "/unknown/", "Expect: 100-continue\r\nContent-Length: 1000", 404},
		{"too large", "/once/", "Content-Length: 1000000", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := f.newSender(t)
			s.head(t, c.path, c.line)
			response, open := s.answer(t)
			must.Eq(t, c.status, response.StatusCode)
			must.False(t, open)
			_, err := s.reader.ReadByte()
			must.ErrorIs(t, err, io.EOF)
		})
	}
	s := f.newSender(t)
	s.head(t, "/unknown/", "Content-Length: 5")
	s.send(t, "plain")
	response, open := s.answer(t)
	must.Eq(t, 404, response.StatusCode)
	must.True(t, open, must.Sprint("the body has arrived"))
	s.head(t, "/once/", "Content-Length: 0")
	response, _ = s.answer(t)
	must.Eq(t, 200, response.StatusCode)
}

// A caller that reads the answer only after it has sent all of its body must get it: the answer
// is lost if the connection is closed before.
func TestRefusedCallerThatSendsOnGetsTheAnswer(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering("ok")))
	s := f.newSender(t)
	s.head(t, "/unknown/", "Transfer-Encoding: chunked")
	for range 12 {
		time.Sleep(100 * time.Millisecond)
		s.send(t, chunkOf(4000))
	}
	s.send(t, "0\r\n\r\n")
	response, _ := s.answer(t)
	must.Eq(t, 404, response.StatusCode)
	must.Eq(t, 0, f.gateway.Active())
}

// A router whose settings name no memory must serve requests with a body.
func TestUnknownMemoryIsNoLimit(t *testing.T) {
	f := newFixtureWith(t, func(o *gateway.Options) { o.MaxCallerBytes = 0 }, newReplica(t, "i-1", answering("ok")))
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}
