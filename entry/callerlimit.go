package entry

import (
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

const (
	// callerSocketShare is the share of the process's sockets for callers. The rest is for
	// upstreams, other routers and the store.
	callerSocketShare = 2.0 / 3
	// ownBytes is the memory that the process needs without callers. callerShare of the rest, or
	// of leastRest of all if that is more, is for callers: connectionBytes for each connection,
	// request bodies, unfinished heads and large answers. connectionShare is the most that
	// connections may take.
	ownBytes        = 24 << 20
	leastRest       = 0.25
	callerShare     = 0.6
	connectionShare = 0.4
	connectionBytes = 48 << 10
	// maxCloseTries is how many connections are tried to make room for another one.
	maxCloseTries = 8
)

// restMemory returns the memory that the process does not need for itself, in bytes; 0 if its
// limit is unknown.
func restMemory(s *platform.Settings) float64 {
	return max(float64(s.MemoryBytes)-ownBytes, leastRest*float64(s.MemoryBytes))
}

// callerMemory returns the memory for callers, in bytes; 0 if the limit of the process is unknown.
func callerMemory(s *platform.Settings) int64 { return int64(callerShare * restMemory(s)) }

// maxCallers returns how many connections of callers may be open; 0 if there is no limit.
func maxCallers(s *platform.Settings) int {
	most := int(connectionShare * restMemory(s) / connectionBytes)
	if s.MaxSockets > 0 {
		sockets := max(1, int(callerSocketShare*float64(s.MaxSockets)))
		if most == 0 || sockets < most {
			most = sockets
		}
	}
	return most
}

// makeRoom reports whether another connection may be opened. At the limit it closes one that
// has sent nothing, or no whole head, without progress for longest, or else the one that has
// been idle for longest. If there is none, the request or answer without progress for longest
// gives way, for a later connection.
func (c *callerConns) makeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.most == 0 || len(c.open) < c.most {
		return true
	}
	tried := make(map[*callerConn]bool)
	for len(tried) < maxCloseTries {
		conn := c.leastUseful(now, tried)
		if conn == nil {
			break
		}
		if conn.closeStalled() {
			delete(c.open, conn)
			delete(c.idleSince, conn)
			c.closed++
			return true
		}
		tried[conn] = true
	}
	if c.memory != nil {
		c.memory.EvictStalled()
	}
	c.rejected++
	return false
}

// leastUseful returns the connection to close first, other than those tried; nil if there is
// none. c.mu must be held.
func (c *callerConns) leastUseful(now time.Time, tried map[*callerConn]bool) *callerConn {
	var stalled, idle *callerConn
	var stalledSince, idleSince time.Time
	for conn := range c.open {
		since, ok := conn.stalledSince()
		if !ok || tried[conn] {
			continue
		}
		if s, waits := c.idleSince[conn]; waits && !since.After(s) {
			if idle == nil || s.Before(idleSince) {
				idle, idleSince = conn, s
			}
			continue
		}
		if now.Sub(since) >= membudget.Grace && (stalled == nil || since.Before(stalledSince)) {
			stalled, stalledSince = conn, since
		}
	}
	if stalled != nil {
		return stalled
	}
	return idle
}

// counts returns the open connections of callers, the limit, and how many were closed to make
// room and rejected for want of it.
func (c *callerConns) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]int{"open": len(c.open), "limit": c.most, "closed": c.closed, "rejected": c.rejected}
}

// crowdQuietTime is the time without a caller that had to give way after which the limits
// count as kept again.
const crowdQuietTime = 10 * time.Second

// crowdState records whether callers exceed the limits on connections and memory, for the log.
type crowdState struct {
	total int64 // callers that had to give way so far
	last  time.Time
	begun bool
}

// update reports whether the state has changed. total is the number of callers that had to give
// way so far.
func (c *crowdState) update(now time.Time, total int64) (changed bool) {
	was := c.begun
	if total > c.total {
		c.total, c.last, c.begun = total, now, true
	} else if now.Sub(c.last) >= crowdQuietTime {
		c.begun = false
	}
	return c.begun != was
}

// logCrowd logs when callers begin to exceed the limits on connections and memory, and when
// they have ceased to.
func (h *Host) logCrowd(now time.Time) {
	counts, memory := h.callers.counts(), h.gateway.Memory()
	evicted, refused := memory.Evicted().Value(), memory.Refused().Value()
	if !h.crowd.update(now, int64(counts["closed"]+counts["rejected"])+evicted+refused) {
		return
	}
	entry := h.log.WithFields(log.Fields{
		"connections": counts["open"], "limit": counts["limit"], "closed": counts["closed"], "rejected": counts["rejected"],
		"memory_evicted": evicted, "memory_refused": refused,
	})
	if h.crowd.begun {
		entry.Warn("callers exceed the limits on connections or memory")
		return
	}
	entry.Info("callers keep the limits on connections and memory again")
}
