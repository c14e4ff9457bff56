// Package meanload measures what it costs to bring the mean load to every
// agent: bytes on the wire, processor time and age, with the fleet's own
// collectors and reporters over loopback connections that delay and stall.
package meanload

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// Costs of a segment beside its payload: IPv4, TCP and time-stamp option.
const headerBytes = 52

// meter counts the traffic of one node.
type meter struct {
	payload  atomic.Int64
	segments atomic.Int64
}

// add counts one segment and the acknowledgement that may travel alone.
func (m *meter) add(n int) {
	m.payload.Add(int64(n))
	m.segments.Add(2)
}

// total returns the bytes with the headers of segments and acknowledgements.
func (m *meter) total() int64 { return m.payload.Load() + headerBytes*m.segments.Load() }

// network is what a connection does to a segment.
type network struct {
	delay time.Duration // up to twice as much, at random
	loss  float64       // share of segments that wait for a retransmission
	stall time.Duration // of a retransmission
}

func (n network) pass() {
	if n.delay == 0 {
		return
	}
	wait := time.Duration((0.5 + rand.Float64()) * float64(n.delay))
	if rand.Float64() < n.loss {
		wait += n.stall
	}
	time.Sleep(wait)
}

// conn counts both directions on one node's side.
type conn struct {
	net.Conn
	meter   *meter
	network network
}

func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.meter.add(n)
	}
	return n, err
}

func (c conn) Write(p []byte) (int, error) {
	c.network.pass()
	c.meter.add(len(p))
	return c.Conn.Write(p)
}

type listener struct {
	net.Listener
	meter   *meter
	network network
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.meter, l.network}, nil
}

// dialer returns the dial function of a node.
func dialer(m *meter, n network) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return conn{c, m, n}, nil
	}
}
