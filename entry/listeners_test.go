package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serveOnce serves one connection with a server whose timeouts are short, and returns the
// other end.
func serveOnce(t *testing.T) net.Conn {
	t.Helper()
	server := newInternalServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, limit := range []*time.Duration{&server.ReadTimeout, &server.WriteTimeout, &server.IdleTimeout} {
		must.Positive(t, *limit)
		*limit = min(*limit, 50*time.Millisecond)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A head to the listener of readiness or metrics is large. It must be refused: many such
// heads took a megabyte each.
func TestInternalListenersTakeNoLargeHeads(t *testing.T) {
	conn := serveOnce(t)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n") // it may be reset meanwhile
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil { // a reset may overtake the answer
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	}
}

// A connection to such a listener stays open without a request, or in the middle of one. It
// must be closed: it was kept for good.
func TestInternalListenersCloseIdleConnections(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing":  "",
		"head":     "GET / HTTP/1.1\r\nHost:",
		"answered": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"body":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			conn := serveOnce(t)
			_, err := io.WriteString(conn, sent)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, conn) // ends when the connection is closed
			must.NoError(t, err)
		})
	}
}
