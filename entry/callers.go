package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"dandelionrill.example/fleet/internal/netdial"
)

// headTimeout is how long after its last byte a request that has not arrived whole keeps
// its connection from being closed as idle.
const headTimeout = time.Second

// callerListener accepts connections of callers as callerConns, no more than callers allows.
type callerListener struct {
	net.Listener
	callers *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.callers.makeRoom(time.Now()) {
			return newCallerConn(c, l.callers.memory), nil
		}
		_ = c.Close() // no request was read
	}
}

// callerConn is a connection of a caller that can be closed while it is idle without
// losing a request: net/http reports a request only after it has read its head. All
// methods may be called concurrently.
type callerConn struct {
	net.Conn
	own  *membudget.Holding // memory of the connection itself; nil if it is not limited
	head headMemory

	mu           sync.Mutex
	lastProgress time.Time // when it was accepted, or bytes were last read
	serving      bool      // a request has been read and its response is not complete
	lastRead     time.Time // of bytes that no response followed yet; zero if there are none
	closed       bool      // by closeIdle
}

// Read implements net.Conn. After closeIdle it returns no bytes, so that a request which
// crosses the close is not run.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	closed, serving := c.recordRead(n)
	if closed {
		return 0, net.ErrClosed
	}
	if n > 0 && !serving && !c.head.add(n) {
		c.giveWay()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) recordRead(n int) (closed, serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.closed {
		c.lastRead = time.Now()
		c.lastProgress = c.lastRead
	}
	return c.closed, c.serving
}

func newCallerConn(conn net.Conn, memory *membudget.Budget) *callerConn {
	c := &callerConn{Conn: conn, lastProgress: time.Now()}
	c.head = headMemory{budget: memory, evict: func(bool) { c.giveWay() }}
	if memory != nil {
		c.own = memory.Keep()
		c.own.ReserveAnyway(connectionBytes)
	}
	return c
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

func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	c.serving = state == http.StateActive
	c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.head.complete()
	case http.StateIdle:
		c.head.release()
	case http.StateClosed, http.StateHijacked:
		c.head.release()
		if c.own != nil {
			c.own.Release()
		}
	}
}

// closeIdle closes the connection if no request is being served on it, is being read, or
// waits to be read. It reports whether it did.
func (c *callerConn) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastRead) < headTimeout {
		return false
	}
	return c.closeUnread()
}

// closeStalled closes the connection if no request is being served on it, and nothing waits to
// be read. It reports whether it did.
func (c *callerConn) closeStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeUnread()
}

// closeUnread closes the connection unless a request is being served on it, or bytes wait to be
// read, and reports whether it did. c.mu must be held.
func (c *callerConn) closeUnread() bool {
	if c.serving || netdial.Readable(c.Conn) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // no request is lost
	return true
}

// giveWay closes the connection because there is no memory for the head of its request, which
// is not run.
func (c *callerConn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.Conn.Close() // the caller sees that no answer comes
}

// stalledSince returns since when nothing has arrived, if no request is being served.
func (c *callerConn) stalledSince() (since time.Time, stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastProgress, !c.serving
}

// callerConns tracks the connections of callers, and closes those that have been idle for
// longer than the configuration allows: net/http has one fixed limit for the lifetime of a
// server. All methods may be called concurrently.
type callerConns struct {
	mu        sync.Mutex        // guards the fields below, but not the next two
	memory    *membudget.Budget // for connections and heads; nil if it is not limited
	most      int               // connections at a time; 0 if there is no limit
	closed    int               // to make room for others
	rejected  int               // for want of room
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
	caller.setState(state)
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
