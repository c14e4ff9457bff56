package link

import (
	"net"
	"sync/atomic"
	"time"
)

// writeChunk is the most that one write hands to the kernel, so that progress
// of a large message is seen.
const writeChunk = 64 << 10

// keepAlive finds a dead peer of an idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// trackedConn is a connection that records when bytes last moved and bounds
// each read and write. Read and Write may run at the same time, each in one
// goroutine.
type trackedConn struct {
	net.Conn
	start        time.Time
	activity     atomic.Int64 // since start, ns: the last byte read, or progress of a large write
	readTimeout  time.Duration
	writeTimeout time.Duration
}

func newTrackedConn(c net.Conn, readTimeout, writeTimeout time.Duration) *trackedConn {
	if tcp, ok := c.(*net.TCPConn); ok {
		tuneTCP(tcp, writeTimeout)
	}
	return &trackedConn{Conn: c, start: time.Now(), readTimeout: readTimeout, writeTimeout: writeTimeout}
}

func tuneTCP(c *net.TCPConn, timeout time.Duration) {
	// A failure leaves the system's defaults; heartbeats still guard the connection.
	_ = c.SetKeepAliveConfig(keepAlive)
	_ = c.SetWriteBuffer(4 * writeChunk)
	setUserTimeout(c, timeout)
}

func (c *trackedConn) now() time.Duration { return time.Since(c.start) }

func (c *trackedConn) touch() { c.activity.Store(int64(c.now())) }

func (c *trackedConn) lastActivity() time.Duration { return time.Duration(c.activity.Load()) }

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
		counters.Add(countBytesRead, int64(n))
	}
	return n, err
}

// Write implements net.Conn. Chunks after the first count as activity: the
// kernel took them because the peer acknowledged earlier ones.
func (c *trackedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunk, len(p))])
		if written > 0 && n > 0 {
			c.touch()
		}
		written += n
		if err != nil {
			return written, err
		}
	}
	counters.Add(countBytesWritten, int64(written))
	return written, nil
}
