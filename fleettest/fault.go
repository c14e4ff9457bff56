package fleettest

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Network opens connections into which a test can inject faults. All methods may
// be called concurrently.
type Network struct {
	mu    sync.Mutex
	conns []*faultConn
	dials atomic.Int64

	// BeforeWrite and AfterWrite, if set, are called with the data of each write,
	// before and after it is passed to the connection. They may call the network's methods.
	BeforeWrite, AfterWrite func(p []byte)
}

// Dial opens a connection. It is a Dialer.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	c := &faultConn{Conn: conn, network: n, unfrozen: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// Dials returns how many connections have been opened.
func (n *Network) Dials() int { return int(n.dials.Load()) }

// Freeze makes the open connections silent: writes on them are buffered, and reads
// block. New connections work normally.
func (n *Network) Freeze() { n.forEach((*faultConn).freeze) }

// Unfreeze ends a freeze. The buffered writes are delivered late, even on
// connections that were closed meanwhile.
func (n *Network) Unfreeze() { n.forEach((*faultConn).unfreeze) }

// CloseAll closes the open connections.
func (n *Network) CloseAll() { n.forEach(func(c *faultConn) { _ = c.Conn.Close() }) }

func (n *Network) forEach(f func(*faultConn)) {
	n.mu.Lock()
	conns := append([]*faultConn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// faultConn is a connection that may be frozen.
type faultConn struct {
	net.Conn
	network *Network

	mu             sync.Mutex
	frozen         bool
	closeRequested bool
	buffered       []byte
	unfrozen       chan struct{}
	closed         chan struct{}
	closeOnce      sync.Once
}

func (c *faultConn) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

func (c *faultConn) unfreeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.frozen {
		return
	}
	c.frozen = false
	_, _ = c.Conn.Write(c.buffered)
	c.buffered = nil
	close(c.unfrozen)
	c.unfrozen = make(chan struct{})
	if c.closeRequested {
		// Close only the write side, so that the late bytes arrive before the end of
		// the stream.
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// Write writes p to the connection, or buffers it while the connection is frozen.
func (c *faultConn) Write(p []byte) (int, error) {
	if f := c.network.BeforeWrite; f != nil {
		f(p)
	}
	if f := c.network.AfterWrite; f != nil {
		defer f(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read reads from the connection. While the connection is frozen, it blocks until
// the freeze ends or Close is called.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		c.mu.Lock()
		frozen, unfrozen := c.frozen, c.unfrozen
		c.mu.Unlock()
		if !frozen {
			return n, err
		}
		select {
		case <-unfrozen:
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
	}
}

// Close closes the connection. A frozen connection only appears closed to its
// user; the underlying connection stays open.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeRequested = true
	if c.frozen {
		// End a pending read, but keep the connection open for the late writes.
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}
