package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// faultyConn is a connection that can freeze, slow down, lose or repeat the bytes
// that arrive.
type faultyConn struct {
	net.Conn
	frozen       atomic.Bool
	unfreeze     chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once
	readDelay    time.Duration              // delay before each read
	maxReadBytes int                        // 0 means no limit
	onRead       func(p []byte) (extra int) // may change or extend the bytes read
}

func newFaultyConn(c net.Conn) *faultyConn {
	return &faultyConn{Conn: c, unfreeze: make(chan struct{}), closed: make(chan struct{})}
}

func (f *faultyConn) Read(p []byte) (int, error) {
	time.Sleep(f.readDelay)
	if f.maxReadBytes > 0 {
		p = p[:min(len(p), f.maxReadBytes)]
	}
	n, err := f.Conn.Read(p)
	if f.frozen.Load() {
		select {
		case <-f.unfreeze:
		case <-f.closed:
			return 0, net.ErrClosed
		}
	}
	if f.onRead != nil && err == nil {
		n += f.onRead(p[:n:len(p)])
	}
	return n, err
}

// Write discards bytes while the connection is frozen, like a network path that
// has lost the connection's state.
func (f *faultyConn) Write(p []byte) (int, error) {
	if f.frozen.Load() {
		return len(p), nil
	}
	return f.Conn.Write(p)
}

func (f *faultyConn) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

// faultyDialer opens connections and makes them available to the test.
type faultyDialer struct {
	conns     chan *faultyConn
	configure func(n int, f *faultyConn)
	count     atomic.Int64
}

func (d *faultyDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	var plain net.Dialer
	c, err := plain.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	f := newFaultyConn(c)
	if n := d.count.Add(1); d.configure != nil {
		d.configure(int(n), f)
	}
	d.conns <- f
	return f, nil
}

func newFaultyClient(t *testing.T, address string, configure func(n int, f *faultyConn)) (*Client, *faultyDialer) {
	d := &faultyDialer{conns: make(chan *faultyConn, 64), configure: configure}
	c := newTestClient(t, ClientOptions{
		Address: address, Dial: d.dial,
		HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
	})
	return c, d
}

func TestFrozenConnectionIsReplaced(t *testing.T) {
	e := newEcho()
	_, address := startServer(t, ServerOptions{}, e)
	c, d := newFaultyClient(t, address, nil)
	reply := Message{Data: []byte("kept")}
	result := make(chan error, 1)
	go func() { result <- c.Call(testContext(t), "Echo.Block", Message{Data: []byte("late")}, &reply) }()
	<-e.entered
	old := <-d.conns
	old.frozen.Store(true)
	err := <-result
	must.ErrorIs(t, err, ErrLost)
	must.ErrorIs(t, err, ErrSilent)
	close(e.release)
	close(old.unfreeze)
	var fresh Message
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{Data: []byte("own")}, &fresh))
	must.Eq(t, "own", string(fresh.Data))
	must.Eq(t, "kept", string(reply.Data))
	must.Eq(t, 2, d.count.Load())
}

func TestWaitingCallOnLivePeerIsNotClosed(t *testing.T) {
	e := newEcho()
	_, address := startServer(t, ServerOptions{}, e)
	c, d := newFaultyClient(t, address, nil)
	time.AfterFunc(3*c.opts.HeartbeatTimeout, func() { close(e.release) })
	must.NoError(t, c.Call(testContext(t), "Echo.Block", Message{}, &Message{}))
	must.Eq(t, 1, d.count.Load())
}

// The complete reply takes longer than the heartbeat timeout, but the gaps
// between its parts are shorter.
func TestSlowLargeReplyIsNotSilence(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	c, d := newFaultyClient(t, address, func(_ int, f *faultyConn) { f.readDelay, f.maxReadBytes = 20*time.Millisecond, 16<<10 })
	reply := Message{}
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 512<<10)}, &reply))
	must.Len(t, 512<<10, reply.Data)
	must.Eq(t, 1, d.count.Load())
}

// The peer accepts connections and reads nothing, so a large write blocks.
func TestBlockedWriteCountsAsSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, _ := newFaultyClient(t, ln.Addr().String(), nil)
	err = c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 5<<20)}, &Message{})
	must.ErrorIs(t, err, ErrLost)
}

