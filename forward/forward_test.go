package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// upstream is a TCP server for which each test writes the raw bytes of its
// connections.
type upstream struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// serve starts an upstream that runs handle for each connection.
func serve(t *testing.T, handle func(u *upstream, c net.Conn, r *bufio.Reader)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go func() {
				defer c.Close()
				handle(u, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return u
}

// answerEach returns a handler that answers every request of a connection with
// the bytes that answer returns, and closes the connection once it returns none.
func answerEach(answer func(n int64, r *http.Request) string) func(*upstream, net.Conn, *bufio.Reader) {
	return func(u *upstream, c net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			text := answer(u.requests.Add(1), r)
			if text == "" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

const idHeader = "Test-Id"

func newPool() *Pool {
	return NewPool(Options{Matches: func(r *Request, a *Response) bool { return a.Header.Get(idHeader) == r.ID }})
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a//b/%2f?x=1", Host: "h.example", Header: http.Header{}, ID: id}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func send(t *testing.T, p *Pool, u *upstream, r *Request) (string, *Response) {
	t.Helper()
	response, err := p.Send(context.Background(), u.listener.Addr().String(), r)
	must.NoError(t, err)
	body, err := io.ReadAll(response)
	must.NoError(t, err)
	return string(body), response
}

func outcomeOf(t *testing.T, err error) Outcome {
	t.Helper()
	var failure *Error
	must.True(t, errors.As(err, &failure), must.Sprintf("%v", err))
	return failure.Outcome
}

func TestTargetIsSentByteForByte(t *testing.T) {
	var line string
	u := serve(t, func(_ *upstream, c net.Conn, r *bufio.Reader) {
		line, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, answer("1", "ok"))
	})
	body, response := send(t, newPool(), u, request("1"))
	response.Close(true)
	must.Eq(t, "ok", body)
	must.Eq(t, "GET /a//b/%2f?x=1 HTTP/1.1\r\n", line)
}

func TestConnectionIsReused(t *testing.T) {
	u := serve(t, answerEach(func(_ int64, r *http.Request) string { return answer(r.Header.Get(idHeader), "ok") }))
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		r := request(id)
		r.Header.Set(idHeader, id)
		_, response := send(t, p, u, r)
		response.Close(true)
	}
	must.Eq(t, 1, u.accepted.Load())
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	u := serve(t, answerEach(func(n int64, r *http.Request) string {
		own := answer(r.Header.Get(idHeader), "own")
		if n == 1 {
			return own
		}
		return answer("1", "old") + own
	}))
	p := newPool()
	for _, id := range []string{"1", "2"} {
		r := request(id)
		r.Header.Set(idHeader, id)
		body, response := send(t, p, u, r)
		must.Eq(t, "own", body)
		response.Close(true)
	}
	must.Eq(t, 1, u.accepted.Load())
}

func TestConnectionsThatMustNotBeReused(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
	}{
		{"bytes after the answer", answer("1", "ok") + "HTTP/1.1 200 OK\r\n"},
		{"announced close", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		{"idle time shorter than the margin", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := serve(t, func(u *upstream, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
					_, _ = reader.ReadByte() // until the pool closes it
				}
			})
			p := newPool()
			_, response := send(t, p, u, request("1"))
			response.Close(true)
			_, response = send(t, p, u, request("1"))
			response.Close(true)
			must.Eq(t, 2, u.accepted.Load())
		})
	}
}

func TestClosedIdleConnectionIsDetectedBeforeReuse(t *testing.T) {
	u := serve(t, func(_ *upstream, c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(c, answer("1", "ok"))
		}
	})
	p := newPool()
	_, response := send(t, p, u, request("1"))
	response.Close(true)
	h := p.shard(u.listener.Addr().String()).conns[u.listener.Addr().String()]
	for !unusable(h.idle[0]) {
		time.Sleep(time.Millisecond) // until the pool's side sees the close
	}
	_, response = send(t, p, u, request("1"))
	response.Close(true)
	must.Eq(t, 2, u.accepted.Load())
}

func unusable(c *conn) bool { return !c.usable(time.Now(), 0, time.Hour) }

func TestRequestIsNeverSentTwice(t *testing.T) {
	u := serve(t, func(u *upstream, _ net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			u.requests.Add(1) // and closes without an answer
		}
	})
	_, err := newPool().Send(context.Background(), u.listener.Addr().String(), request("1"))
	must.Eq(t, MayHaveRun, outcomeOf(t, err))
	must.Eq(t, 1, u.requests.Load())
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	u := serve(t, answerEach(func(int64, *http.Request) string { return "" }))
	address := u.listener.Addr().String()
	must.NoError(t, u.listener.Close())
	_, err := newPool().Send(context.Background(), address, request("1"))
	must.Eq(t, NotSent, outcomeOf(t, err))
	must.ErrorIs(t, err, ErrDial)
}

