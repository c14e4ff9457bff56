package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
	"github.com/shoenig/test/must"
)

func TestReducedIdleLimitTakesEffectLater(t *testing.T) {
	c := newCallerConns()
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
	c := newCallerConns()
	c.setLimit(time.Second)
	handlerStarted, handlerMayEnd := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(handlerStarted)
			<-handlerMayEnd
		}
		_, _ = io.WriteString(w, "ok")
	}))
	conn := dialServer(t, c, server)
	get := func(path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
	}
	get("/")
	buffer := make([]byte, 4096)
	_, err := conn.Read(buffer)
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

// dialServer starts the server with tracked connections, and opens one to it.
func dialServer(t *testing.T, c *callerConns, server *httptest.Server) net.Conn {
	t.Helper()
	server.Config.ConnState, server.Listener = c.trackState, callerListener{server.Listener, c}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (c *callerConns) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// A connection whose next request has arrived but was not read yet, as on a host
// short of CPU time, is not closed.
func TestConnectionWithUnreadBytesIsNotClosed(t *testing.T) {
	c := newCallerConns()
	c.setLimit(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer caller.Close()
	conn, err := callerListener{listener, c}.Accept()
	must.NoError(t, err)
	defer conn.Close()
	c.trackState(conn, http.StateIdle)
	_, err = io.WriteString(caller, "GET")
	must.NoError(t, err)
	for c.closeExpired(time.Now()) != 0 || !netdial.Readable(conn.(*callerConn).Conn) {
		time.Sleep(time.Millisecond) // until the bytes have arrived
	}
	must.Eq(t, 0, c.closeExpired(time.Now().Add(time.Hour)))
}

// The server has read bytes of a request, but not its whole head, so that no handler runs.
// The connection is not idle: closing it would lose the request.
func TestConnectionWithARequestBeingReadIsNotClosed(t *testing.T) {
	c := newCallerConns()
	c.setLimit(time.Millisecond)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	conn := dialServer(t, c, server)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	_, err = conn.Read(make([]byte, 4096))
	must.NoError(t, err)
	for c.idleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	for !c.anyRequestBeingRead() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * time.Millisecond) // more than the idle limit
	must.Eq(t, 0, c.closeExpired(time.Now()))
	must.Eq(t, 1, c.closeIdle(time.Now()))
	must.Eq(t, 0, c.closeIdle(time.Now().Add(time.Hour)), must.Sprint("the rest never came"))
}

func (c *callerConns) anyRequestBeingRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.mu.Lock()
		reading := !conn.serving && !conn.lastRead.IsZero()
		conn.mu.Unlock()
		if reading {
			return true
		}
	}
	return false
}

// crossingConn delivers bytes to a Read that was in progress when it was closed.
type crossingConn struct {
	net.Conn
	closed chan struct{}
}

func (c crossingConn) Read(p []byte) (int, error) {
	<-c.closed
	return copy(p, "GET"), nil
}

func (c crossingConn) Close() error {
	close(c.closed)
	return nil
}

// A request arrives while its idle connection is being closed. It must not run, since its
// caller sees only the close and may send it again.
func TestRequestThatCrossesTheCloseIsNotRead(t *testing.T) {
	pipe, other := net.Pipe()
	t.Cleanup(func() { _, _ = pipe.Close(), other.Close() })
	c := &callerConn{Conn: crossingConn{pipe, make(chan struct{})}}
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 8))
		done <- err
	}()
	must.True(t, c.closeIdle(time.Now()))
	must.ErrorIs(t, <-done, net.ErrClosed)
}

// The gateway resets a connection whose answer broke off. A close in order would end a body
// without a length as if it were whole.
func TestConnectionOfACallerCanBeReset(t *testing.T) {
	c := newCallerConns()
	conn := dialServer(t, c, httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begun")
		taken, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		must.NoError(t, taken.(interface{ SetLinger(sec int) error }).SetLinger(0))
		must.NoError(t, taken.Close())
	})))
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, conn)
	must.ErrorIs(t, err, syscall.ECONNRESET)
	must.Zero(t, c.closeIdle(time.Now()))
}
