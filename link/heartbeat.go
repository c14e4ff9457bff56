package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatService is the name under which every server answers heartbeats.
const heartbeatService = "Link"

// PingArgs is the heartbeat of a client.
type PingArgs struct{ Sequence uint64 }

// PingReply answers a heartbeat.
type PingReply struct{ Sequence uint64 }

// heartbeatReceiver answers heartbeats at the server.
type heartbeatReceiver struct{}

// Ping echoes the sequence number.
func (heartbeatReceiver) Ping(args PingArgs, reply *PingReply) error {
	reply.Sequence = args.Sequence
	return nil
}

// connection is one open connection of a client with the monitor that closes
// it when the peer goes silent. Any byte from the peer counts as a sign of
// life, so a long message does not delay the verdict on a live peer.
type connection struct {
	rpc     *rpc.Client
	tracked *trackedConn
	opts    ClientOptions
	done    chan struct{}
	outbox  chan pendingCall

	mu      sync.Mutex
	waiting int           // calls without a reply
	since   time.Duration // when waiting last rose from 0 or fell to 0
	cause   error         // why the connection was closed

	closed  atomic.Bool
	pinging atomic.Bool
	pings   uint64
}

func newConnection(opts ClientOptions, tracked *trackedConn, stream net.Conn) *connection {
	c := &connection{tracked: tracked, opts: opts, done: make(chan struct{}), outbox: make(chan pendingCall, outboxCalls)}
	codec := clientCodec{newGobStream(&notifyingConn{Conn: stream, connection: c}, opts.MaxMessageBytes)}
	c.rpc = rpc.NewClientWithCodec(codec)
	go c.monitor()
	go c.write()
	return c
}

// outboxCalls is the number of calls that may wait for the writer.
const outboxCalls = 16

// pendingCall is one call on its way to the writer.
type pendingCall struct {
	method string
	args   *outgoing
	reply  any
	done   chan *rpc.Call
}

// queue hands a call to the writer unless ctx ends or the connection closes.
func (c *connection) queue(ctx context.Context, call pendingCall) {
	select {
	case c.outbox <- call:
	case <-c.done:
	case <-ctx.Done():
	}
}

// write sends calls one after another. net/rpc would let every caller wait for
// the stream itself, where a deadline cannot reach it.
func (c *connection) write() {
	for {
		select {
		case call := <-c.outbox:
			c.rpc.Go(call.method, call.args, call.reply, call.done)
		case <-c.done:
			return
		}
	}
}

// notifyingConn tells the connection when net/rpc or the codec closes it.
type notifyingConn struct {
	net.Conn
	connection *connection
}

// Close implements io.Closer.
func (n *notifyingConn) Close() error {
	n.connection.markClosed(nil)
	return n.Conn.Close()
}

func (c *connection) isClosed() bool { return c.closed.Load() }

func (c *connection) markClosed(cause error) {
	if c.closed.CompareAndSwap(false, true) {
		c.mu.Lock()
		c.cause = cause
		c.mu.Unlock()
		close(c.done)
	}
}

// close ends all waiting calls. It closes below TLS, where a close cannot
// wait for a write that is stuck.
func (c *connection) close(cause error) {
	c.markClosed(cause)
	_ = c.tracked.Conn.Close()
	go func() { _ = c.rpc.Close() }()
}

func (c *connection) closeCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

func (c *connection) begin() { c.addWaiting(1) }

func (c *connection) end() { c.addWaiting(-1) }

func (c *connection) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 || c.waiting+delta == 0 {
		c.since = c.tracked.now()
	}
	c.waiting += delta
}

// monitor sends heartbeats while calls wait and no bytes arrive, and closes
// the connection after HeartbeatTimeout of silence or IdleTimeout without
// calls.
func (c *connection) monitor() {
	ticker := time.NewTicker(c.opts.HeartbeatInterval)
	defer ticker.Stop()
	last := c.tracked.now()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		now := c.tracked.now()
		if now-last > c.opts.HeartbeatInterval+c.opts.HeartbeatTimeout/2 {
			// This process was paused: replies may wait unread in the kernel.
			c.tracked.touch()
		}
		last = now
		c.check(now)
	}
}

func (c *connection) check(now time.Duration) {
	c.mu.Lock()
	waiting, since := c.waiting, c.since
	c.mu.Unlock()
	if waiting == 0 {
		if now-since > c.opts.IdleTimeout {
			counters.Add(countIdle, 1)
			c.close(ErrClosed)
		}
		return
	}
	quiet := now - max(since, c.tracked.lastActivity())
	if quiet > c.opts.HeartbeatTimeout {
		counters.Add(countSilent, 1)
		c.close(ErrSilent)
		return
	}
	if quiet >= c.opts.HeartbeatInterval/2 {
		c.ping()
	}
}

// ping sends one heartbeat unless one is on its way. The reply's bytes count;
// its content does not matter.
func (c *connection) ping() {
	if !c.pinging.CompareAndSwap(false, true) {
		return
	}
	counters.Add(countHeartbeats, 1)
	c.pings++
	args := &outgoing{args: PingArgs{Sequence: c.pings}}
	go func() {
		defer c.pinging.Store(false)
		_ = c.rpc.Call(heartbeatService+".Ping", args, &PingReply{})
	}()
}
