package link

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout closes a connection whose sent bytes stay unacknowledged.
func setUserTimeout(c *net.TCPConn, timeout time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// A failure leaves the system's default; heartbeats still guard the connection.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}
