package entry

import "time"

// idleLimitFactor is how many times the idle limit a connection may be idle before
// it is closed. The limit permits a close but does not require one, and callers of
// the users' platform reuse connections after 20 s under a limit of 15 s (see the
// question in docs/PLATFORM.md).
const idleLimitFactor = 2

// formerLimit is a longer limit that callers may still rely on.
type formerLimit struct {
	limit time.Duration
	until time.Time
}

// setLimit changes the limit. A caller whose connection became idle under a longer
// limit may rely on that limit until it has passed.
func (c *callerConns) setLimit(limit time.Duration) {
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
func (c *callerConns) closeExpired(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.longestLimit(now)
	if limit <= 0 {
		return 0
	}
	closed := 0
	for conn, since := range c.idleSince {
		if now.Sub(since) > idleLimitFactor*limit && conn.closeIdle(now) {
			delete(c.idleSince, conn)
			closed++
		}
	}
	return closed
}

// longestLimit returns the longest limit that a caller of the router may still
// rely on. c.mu must be held.
func (c *callerConns) longestLimit(now time.Time) time.Duration {
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
