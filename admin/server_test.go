package admin

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Guards against connections to the admin listener that take all file descriptors.
func TestConnectionsAreLimited(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(http.NotFoundHandler(), "", "")
	server.http.ReadHeaderTimeout, server.http.ReadTimeout = 0, 0
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.http.Close() })
	var first net.Conn
	for range maxConnections + 1 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		if first == nil {
			first = conn
		}
	}
	must.NoError(t, first.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = first.Read(make([]byte, 1))
	must.True(t, errors.Is(err, io.EOF), must.Sprint(err))
	answer, err := http.Get("http://" + listener.Addr().String())
	must.NoError(t, err)
	must.NoError(t, answer.Body.Close())
	must.Eq(t, http.StatusNotFound, answer.StatusCode)
}
