package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"github.com/shoenig/test/must"
)

// pipeListener accepts connections that hold nothing between writer and reader.
type pipeListener struct {
	net.Listener
	pipes chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.pipes; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error { return nil }

// A caller that reads more than 4 KB of its answer in every half second has not stalled, and
// must not give way as if it had.
func TestSteadyReaderDoesNotGiveWay(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering(strings.Repeat("a", 60<<10))))
	c, served := net.Pipe()
	listener := pipeListener{pipes: make(chan net.Conn, 1)}
	listener.pipes <- served
	server := &http.Server{Handler: f.gateway}
	t.Cleanup(func() { _ = server.Close() })
	t.Cleanup(func() { close(listener.pipes) })
	go func() { _ = server.Serve(listener) }()
	_, err := io.WriteString(c, "GET /once/ HTTP/1.1\r\nHost: h.example\r\n"+attemptID+": 7\r\nAuthorization: Bearer key\r\n\r\n")
	must.NoError(t, err)
	for range 5 {
		_, err = io.CopyN(io.Discard, c, 5<<10)
		must.NoError(t, err)
		must.False(t, f.gateway.Memory().EvictStalled())
		time.Sleep(membudget.Grace * 3 / 5)
	}
}
