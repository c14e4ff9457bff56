package spread

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// retransmission is the delay that a lost packet causes on an idle TCP connection.
	retransmission = 200 * time.Millisecond
	// queuedWrites is the number of writes that may be in flight on one connection.
	queuedWrites = 256
)

// dial connects to an address with the delay and the loss set for the fleet's links.
func (f *Fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil || f.opts.Delay == 0 && f.opts.Loss == 0 {
		return conn, errors.Wrap(err, "spread: dial")
	}
	d := &delayedConn{Conn: conn, opts: f.opts, queue: make(chan pendingWrite, queuedWrites), closed: make(chan struct{})}
	go d.send()
	return d, nil
}

// pendingWrite is a write in flight.
type pendingWrite struct {
	data []byte
	due  time.Time
}

// delayedConn is a connection that simulates the delay of both directions: written data
// arrives a round trip later, which a caller can't tell from a delay in each direction.
type delayedConn struct {
	net.Conn
	opts   Options
	queue  chan pendingWrite
	closed chan struct{}
}

// Write implements net.Conn.
func (d *delayedConn) Write(p []byte) (int, error) {
	wait := 2 * d.opts.Delay
	for range 2 {
		if rand.Float64() < d.opts.Loss {
			wait += retransmission
		}
	}
	select {
	case d.queue <- pendingWrite{append([]byte(nil), p...), time.Now().Add(wait)}:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

func (d *delayedConn) send() {
	for {
		select {
		case <-d.closed:
			return
		case l := <-d.queue:
			time.Sleep(time.Until(l.due))
			if _, err := d.Conn.Write(l.data); err != nil {
				return
			}
		}
	}
}

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return d.Conn.Close()
}
