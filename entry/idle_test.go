package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
	"github.com/shoenig/test/must"
)

func TestReducedIdleLimitTakesEffectLater(t *testing.T) {
	c := newIdleConns()
	now := time.Now()
	must.Eq(t, 0, c.longestLimit(now))
	// After several changes in quick succession, the longest limit still applies.
	for _, limit := range []time.Duration{15 * time.Second, 9 * time.Second, 12 * time.Second, 5 * time.Second} {
		c.setLimit(limit)
	}
	must.Eq(t, 15*time.Second, c.longestLimit(now.Add(14*time.Second)))
	must.Eq(t, 5*time.Second, c.longestLimit(now.Add(16*time.Second)))
}

// A connection that serves a long request after an earlier one is not idle,
// however long the request lasts.
func TestConnectionInUseIsNotClosed(t *testing.T) {
	c := newIdleConns()
	c.setLimit(time.Second)
	handlerStarted, handlerMayEnd := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(handlerStarted)
			<-handlerMayEnd
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = c.trackState
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	get := func(path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
	}
	get("/")
	buffer := make([]byte, 4096)
	_, err = conn.Read(buffer)
	must.NoError(t, err)
	for c.idleCount() == 0 {
		time.Sleep(time.Millisecond) // until net/http reports the connection as idle
	}
	get("/long")
	<-handlerStarted
	must.Eq(t, 0, c.closeExpired(time.Now().Add(time.Hour)))
	close(handlerMayEnd)
	n, err := conn.Read(buffer)
	must.NoError(t, err)
	must.Positive(t, n)
	for c.idleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 0, c.closeExpired(time.Now().Add(1500*time.Millisecond)))
	must.Eq(t, 1, c.closeExpired(time.Now().Add(time.Hour)))
}

func (c *idleConns) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// A connection whose next request has arrived but was not read yet, as on a host
// short of CPU time, is not closed.
func TestConnectionWithUnreadBytesIsNotClosed(t *testing.T) {
	c := newIdleConns()
	c.setLimit(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer caller.Close()
	conn, err := listener.Accept()
	must.NoError(t, err)
	defer conn.Close()
	c.trackState(conn, http.StateIdle)
	_, err = io.WriteString(caller, "GET")
	must.NoError(t, err)
	for len(c.takeExpired(time.Now())) != 0 || !netdial.Readable(conn) {
		time.Sleep(time.Millisecond) // until the bytes have arrived
	}
	must.Eq(t, 0, c.closeExpired(time.Now().Add(time.Hour)))
}
