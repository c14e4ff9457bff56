package spread

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// retransmission is what a lost packet costs on a quiet TCP connection.
	retransmission = 200 * time.Millisecond
	// queuedWrites is how many writes may be on their way on one connection.
	queuedWrites = 256
)

// dial connects with the delay and the loss of the fleet's links.
func (f *Fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil || f.opts.Delay == 0 && f.opts.Loss == 0 {
		return conn, errors.Wrap(err, "spread: dial")
	}
	d := &delayed{Conn: conn, opts: f.opts, queue: make(chan late, queuedWrites), closed: make(chan struct{})}
	go d.send()
	return d, nil
}

// late is a write that is on its way.
type late struct {
	data []byte
	due  time.Time
}

// delayed is a connection whose messages take time both ways: what is written
// arrives a round trip later, which to a caller is the same as a delay each way.
type delayed struct {
	net.Conn
	opts   Options
	queue  chan late
	closed chan struct{}
}

// Write implements net.Conn.
func (d *delayed) Write(p []byte) (int, error) {
	wait := 2 * d.opts.Delay
	for range 2 {
		if rand.Float64() < d.opts.Loss {
			wait += retransmission
		}
	}
	select {
	case d.queue <- late{append([]byte(nil), p...), time.Now().Add(wait)}:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

func (d *delayed) send() {
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
func (d *delayed) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return d.Conn.Close()
}