func TestInvalidAnswerMayHaveRun(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"no HTTP", "\x00\x01\x02garbage\r\n\r\n"},
		{"truncated head", "HTTP/1.1 200 OK\r\nTest-Id"},
		{"only answers to other requests", answer("7", "x") + answer("8", "y") + answer("9", "z")},
		{"answer to another request without a length", "HTTP/1.1 200 OK\r\nTest-Id: 7\r\n\r\nbody"},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 2*maxHeadBytes)},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := serve(t, answerEach(func(n int64, _ *http.Request) string {
				if n > 1 {
					return ""
				}
				return c.answer
			}))
			// The upstream keeps the connection open after its answer until the
			// pool sends another request or closes it.
			p := newPool()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, err := p.Send(ctx, u.listener.Addr().String(), request("1"))
				done <- err
			}()
			select {
			case err := <-done:
				must.Eq(t, MayHaveRun, outcomeOf(t, err))
			case <-time.After(100 * time.Millisecond):
				cancel() // the upstream keeps the connection open: only the end of ctx ends Send
				must.Eq(t, MayHaveRun, outcomeOf(t, <-done))
			}
		})
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		framing      Framing
	}{
		{"length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", FramingLength},
		{"chunks", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", FramingChunked},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			response, err := newPool().Send(context.Background(), u.listener.Addr().String(), request("1"))
			must.NoError(t, err)
			must.Eq(t, c.framing, response.Framing)
			body, err := io.ReadAll(response)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			must.Eq(t, "half", string(body))
			response.Close(false)
		})
	}
}

// A body without a length ends when its connection closes. If the connection is
// reset instead, the body is incomplete and reading it must fail.
func TestBodyWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nbody")
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		response, err := newPool().Send(context.Background(), u.listener.Addr().String(), request("1"))
		if reset && err != nil {
			must.Eq(t, MayHaveRun, outcomeOf(t, err))
			continue
		}
		must.NoError(t, err)
		must.Eq(t, FramingClose, response.Framing)
		body, err := io.ReadAll(response)
		if reset {
			must.Error(t, err)
		} else {
			must.NoError(t, err)
			must.Eq(t, "body", string(body))
		}
		response.Close(err == nil)
	}
}

// An upstream may answer a request before it has read a long body. The unsent
// rest of the body must not be read as the next request on the connection.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	const size = 8 << 20
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	u := serve(t, func(u *upstream, c net.Conn, reader *bufio.Reader) {
		u.requests.Add(1)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("1", "no"))
		<-ended // reads nothing more, so the rest of the body cannot be sent
	})
	p := newPool()
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, size)
	for range 2 {
		body, response := send(t, p, u, r)
		must.Eq(t, "no", body)
		response.Close(true)
	}
	must.Eq(t, 2, u.accepted.Load())
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := serve(t, func(_ *upstream, c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
			_, _ = reader.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := newPool().Send(ctx, u.listener.Addr().String(), request("1"))
	must.NoError(t, err)
	cancel()
	_, err = io.ReadAll(response)
	must.Error(t, err)
	response.Close(false)
	<-closed
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	u := serve(t, answerEach(func(int64, *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer("1", "ok")
	}))
	body, response := send(t, newPool(), u, request("1"))
	response.Close(true)
	must.Eq(t, "ok", body)
}

func TestSweepClosesConnectionsOfUnlistedUpstreams(t *testing.T) {
	u := serve(t, answerEach(func(_ int64, r *http.Request) string { return answer(r.Header.Get(idHeader), "ok") }))
	p := newPool()
	_, response := send(t, p, u, identified("1"))
	response.Close(true)
	p.Sweep(time.Now(), func(string) bool { return true })
	_, response = send(t, p, u, identified("2"))
	response.Close(true)
	must.Eq(t, 1, u.accepted.Load())
	p.Sweep(time.Now(), func(string) bool { return false })
	_, response = send(t, p, u, identified("3"))
	response.Close(true)
	must.Eq(t, 2, u.accepted.Load())
}

func TestConnectionLimit(t *testing.T) {
	u := serve(t, answerEach(func(int64, *http.Request) string { return answer("1", "ok") }))
	p := NewPool(Options{})
	limited := func(id string) *Request {
		r := request(id)
		r.MaxConnections = 1
		return r
	}
	_, busy := send(t, p, u, limited("1"))
	_, err := p.Send(context.Background(), u.listener.Addr().String(), limited("2"))
	must.Eq(t, NotSent, outcomeOf(t, err))
	must.ErrorIs(t, err, ErrConnectionLimit)
	busy.Close(true)
	_, again := send(t, p, u, limited("3"))
	again.Close(true)
}

// A cancelled request must not reach its upstream later, from send buffers that
// drain once an interrupted network path recovers. So its connection is reset
// instead of closed normally.
func TestCancelledRequestResetsItsConnection(t *testing.T) {
	readErr := make(chan error, 1)
	u := serve(t, func(_ *upstream, _ net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, err := reader.ReadByte()
			readErr <- err
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for u.accepted.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		cancel()
	}()
	_, err := newPool().Send(ctx, u.listener.Addr().String(), request("1"))
	must.Eq(t, MayHaveRun, outcomeOf(t, err))
	must.ErrorIs(t, <-readErr, syscall.ECONNRESET)
}