// A large call whose write is blocked must not delay small calls.
func TestLargeCallDoesNotDelaySmallCalls(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	blocked, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	c := newTestClient(t, ClientOptions{Address: address, HeartbeatTimeout: testTimeout,
		Bulk: func(args any) bool { return len(args.(Message).Data) > 1<<10 },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return &blockingConn{Conn: conn, beforeWrite: func() { once.Do(func() { close(blocked) }); <-release }}, err
		}})
	large := make(chan error, 1)
	go func() { large <- c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 1<<20)}, &Message{}) }()
	<-blocked
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
	close(release)
	must.NoError(t, <-large)
}

// blockingConn calls beforeWrite before each write of a large message.
type blockingConn struct {
	net.Conn
	beforeWrite func()
}

func (s *blockingConn) Write(p []byte) (int, error) {
	if len(p) > 1<<10 {
		s.beforeWrite()
	}
	return s.Conn.Write(p)
}

func TestLostConnectionFailsCallAndIsReplaced(t *testing.T) {
	e := newEcho()
	defer close(e.release)
	_, address := startServer(t, ServerOptions{}, e)
	c, d := newFaultyClient(t, address, nil)
	result := make(chan error, 1)
	go func() { result <- c.Call(testContext(t), "Echo.Block", Message{}, &Message{}) }()
	<-e.entered
	must.NoError(t, (<-d.conns).Close())
	must.ErrorIs(t, <-result, ErrLost)
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
}

// Bytes that arrive twice at the client must close the connection or have no
// effect; a successful call returns the right reply.
func TestRepeatedBytesNeverReachTheCaller(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	c, d := newFaultyClient(t, address, func(n int, f *faultyConn) {
		if n == 1 {
			f.onRead = func(p []byte) int { return copy(p[len(p):cap(p)], p) }
		}
	})
	for i := range 20 {
		args, reply := Message{Data: []byte{byte(i)}}, Message{}
		if err := c.Call(testContext(t), "Echo.Echo", args, &reply); err == nil {
			must.Eq(t, args, reply)
		}
	}
	must.Eq(t, 2, d.count.Load())
}

// A request that arrives twice on a connection must run once. Only the first
// request carries gob type descriptions, so the test repeats a later one.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	e := newEcho()
	server, address := startServer(t, ServerOptions{}, e)
	var repeat atomic.Bool
	c := newTestClient(t, ClientOptions{Address: address, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return &repeatingConn{Conn: conn, enabled: &repeat}, err
	}})
	must.NoError(t, c.Call(testContext(t), "Echo.Size", Message{}, &Message{}))
	repeat.Store(true)
	_ = c.Call(testContext(t), "Echo.Size", Message{}, &Message{})
	awaitClosed(t, c)
	for server.calls.Load() > 0 { // the second call may still be in progress
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 2, e.sizeCalls.Load())
}

// repeatingConn writes every message twice while enabled is set.
type repeatingConn struct {
	net.Conn
	enabled *atomic.Bool
}

func (r *repeatingConn) Write(p []byte) (int, error) {
	repeat := r.enabled.Load() // before the write, whose reply can arrive before it returns
	if n, err := r.Conn.Write(p); err != nil || !repeat {
		return n, err
	}
	return r.Conn.Write(p)
}

func TestServerLimits(t *testing.T) {
	s, address := startServer(t, ServerOptions{MaxConnections: 1, IdleTimeout: 100 * time.Millisecond}, newEcho())
	first := newTestClient(t, ClientOptions{Address: address})
	must.NoError(t, first.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
	second := newTestClient(t, ClientOptions{Address: address})
	must.Error(t, second.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
	awaitClosed(t, first) // the server closes it as idle
	for s.connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, second.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
}

func awaitClosed(t *testing.T, c *Client) {
	t.Helper()
	select {
	case <-c.small.current.done:
	case <-testContext(t).Done():
		t.Fatal("the connection was not closed")
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func TestIdleClientConnectionIsClosed(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	c := newTestClient(t, ClientOptions{Address: address, HeartbeatInterval: 10 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
	awaitClosed(t, c)
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
}
