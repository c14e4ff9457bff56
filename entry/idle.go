package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
)

// idleLimitFactor is how many times the idle limit a connection may be idle before
// it is closed. The limit permits a close but does not require one, and callers of
// the users' platform reuse connections after 20 s under a limit of 15 s (see the
// question in docs/PLATFORM.md).
const idleLimitFactor = 2

// idleConns closes callers' connections that have been idle for longer than the
// configuration allows. It is needed because net/http has one fixed limit for the
// lifetime of a server. All methods may be called concurrently.
type idleConns struct {
	mu           sync.Mutex
	idleSince    map[net.Conn]time.Time // when each connection without a request became idle
	limit        time.Duration          // current limit; 0 means none
	formerLimits []formerLimit
}

// formerLimit is a longer limit that callers may still rely on.
type formerLimit struct {
	limit time.Duration
	until time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: make(map[net.Conn]time.Time)}
}

// trackState is the http.Server.ConnState hook.
func (c *idleConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// setLimit changes the limit. A caller whose connection became idle under a longer
// limit may rely on that limit until it has passed.
func (c *idleConns) setLimit(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit == c.limit {
		return
	}
	if c.limit > limit {
		c.formerLimits = append(c.formerLimits, formerLimit{limit: c.limit, until: time.Now().Add(c.limit)})
	}
	c.limit = limit
}

// closeExpired closes the connections that have been idle for too long, and
// returns their number.
func (c *idleConns) closeExpired(now time.Time) int {
	expired := c.takeExpired(now)
	for _, conn := range expired {
		_ = conn.Close() // the connection is idle, so an error affects no request
	}
	return len(expired)
}

// takeExpired removes and returns the connections that have been idle for too
// long. A connection with unread bytes of a next request stays.
func (c *idleConns) takeExpired(now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.longestLimit(now)
	if limit <= 0 {
		return nil
	}
	var out []net.Conn
	for conn, since := range c.idleSince {
		if now.Sub(since) > idleLimitFactor*limit && !netdial.Readable(conn) {
			out = append(out, conn)
			delete(c.idleSince, conn)
		}
	}
	return out
}

// longestLimit returns the longest limit that a caller of the router may still
// rely on. c.mu must be held.
func (c *idleConns) longestLimit(now time.Time) time.Duration {
	limit := c.limit
	valid := c.formerLimits[:0]
	for _, f := range c.formerLimits {
		if now.Before(f.until) {
			limit = max(limit, f.limit)
			valid = append(valid, f)
		}
	}
	c.formerLimits = valid
	return limit
}
