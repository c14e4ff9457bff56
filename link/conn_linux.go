package link

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close the connection when sent bytes stay
// unacknowledged for timeout.
func setUserTimeout(c *net.TCPConn, timeout time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// If the call fails, the system's default remains; heartbeats still detect a
	// silent connection.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}
