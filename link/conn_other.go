//go:build !linux

package link

import (
	"net"
	"time"
)

func setUserTimeout(*net.TCPConn, time.Duration) {}
