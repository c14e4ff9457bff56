// Package netdial opens TCP connections on which the loss of the peer is detected
// within seconds, even if the peer lost power or its network path and sends
// nothing, not even a reset.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes on a connection without traffic.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer returns a dialer that applies timeout both to dialing and to sent data
// that the peer does not acknowledge.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, max(timeout, probeIdle+probeCount*probeInterval/2))
		},
	}
}

// setUserTimeout makes the kernel close the connection when sent data has not been
// acknowledged within timeout.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// Readable reports whether a connection has data to read, or has been closed or
// reset by its peer. It does not block, consumes nothing, and may be called
// while another goroutine waits in Read.
func Readable(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	readable := true
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		readable = err != unix.EAGAIN
	})
	return readable || err != nil
}
