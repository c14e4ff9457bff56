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

// faultyConn is a connection that can freeze, lose or repeat what arrives.
type faultyConn struct {
	net.Conn
	frozen    atomic.Bool
	thaw      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	pause     time.Duration              // before each read
	piece     int                        // most bytes of one read; 0 means no limit
	arrive    func(p []byte) (extra int) // may change what arrived
}

func newFaultyConn(c net.Conn) *faultyConn {
	return &faultyConn{Conn: c, thaw: make(chan struct{}), closed: make(chan struct{})}
}

func (f *faultyConn) Read(p []byte) (int, error) {
	time.Sleep(f.pause)
	if f.piece > 0 {
		p = p[:min(len(p), f.piece)]
	}
	n, err := f.Conn.Read(p)
	if f.frozen.Load() {
		select {
		case <-f.thaw:
		case <-f.closed:
			return 0, net.ErrClosed
		}
	}
	if f.arrive != nil && err == nil {
		n += f.arrive(p[:n:len(p)])
	}
	return n, err
}

// Write swallows bytes while frozen, as a path does that forgot a connection.
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

// faultyDialer keeps the connections that it opened.
type faultyDialer struct {
	conns chan *faultyConn
	alter func(n int, f *faultyConn)
	count atomic.Int64
}

func (d *faultyDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	var plain net.Dialer
	c, err := plain.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	f := newFaultyConn(c)
	if n := d.count.Add(1); d.alter != nil {
		d.alter(int(n), f)
	}
	d.conns <- f
	return f, nil
}

func faultyClient(t *testing.T, address string, alter func(n int, f *faultyConn)) (*Client, *faultyDialer) {
	d := &faultyDialer{conns: make(chan *faultyConn, 64), alter: alter}
	c := newTestClient(t, ClientOptions{
		Address: address, Dial: d.dial,
		HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
	})
	return c, d
}

func TestFrozenConnectionIsReplaced(t *testing.T) {
	e := newEcho()
	_, address := startServer(t, ServerOptions{}, e)
	c, d := faultyClient(t, address, nil)
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
	close(old.thaw)
	var fresh Message
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{Data: []byte("own")}, &fresh))
	must.Eq(t, "own", string(fresh.Data))
	must.Eq(t, "kept", string(reply.Data))
	must.Eq(t, 2, d.count.Load())
}

func TestWaitingCallOnLivePeerIsNotCut(t *testing.T) {
	e := newEcho()
	_, address := startServer(t, ServerOptions{}, e)
	c, d := faultyClient(t, address, nil)
	time.AfterFunc(3*c.opts.HeartbeatTimeout, func() { close(e.release) })
	must.NoError(t, c.Call(testContext(t), "Echo.Block", Message{}, &Message{}))
	must.Eq(t, 1, d.count.Load())
}

// The whole reply takes longer than the heartbeat time-out, its pieces do not.
func TestSlowLargeReplyIsNotSilence(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	c, d := faultyClient(t, address, func(_ int, f *faultyConn) { f.pause, f.piece = 20*time.Millisecond, 16<<10 })
	reply := Message{}
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 512<<10)}, &reply))
	must.Len(t, 512<<10, reply.Data)
	must.Eq(t, 1, d.count.Load())
}

// A peer that takes connections and reads nothing.
func TestStuckWriteIsSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, _ := faultyClient(t, ln.Addr().String(), nil)
	err = c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 5<<20)}, &Message{})
	must.ErrorIs(t, err, ErrLost)
}

// A large call that does not get on holds up no small one.
func TestLargeCallDoesNotHoldUpSmallOnes(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	stuck, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	c := newTestClient(t, ClientOptions{Address: address, HeartbeatTimeout: hangLimit,
		Bulk: func(args any) bool { return len(args.(Message).Data) > 1<<10 },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return &stuckConn{Conn: conn, enter: func() { once.Do(func() { close(stuck) }); <-release }}, err
		}})
	large := make(chan error, 1)
	go func() { large <- c.Call(testContext(t), "Echo.Echo", Message{Data: make([]byte, 1<<20)}, &Message{}) }()
	<-stuck
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
	close(release)
	must.NoError(t, <-large)
}

// stuckConn calls enter before each write of a large message.
type stuckConn struct {
	net.Conn
	enter func()
}

func (s *stuckConn) Write(p []byte) (int, error) {
	if len(p) > 1<<10 {
		s.enter()
	}
	return s.Conn.Write(p)
}

func TestCutConnection(t *testing.T) {
	e := newEcho()
	defer close(e.release)
	_, address := startServer(t, ServerOptions{}, e)
	c, d := faultyClient(t, address, nil)
	result := make(chan error, 1)
	go func() { result <- c.Call(testContext(t), "Echo.Block", Message{}, &Message{}) }()
	<-e.entered
	must.NoError(t, (<-d.conns).Close())
	must.ErrorIs(t, <-result, ErrLost)
	must.NoError(t, c.Call(testContext(t), "Echo.Echo", Message{}, &Message{}))
}

// Bytes that arrive twice at the client end the connection or change nothing.
func TestRepeatedBytesNeverReachTheCaller(t *testing.T) {
	_, address := startServer(t, ServerOptions{}, newEcho())
	c, d := faultyClient(t, address, func(n int, f *faultyConn) {
		if n == 1 {
			f.arrive = func(p []byte) int { return copy(p[len(p):cap(p)], p) }
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

// A request that arrives twice on a connection runs once. Type descriptions
// come with the first request alone, so that one is repeated last.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	e := newEcho()
	_, address := startServer(t, ServerOptions{}, e)
	var repeat atomic.Bool
	c := newTestClient(t, ClientOptions{Address: address, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return &repeatingConn{Conn: conn, on: &repeat}, err
	}})
	must.NoError(t, c.Call(testContext(t), "Echo.Size", Message{}, &Message{}))
	repeat.Store(true)
	_ = c.Call(testContext(t), "Echo.Size", Message{}, &Message{})
	awaitClosed(t, c)
	must.Eq(t, 2, e.ran.Load())
}

// repeatingConn writes every message twice while on is set.
type repeatingConn struct {
	net.Conn
	on *atomic.Bool
}

func (r *repeatingConn) Write(p []byte) (int, error) {
	if n, err := r.Conn.Write(p); err != nil || !r.on.Load() {
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
	awaitClosed(t, first) // by the server, as idle
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
		t.Fatal("the connection stays open")
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
