package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hungTestTimeout ends a test that would otherwise hang.
const hungTestTimeout = time.Minute

// An upstream sends bytes without end that are no answer to the request. The exchange must
// end at a limit: otherwise it lasts until the deadline of the request, at full speed.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	for _, c := range []struct{ name, first, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nX: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n", "X: x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"late answer in chunks", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"late answer with a length", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		{"late answers", "", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 1\r\n\r\nx"},
		{"late answer without a length", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\n\r\n", "x"},
		{"no answer at all", "", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = io.WriteString(conn, c.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), hungTestTimeout)
			defer cancel()
			_, err := newPool().Send(ctx, u.listener.Addr().String(), request("1"))
			must.Eq(t, MayHaveRun, outcomeOf(t, err))
			must.NoError(t, ctx.Err())
			<-closed
		})
	}
}

// An error quotes what an upstream sent in place of an answer. Its text goes into log lines,
// which are queued, and to callers: it must not grow with what was sent.
func TestErrorTextsAreBounded(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"protocol", strings.Repeat("\x00", 60<<10) + "\r\n\r\n"},
		{"status", "HTTP/1.1 " + strings.Repeat("\x00", 60<<10) + "\r\n\r\n"},
		{"header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 60<<10) + "\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", 60<<10) + "\r\n\r\n"},
		{"encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("\x00", 60<<10) + "\r\n\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("x", 3<<10) + "\r\n\r\n"},
		{"trailer of a late answer", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("x", 3<<10) + "\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), hungTestTimeout)
			defer cancel()
			response, err := newPool().Send(ctx, u.listener.Addr().String(), request("1"))
			if err == nil {
				_, err = io.Copy(io.Discard, response)
				response.Close(false)
			}
			must.Error(t, err)
			must.LessEq(t, 1024, len(err.Error()))
		})
	}
}

// Short fields take many times their bytes in memory, for as long as the answer lasts. A head
// with more of them than any upstream has reason to send must be given up; lines of a body do
// not count.
func TestHeadOfManyLinesIsGivenUp(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%d:\r\n", i)
		}
		return b.String()
	}
	const begin, interim = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 4000\r\n", "HTTP/1.1 103 Early Hints\r\n"
	body := "\r\n" + strings.Repeat("\n", 4000)
	for _, c := range []struct {
		name, answer string
		ok           bool
	}{
		{"most", begin + fields(500) + body, true},
		{"many", begin + fields(2000) + body, false},
		{"many of interim answers", strings.Repeat(interim+"\r\n", 1000) + begin + body, false},
		{"many of several heads", strings.Repeat(interim+fields(300)+"\r\n", 6) + begin + body, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), hungTestTimeout)
			defer cancel()
			response, err := newPool().Send(ctx, u.listener.Addr().String(), request("1"))
			if !c.ok {
				must.Eq(t, MayHaveRun, outcomeOf(t, err))
				return
			}
			must.NoError(t, err)
			n, err := io.Copy(io.Discard, response)
			must.NoError(t, err)
			must.Eq(t, 4000, n)
			response.Close(true)
		})
	}
}

// The framing of a body goes on without end. Reading the body must fail, and must not hold
// what was sent.
func TestFramingWithoutEndIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for _, c := range []struct{ name, first, repeated string }{
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "1;", kilobyte},
		{"extensions of small chunks", chunked, "1;" + kilobyte + "\r\nx\r\n"},
		{"no line end behind a chunk", chunked + "1\r\nx", "x"},
		{"trailer", chunked + "1\r\nx\r\n0\r\nX: ", kilobyte},
		{"trailers", chunked + "1\r\nx\r\n0\r\n", "X: x\r\n"},
		{"body over its length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 1\r\n\r\nx", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			u := serve(t, func(_ *upstream, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = io.WriteString(conn, c.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), hungTestTimeout)
			defer cancel()
			pool := newPool()
			response, err := pool.Send(ctx, u.listener.Addr().String(), request("1"))
			must.NoError(t, err)
			n, err := io.Copy(io.Discard, response)
			must.Eq(t, response.Framing == FramingLength, err == nil)
			must.LessEq(t, 16<<10, n)
			response.Close(err == nil)
			for i := 0; i < 100 && response.Framing == FramingLength; i++ { // its bytes may come behind the end
				pool.Sweep(time.Now(), func(string) bool { return false })
				time.Sleep(time.Millisecond)
			}
			<-closed
			must.NoError(t, ctx.Err())
		})
	}
}
