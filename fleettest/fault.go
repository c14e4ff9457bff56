package fleettest

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Network opens connections whose faults a test controls. All methods may be
// called concurrently.
type Network struct {
	mu    sync.Mutex
	conns []*faultConn
	dials atomic.Int64

	// OnWrite and OnWritten, if set, are called with each write before and after
	// it is passed on. They may call the network's methods.
	OnWrite, OnWritten func(p []byte)
}

// Dial opens a connection. It is a Dialer.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	c := &faultConn{Conn: conn, network: n, thawed: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// Dials returns how many connections were opened.
func (n *Network) Dials() int { return int(n.dials.Load()) }

// Freeze makes the open connections silent: what is written on them is held,
// and nothing is read. New connections work.
func (n *Network) Freeze() { n.each((*faultConn).freeze) }

// Thaw delivers what was held, late, also on connections closed meanwhile.
func (n *Network) Thaw() { n.each((*faultConn).thaw) }

// Cut resets the open connections.
func (n *Network) Cut() { n.each(func(c *faultConn) { _ = c.Conn.Close() }) }

func (n *Network) each(f func(*faultConn)) {
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

	mu       sync.Mutex
	frozen   bool
	shut     bool
	held     []byte
	thawed   chan struct{}
	closed   chan struct{}
	closeOne sync.Once
}

func (c *faultConn) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

func (c *faultConn) thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.frozen {
		return
	}
	c.frozen = false
	_, _ = c.Conn.Write(c.held)
	c.held = nil
	close(c.thawed)
	c.thawed = make(chan struct{})
	if c.shut {
		// Let the late bytes arrive before the end does.
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// Write passes p on, or holds it while the connection is frozen.
func (c *faultConn) Write(p []byte) (int, error) {
	if f := c.network.OnWrite; f != nil {
		f(p)
	}
	if f := c.network.OnWritten; f != nil {
		defer f(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read returns nothing while the connection is frozen.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		c.mu.Lock()
		frozen, thawed := c.frozen, c.thawed
		c.mu.Unlock()
		if !frozen {
			return n, err
		}
		select {
		case <-thawed:
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
	}
}

// Close closes the connection. A frozen one only looks closed to its user.
func (c *faultConn) Close() error {
	c.closeOne.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut = true
	if c.frozen {
		// Ends a read under way and leaves the way open for late writes.
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}
