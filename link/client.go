package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// dialAttempts is how often one call asks for a connection when the one it
// was given closed before any byte of the call left.
const dialAttempts = 2

// ClientOptions configures a Client. Zero values mean the defaults.
type ClientOptions struct {
	Address           string
	TLS               *tls.Config // nil means plain, allowed on loopback addresses only
	PrivateNetwork    bool        // allows plain connections off loopback: only hosts of the fleet reach the network
	DialTimeout       time.Duration
	HeartbeatInterval time.Duration // between heartbeats while calls wait and the peer is quiet
	HeartbeatTimeout  time.Duration // silence after which a connection with waiting calls is closed
	IdleTimeout       time.Duration // after which a connection without calls is closed
	MaxMessageBytes   int
	// Bulk tells which arguments are large. They travel on a connection of their
	// own, so that small calls do not wait behind them. Nil means none.
	Bulk func(args any) bool
	// Dial opens the connection below TLS; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o ClientOptions) withDefaults() ClientOptions {
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.HeartbeatInterval = orDefault(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.HeartbeatTimeout = orDefault(o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultClientIdleTimeout)
	o.MaxMessageBytes = orDefault(o.MaxMessageBytes, DefaultMaxMessageBytes)
	if o.Bulk == nil {
		o.Bulk = func(any) bool { return false }
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return o
}

// Client calls the methods of one peer. It dials when it is first used and
// after a connection was lost. All methods may be used from many goroutines.
type Client struct {
	opts ClientOptions

	mu     sync.Mutex
	small  lane
	bulk   lane
	closed bool
}

// lane is the place of one connection. The client's lock guards it.
type lane struct {
	current *connection
	attempt *dialAttempt
}

func (c *Client) lane(args any) *lane {
	if c.opts.Bulk(args) {
		return &c.bulk
	}
	return &c.small
}

// dialAttempt is one dial that all callers wait for. conn and err may be read
// once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *connection
	err  error
}

// NewClient returns a client for opts.Address. It does not dial. It fails with
// ErrPlainOffLoopback for a plain client of an address off loopback.
func NewClient(opts ClientOptions) (*Client, error) {
	if opts.TLS == nil && !opts.PrivateNetwork && !IsLoopback(opts.Address) {
		return nil, errors.Wrapf(ErrPlainOffLoopback, "client of %s", opts.Address)
	}
	return &Client{opts: opts.withDefaults()}, nil
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.opts.Address }

// Call runs method at the peer and fills reply. It returns at the latest when
// ctx ends. A failure is a *CallError that tells by ErrNotSent, ErrLost or
// ErrRemote what became of the call. args must not be changed after a call
// that failed with ErrLost; reply is only written on success.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	counters.Add(countCalls, 1)
	err := c.callOnce(ctx, method, args, reply)
	for n := 1; n < dialAttempts && errors.Is(err, errClosedBeforeSend); n++ {
		err = c.callOnce(ctx, method, args, reply)
	}
	switch {
	case errors.Is(err, ErrNotSent):
		counters.Add(countNotSent, 1)
	case errors.Is(err, ErrLost):
		counters.Add(countLost, 1)
	}
	return err
}

// errClosedBeforeSend is the cause when a connection closed between being
// handed out and being used.
var errClosedBeforeSend = errors.New("link: connection closed before the call was sent")

func (c *Client) callOnce(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connection(ctx, c.lane(args))
	if err != nil {
		return c.failed(ErrNotSent, method, err)
	}
	out := &outgoing{args: args}
	// A late reply of an abandoned call must not write into the caller's reply.
	private := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	conn.begin()
	defer conn.end()
	conn.queue(ctx, pendingCall{method: method, args: out, reply: private.Interface(), done: done})
	call := await(ctx, conn, out, done)
	switch {
	case call == nil && out.abandon():
		return c.failed(ErrNotSent, method, cause(ctx))
	case call == nil:
		return c.failed(ErrLost, method, ctx.Err())
	case call.Error != nil:
		return c.classify(conn, out, method, call.Error)
	default:
		reflect.ValueOf(reply).Elem().Set(private.Elem())
		return nil
	}
}

// await returns the ended call, or nil if ctx ended first or the connection
// closed before any byte of the call left.
func await(ctx context.Context, conn *connection, out *outgoing, done <-chan *rpc.Call) *rpc.Call {
	select {
	case call := <-done:
		return call
	case <-ctx.Done():
		return nil
	case <-conn.done:
		if out.abandon() {
			return nil
		}
	}
	// net/rpc ends every started call of a closed connection.
	select {
	case call := <-done:
		return call
	case <-ctx.Done():
		return nil
	}
}

func cause(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return errClosedBeforeSend
}

func (c *Client) classify(conn *connection, out *outgoing, method string, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return c.failed(ErrRemote, method, err)
	}
	if out.rejected() {
		return c.failed(ErrNotSent, method, err)
	}
	if out.abandon() {
		return c.failed(ErrNotSent, method, errors.Mark(err, errClosedBeforeSend))
	}
	if cause := conn.closeCause(); cause != nil {
		err = cause
	}
	return c.failed(ErrLost, method, err)
}

func (c *Client) failed(outcome error, method string, cause error) error {
	return &CallError{Outcome: outcome, Method: method, Address: c.opts.Address, Cause: cause}
}

// connection returns the open connection of a lane or waits for a dial, which
// all callers share.
func (c *Client) connection(ctx context.Context, l *lane) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if l.current != nil && !l.current.isClosed() {
		defer c.mu.Unlock()
		return l.current, nil
	}
	if l.attempt == nil {
		l.attempt = &dialAttempt{done: make(chan struct{})}
		go c.dial(l, l.attempt)
	}
	attempt := l.attempt
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(l *lane, attempt *dialAttempt) {
	conn, err := c.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		conn.close(ErrClosed)
		err = ErrClosed
	}
	attempt.conn, attempt.err = conn, err
	l.attempt = nil
	if err == nil {
		l.current = conn
	}
	close(attempt.done)
}

func (c *Client) open() (*connection, error) {
	counters.Add(countDials, 1)
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, c.opts.Address)
	if err != nil {
		counters.Add(countDialFailures, 1)
		return nil, errors.Wrapf(err, "dial %s", c.opts.Address)
	}
	tracked := newTrackedConn(raw, 0, c.opts.HeartbeatTimeout)
	var stream net.Conn = tracked
	if c.opts.TLS != nil {
		secure := tls.Client(tracked, c.opts.TLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			counters.Add(countHandshakes, 1)
			_ = raw.Close()
			return nil, errors.Wrapf(err, "TLS handshake with %s", c.opts.Address)
		}
		stream = secure
	}
	return newConnection(c.opts, tracked, stream), nil
}

// Close ends the connections and all waiting calls, and makes later calls fail
// with ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range []*lane{&c.small, &c.bulk} {
		if l.current != nil {
			l.current.close(ErrClosed)
		}
	}
}
