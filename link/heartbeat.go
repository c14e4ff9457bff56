package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/internal/panics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// heartbeatService is the net/rpc service name under which every server answers
// heartbeats.
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

// connection is an open connection of a client. A monitor goroutine closes it
// when the peer becomes silent. Any byte from the peer counts as activity, so a
// peer that is sending a long message is not taken for a silent one.
type connection struct {
	rpc        *rpc.Client
	tracked    *trackedConn
	opts       ClientOptions
	done       chan struct{}
	writeQueue chan pendingCall

	mu               sync.Mutex
	waiting          int           // calls without a reply
	waitingChangedAt time.Duration // when waiting last rose from 0 or fell to 0
	cause            error         // why the connection was closed

	closed  atomic.Bool
	pinging atomic.Bool
	pings   uint64
}

func newConnection(opts ClientOptions, tracked *trackedConn, stream net.Conn) *connection {
	c := &connection{tracked: tracked, opts: opts, done: make(chan struct{}), writeQueue: make(chan pendingCall, writeQueueLength)}
	codec := clientCodec{newGobStream(&notifyingConn{Conn: stream, connection: c}, opts.MaxMessageBytes)}
	c.rpc = rpc.NewClientWithCodec(codec)
	go c.monitor()
	go c.writeCalls()
	return c
}

// writeQueueLength is the number of calls that may wait in writeQueue.
const writeQueueLength = 16

// pendingCall is a call that waits to be written.
type pendingCall struct {
	method string
	args   *outgoing
	reply  any
	done   chan *rpc.Call
}

// enqueue passes a call to writeCalls, unless ctx ends or the connection closes
// first.
func (c *connection) enqueue(ctx context.Context, call pendingCall) {
	select {
	case c.writeQueue <- call:
	case <-c.done:
	case <-ctx.Done():
	}
}

// writeCalls sends the queued calls one after another until the connection closes.
// With net/rpc alone, every caller would wait for the stream itself, and a
// deadline could not interrupt the wait.
func (c *connection) writeCalls() {
	defer c.closeOnPanic()
	for {
		select {
		case call := <-c.writeQueue:
			c.rpc.Go(call.method, call.args, call.reply, call.done)
		case <-c.done:
			return
		}
	}
}

// closeOnPanic ends a panic of the goroutine that defers it, and the calls on its connection.
func (c *connection) closeOnPanic() {
	if value := recover(); value != nil {
		panics.Report(log.Log, "link.connection", value, log.Fields{"peer": c.opts.Address})
		c.close(errPanicked)
	}
}

// errPanicked means that a panic ended a connection.
var errPanicked = errors.New("link: panic")

// notifyingConn marks the connection as closed when net/rpc or the codec closes
// it.
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

// close closes the connection and ends all waiting calls. It closes the
// connection below TLS, because closing the TLS connection could wait for a
// blocked write.
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

func (c *connection) beginCall() { c.addWaiting(1) }

func (c *connection) endCall() { c.addWaiting(-1) }

func (c *connection) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 || c.waiting+delta == 0 {
		c.waitingChangedAt = c.tracked.now()
	}
	c.waiting += delta
}

// monitor sends heartbeats while calls wait and no bytes arrive. It closes the
// connection after HeartbeatTimeout of silence with calls waiting, or after
// IdleTimeout without calls.
func (c *connection) monitor() {
	defer c.closeOnPanic()
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
			// This process was paused, so replies may be waiting in the kernel; that
			// is not silence of the peer.
			c.tracked.recordActivity()
		}
		last = now
		c.check(now)
	}
}

func (c *connection) check(now time.Duration) {
	c.mu.Lock()
	waiting, since := c.waiting, c.waitingChangedAt
	c.mu.Unlock()
	if waiting == 0 {
		if now-since > c.opts.IdleTimeout {
			counters.Add(countIdle, 1)
			c.close(ErrClosed)
		}
		return
	}
	silence := now - max(since, c.tracked.lastActivity())
	if silence > c.opts.HeartbeatTimeout {
		counters.Add(countSilent, 1)
		c.close(ErrSilent)
		return
	}
	// Half the interval, because the reply to the last heartbeat arrived shortly
	// after the last tick, so that the silence is a little less than the interval.
	if silence >= c.opts.HeartbeatInterval/2 {
		c.ping()
	}
}

// ping sends one heartbeat unless one is already in progress. The bytes of the
// reply count as activity; its content does not matter.
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
