package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
)

// idleFactor is how many times the limit a connection may be idle. The limit
// allows a close and does not ask for one, and callers of the users' platform
// were seen to reuse connections after 20 s under a limit of 15 s (a question
// in docs/PLATFORM.md).
const idleFactor = 2

// idleConns closes callers' connections that have been idle for longer than the
// configuration allows. net/http has one limit for all of a server's life. All
// methods may be called concurrently.
type idleConns struct {
	mu     sync.Mutex
	since  map[net.Conn]time.Time // connections without a request
	limit  time.Duration          // in force; 0 means none
	former []formerLimit
}

// formerLimit is a longer limit that callers may still rely on.
type formerLimit struct {
	limit time.Duration
	until time.Time
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
// count on it until it has passed.
func (c *idleConns) setLimit(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit == c.limit {
		return
	}
	if c.limit > limit {
		c.former = append(c.former, formerLimit{limit: c.limit, until: time.Now().Add(c.limit)})
	}
	c.limit = limit
}

// closeExpired closes the connections that have been idle for too long, and
// returns how many.
func (c *idleConns) closeExpired(now time.Time) int {
	expired := c.expired(now)
	for _, conn := range expired {
		_ = conn.Close() // its caller is not there to be told
	}
	return len(expired)
}

// expired takes the connections that have been idle for too long. One whose
// next request has arrived stays.
func (c *idleConns) expired(now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.longest(now)
	if limit <= 0 {
		return nil
	}
	var out []net.Conn
	for conn, since := range c.since {
		if now.Sub(since) > idleFactor*limit && !netdial.Unread(conn) {
			out = append(out, conn)
			delete(c.since, conn)
		}
	}
	return out
}

// longest returns the longest limit that a caller may rely on. c.mu is held.
func (c *idleConns) longest(now time.Time) time.Duration {
	limit := c.limit
	kept := c.former[:0]
	for _, f := range c.former {
		if now.Before(f.until) {
			limit = max(limit, f.limit)
			kept = append(kept, f)
		}
	}
	c.former = kept
	return limit
}
