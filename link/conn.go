package link

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// writeChunkBytes is the largest write passed to the kernel. Larger messages are
// split, so that their progress is visible.
const writeChunkBytes = 64 << 10

// keepAlive configures the TCP keep-alive probes that detect a dead peer on an
// idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// trackedConn is a connection that records when bytes were last transferred and
// sets a deadline for each read and write. Read and Write may run concurrently,
// each in one goroutine.
type trackedConn struct {
	net.Conn
	start        time.Time
	activity     atomic.Int64 // nanoseconds from start to the last read, or progress of a large write
	readTimeout  time.Duration
	writeTimeout time.Duration
	ended        func(reset bool) // called when the peer has closed or reset the connection; may be nil
}

func newTrackedConn(c net.Conn, readTimeout, writeTimeout time.Duration) *trackedConn {
	if tcp, ok := c.(*net.TCPConn); ok {
		tuneTCP(tcp, writeTimeout)
	}
	return &trackedConn{Conn: c, start: time.Now(), readTimeout: readTimeout, writeTimeout: writeTimeout}
}

func tuneTCP(c *net.TCPConn, timeout time.Duration) {
	// If a call fails, the system's defaults remain; heartbeats still detect a
	// silent connection.
	_ = c.SetKeepAliveConfig(keepAlive)
	_ = c.SetWriteBuffer(4 * writeChunkBytes)
	setUserTimeout(c, timeout)
}

func (c *trackedConn) now() time.Duration { return time.Since(c.start) }

func (c *trackedConn) recordActivity() { c.activity.Store(int64(c.now())) }

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
		c.recordActivity()
		counters.Add(countBytesRead, int64(n))
	}
	if reset := errors.Is(err, syscall.ECONNRESET); c.ended != nil && (reset || err == io.EOF) {
		c.ended(reset)
	}
	return n, err
}

// Write implements net.Conn. Chunks after the first count as activity, because
// the kernel accepted them after the peer had acknowledged earlier ones.
func (c *trackedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		if written > 0 && n > 0 {
			c.recordActivity()
		}
		written += n
		if err != nil {
			if c.ended != nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
				c.ended(true)
			}
			return written, err
		}
	}
	counters.Add(countBytesWritten, int64(written))
	return written, nil
}
