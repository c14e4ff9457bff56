// Package connlimit limits the connections of an HTTP server. At the limit, the connection
// that has waited for a request for longest is closed for a new one.
package connlimit

import (
	"container/list"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// descriptorShare is the share of the process's file descriptors that connections may take.
const descriptorShare = 0.75

// Limiter limits the connections of one server. Its methods may be called concurrently.
type Limiter struct {
	limit    int
	makeRoom func() bool

	mu      sync.Mutex
	conns   map[net.Conn]*list.Element // nil while a request is in progress
	waiting list.List                  // connections without a complete request header, the longest first
}

// New returns a limiter for at most limit connections, and at most three quarters of the
// process's file descriptors. If all connections have a request in progress, makeRoom is
// called to end one of them; it reports whether it does. It may be nil.
func New(limit int, makeRoom func() bool) *Limiter {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < math.MaxInt32 {
		limit = min(limit, max(1, int(descriptorShare*float64(files.Cur))))
	}
	if makeRoom == nil {
		makeRoom = func() bool { return false }
	}
	return &Limiter{limit: limit, makeRoom: makeRoom, conns: make(map[net.Conn]*list.Element)}
}

// ConnState is the ConnState of the http.Server.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.add(conn)
	case http.StateActive:
		l.setWaiting(conn, false)
	case http.StateIdle:
		l.setWaiting(conn, true)
	case http.StateHijacked, http.StateClosed:
		l.remove(conn)
	}
}

// add adds a new connection. At the limit it closes another one, or this one.
func (l *Limiter) add(conn net.Conn) {
	closing, isOver := l.insert(conn)
	if isOver && closing == nil && !l.makeRoom() {
		l.remove(conn)
		closing = conn
	}
	if closing != nil {
		closeNow(closing)
	}
}

// insert adds conn, and removes the connection that has waited longest if there are too many.
func (l *Limiter) insert(conn net.Conn) (removed net.Conn, isOver bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isOver = len(l.conns) >= l.limit
	if front := l.waiting.Front(); isOver && front != nil {
		removed = l.waiting.Remove(front).(net.Conn)
		delete(l.conns, removed)
	}
	l.conns[conn] = l.waiting.PushBack(conn)
	return removed, isOver
}

func (l *Limiter) setWaiting(conn net.Conn, isWaiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, known := l.conns[conn]
	if !known {
		return
	}
	if element != nil {
		l.waiting.Remove(element)
	}
	l.conns[conn] = nil
	if isWaiting {
		l.conns[conn] = l.waiting.PushBack(conn)
	}
}

func (l *Limiter) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.conns[conn]; element != nil {
		l.waiting.Remove(element)
	}
	delete(l.conns, conn)
}

// closeNow closes a connection without waiting for its peer.
func closeNow(conn net.Conn) {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	_ = conn.Close()
}
