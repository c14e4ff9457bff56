package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
)

// headTimeout is how long after its last byte a request that has not arrived whole keeps
// its connection from being closed as idle.
const headTimeout = time.Second

// callerListener accepts connections of callers as callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn is a connection of a caller that can be closed while it is idle without
// losing a request: net/http reports a request only after it has read its head. All
// methods may be called concurrently.
type callerConn struct {
	net.Conn

	mu       sync.Mutex
	serving  bool      // a request has been read and its response is not complete
	lastRead time.Time // of bytes that no response followed yet; zero if there are none
	closed   bool      // by closeIdle
}

// Read implements net.Conn. After closeIdle it returns no bytes, so that a request which
// crosses the close is not run.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.lastRead = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.lastRead = time.Time{}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite lets net/http send a whole response before it closes the connection.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetLinger lets the gateway reset the connection.
func (c *callerConn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

func (c *callerConn) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
}

// closeIdle closes the connection if no request is being served on it, is being read, or
// waits to be read. It reports whether it did.
func (c *callerConn) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || now.Sub(c.lastRead) < headTimeout || netdial.Readable(c.Conn) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // no request is lost
	return true
}

// callerConns tracks the connections of callers, and closes those that have been idle for
// longer than the configuration allows: net/http has one fixed limit for the lifetime of a
// server. All methods may be called concurrently.
type callerConns struct {
	mu        sync.Mutex
	open      map[*callerConn]struct{}
	idleSince map[*callerConn]time.Time // when each connection without a request became idle

	limit        time.Duration // current idle limit; 0 means none
	formerLimits []formerLimit
}

func newCallerConns() *callerConns {
	return &callerConns{open: make(map[*callerConn]struct{}), idleSince: make(map[*callerConn]time.Time)}
}

// trackState is the http.Server.ConnState hook. The connections must be callerConns.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
	caller := conn.(*callerConn)
	caller.setServing(state == http.StateActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, caller)
	switch state {
	case http.StateNew:
		c.open[caller] = struct{}{}
	case http.StateIdle:
		c.idleSince[caller] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, caller)
	}
}

// closeIdle closes the connections without a request and returns how many others are open.
func (c *callerConns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := 0
	for conn := range c.open {
		if conn.closeIdle(now) {
			delete(c.open, conn)
			delete(c.idleSince, conn)
			continue
		}
		busy++
	}
	return busy
}
