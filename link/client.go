package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxCallAttempts is how often one call is tried. A call is tried again, on a new
// connection, only if its connection closed before any byte of the call was sent.
const maxCallAttempts = 2

// ClientOptions configures a Client. Zero values mean the defaults.
type ClientOptions struct {
	Address           string
	TLS               *tls.Config // nil means unencrypted, allowed on loopback addresses only
	PrivateNetwork    bool        // allows unencrypted connections off loopback, for a network that only hosts of the fleet can reach
	DialTimeout       time.Duration
	HeartbeatInterval time.Duration // between heartbeats while calls wait and the peer sends nothing
	HeartbeatTimeout  time.Duration // silence after which a connection with waiting calls is closed; also limits the write of one chunk
	IdleTimeout       time.Duration // after which a connection without calls is closed
	MaxMessageBytes   int
	// Bulk reports whether the arguments of a call are large. Calls with large
	// arguments use a separate connection, so that small calls do not wait behind
	// them. Nil means that no arguments are large.
	Bulk func(args any) bool
	// Dial opens the connection on which TLS runs; nil means TCP.
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

// Client calls the methods of one peer. It connects on first use and reconnects
// after losing a connection. Its methods may be called concurrently.
type Client struct {
	opts ClientOptions

	mu     sync.Mutex
	small  connSlot
	bulk   connSlot
	closed bool

	peerClosed atomic.Bool // the peer closed the last connection in order
	peerReset  atomic.Bool // the last connection was reset
	connected  atomic.Bool // there was a connection
}

// connSlot holds one connection of a client and the dial in progress for it. The
// client's lock guards it.
type connSlot struct {
	current *connection
	attempt *dialAttempt
}

func (c *Client) slotFor(args any) *connSlot {
	if c.opts.Bulk(args) {
		return &c.bulk
	}
	return &c.small
}

// dialAttempt is a dial in progress, shared by all calls that need the
// connection. conn and err may be read once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *connection
	err  error
}

// NewClient returns a client for opts.Address. It does not dial. It returns
// ErrPlaintextOffLoopback if opts sets neither TLS nor PrivateNetwork and the address
// is not a loopback address.
func NewClient(opts ClientOptions) (*Client, error) {
	if opts.TLS == nil && !opts.PrivateNetwork && !IsLoopback(opts.Address) {
		return nil, errors.Wrapf(ErrPlaintextOffLoopback, "client of %s", opts.Address)
	}
	return &Client{opts: opts.withDefaults()}, nil
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.opts.Address }

// Call runs method at the peer and fills reply. It returns when ctx ends at the
// latest. On failure it returns a *CallError whose outcome is ErrNotSent, ErrLost
// or ErrRemote. After ErrLost, args must not be changed. reply is written only on
// success.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	counters.Add(countCalls, 1)
	err := c.callOnce(ctx, method, args, reply)
	for n := 1; n < maxCallAttempts && errors.Is(err, errClosedBeforeSend); n++ {
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

// errClosedBeforeSend is the cause of a failed call whose connection closed after
// it was selected but before any byte of the call was sent.
var errClosedBeforeSend = errors.New("link: connection closed before the call was sent")

func (c *Client) callOnce(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connection(ctx, c.slotFor(args))
	if err != nil {
		return c.callError(ErrNotSent, method, err)
	}
	out := &outgoing{args: args}
	// The late reply of an abandoned call must not overwrite the caller's reply.
	privateReply := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	conn.beginCall()
	defer conn.endCall()
	conn.enqueue(ctx, pendingCall{method: method, args: out, reply: privateReply.Interface(), done: done})
	call := awaitCall(ctx, conn, out, done)
	switch {
	case call == nil && out.abandon():
		return c.callError(ErrNotSent, method, notSentCause(ctx, out))
	case call == nil:
		return c.callError(ErrLost, method, ctx.Err())
	case call.Error != nil:
		return c.classifyError(conn, out, method, call.Error)
	default:
		reflect.ValueOf(reply).Elem().Set(privateReply.Elem())
		return nil
	}
}

// awaitCall returns the completed call, or nil if ctx ended first or the
// connection closed before any byte of the call was sent.
func awaitCall(ctx context.Context, conn *connection, out *outgoing, done <-chan *rpc.Call) *rpc.Call {
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
	// net/rpc completes every started call when its connection closes.
	select {
	case call := <-done:
		return call
	case <-ctx.Done():
		return nil
	}
}

func notSentCause(ctx context.Context, out *outgoing) error {
	if err := out.encodingError(); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return errClosedBeforeSend
}

func (c *Client) classifyError(conn *connection, out *outgoing, method string, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return c.callError(ErrRemote, method, err)
	}
	if encodeErr := out.encodingError(); encodeErr != nil {
		return c.callError(ErrNotSent, method, encodeErr)
	}
	if out.abandon() {
		return c.callError(ErrNotSent, method, errors.Mark(err, errClosedBeforeSend))
	}
	if cause := conn.closeCause(); cause != nil {
		err = cause
	}
	return c.callError(ErrLost, method, err)
}

func (c *Client) callError(outcome error, method string, cause error) error {
	return &CallError{Outcome: outcome, Method: method, Address: c.opts.Address, Cause: cause}
}

// connection returns the open connection of slot. Without one it starts a dial, or
// joins the dial in progress, and waits for it until ctx ends.
func (c *Client) connection(ctx context.Context, slot *connSlot) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if slot.current != nil && !slot.current.isClosed() {
		defer c.mu.Unlock()
		return slot.current, nil
	}
	if slot.attempt == nil {
		slot.attempt = &dialAttempt{done: make(chan struct{})}
		go c.dial(slot, slot.attempt)
	}
	attempt := slot.attempt
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(slot *connSlot, attempt *dialAttempt) {
	conn, err := c.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		conn.close(ErrClosed)
		err = ErrClosed
	}
	attempt.conn, attempt.err = conn, err
	slot.attempt = nil
	if err == nil {
		slot.current = conn
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
		switch refused := errors.Is(err, syscall.ECONNREFUSED); {
		case refused && c.peerClosed.Load() && !c.peerReset.Load(): // a reset is reported once, then looks like an end
			err = errors.Mark(err, ErrPeerEnded)
		case refused && c.connected.Load():
			err = errors.Mark(err, ErrPeerGone)
		}
		return nil, errors.Wrapf(err, "dial %s", c.opts.Address)
	}
	c.peerClosed.Store(false)
	c.peerReset.Store(false)
	c.connected.Store(true)
	tracked := newTrackedConn(raw, 0, c.opts.HeartbeatTimeout)
	tracked.ended = func(reset bool) {
		if reset {
			c.peerReset.Store(true)
		} else {
			c.peerClosed.Store(true)
		}
	}
	var stream net.Conn = tracked
	if c.opts.TLS != nil {
		tlsConn := tls.Client(tracked, c.opts.TLS)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			counters.Add(countHandshakeFailures, 1)
			_ = raw.Close()
			return nil, errors.Wrapf(err, "TLS handshake with %s", c.opts.Address)
		}
		stream = tlsConn
	}
	return newConnection(c.opts, tracked, stream), nil
}

// Close closes the connections and ends all waiting calls. Later calls fail with
// ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, slot := range []*connSlot{&c.small, &c.bulk} {
		if slot.current != nil {
			slot.current.close(ErrClosed)
		}
	}
}
