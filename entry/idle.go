package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than the
// configuration allows. net/http has one limit for all of a server's life. All
// methods may be called concurrently.
type idleConns struct {
	mu       sync.Mutex
	since    map[net.Conn]time.Time
	limit    time.Duration // 0 means none
	previous time.Duration // longer limit that callers may still rely on
	changed  time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{since: make(map[net.Conn]time.Time)}
}

// note implements http.Server.ConnState.
func (c *idleConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// setLimit changes the limit. A caller that became idle under a longer one may
// count on it until then.
func (c *idleConns) setLimit(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit == c.limit {
		return
	}
	c.previous, c.limit, c.changed = c.limit, limit, time.Now()
}

// closeExpired closes the connections that are idle for too long.
func (c *idleConns) closeExpired(now time.Time) {
	for _, conn := range c.expired(now) {
		_ = conn.Close() // its caller is not there to be told
	}
}

func (c *idleConns) expired(now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit
	if now.Sub(c.changed) < c.previous {
		limit = max(limit, c.previous)
	}
	if limit <= 0 {
		return nil
	}
	var out []net.Conn
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			out = append(out, conn)
			delete(c.since, conn)
		}
	}
	return out
}
