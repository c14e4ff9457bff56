// Package meanload measures the cost of delivering the mean load to every agent: bytes on
// the wire, processor time and the age of the mean. It runs the fleet's own collectors and
// reporters over loopback connections with simulated delays and losses.
package meanload

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// headerBytes is the overhead of a segment: the IPv4 and TCP headers with the timestamp
// option.
const headerBytes = 52

// meter counts the traffic of one node.
type meter struct {
	payload  atomic.Int64
	segments atomic.Int64
}

// add counts a segment of n bytes and its acknowledgement, which may be a segment of its
// own.
func (m *meter) add(n int) {
	m.payload.Add(int64(n))
	m.segments.Add(2)
}

// total returns the bytes including the headers of segments and acknowledgements.
func (m *meter) total() int64 { return m.payload.Load() + headerBytes*m.segments.Load() }

// network describes the simulated delay and loss of segments.
type network struct {
	delay          time.Duration // mean; the delay of a segment is random, between 0.5 and 1.5 times as much
	loss           float64       // share of segments that are delayed by a retransmission
	retransmission time.Duration // delay of a retransmission
}

func (n network) wait() {
	if n.delay == 0 {
		return
	}
	wait := time.Duration((0.5 + rand.Float64()) * float64(n.delay))
	if rand.Float64() < n.loss {
		wait += n.retransmission
	}
	time.Sleep(wait)
}

// conn counts the traffic of both directions at one node and delays its writes.
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
	c.network.wait()
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

// dialer returns a node's dial function, whose connections m counts.
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
