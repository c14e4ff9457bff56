package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/cold"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
)

// coldSettleTime is how long a router must have a role for a cold upstream before it grants
// permits in that role. By then every router in touch knows the routers by which it has the
// role, and the one that had it before grants none any more.
const coldSettleTime = 2500 * time.Millisecond

// The permits for a cold upstream are granted by one router, its owner, and by a few standbys
// whose shares are small and fixed. Roles depend on which routers are registered alone, and
// not on which of them answer: two parts of a fleet that do not reach each other must not
// have an owner each.

// coldRole is what a router may grant for a cold upstream.
type coldRole uint8

const (
	coldNone coldRole = iota
	coldStandby
	coldOwner
)

// memberList is the addresses of the first routers of the common order, this one among
// them if it is.
type memberList struct {
	addresses []string
	until     time.Time // when it was replaced; zero if it is in force
}

// coldMembers is the lists of routers on which roles depend. Its methods may be called
// concurrently.
type coldMembers struct {
	mu      sync.Mutex
	started time.Time    // since when there has been a list
	lists   []memberList // that were in force within coldSettleTime, the newest last
}

// set replaces the list in force.
func (c *coldMembers) set(addresses []string, now time.Time) {
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(place.Key(a), place.Key(b)) })
	addresses = addresses[:min(len(addresses), maxOwners)]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started.IsZero() {
		c.started = now
	}
	if n := len(c.lists); n > 0 {
		if slices.Equal(c.lists[n-1].addresses, addresses) {
			return
		}
		c.lists[n-1].until = now
	}
	c.lists = append(slices.DeleteFunc(c.lists, func(l memberList) bool {
		return !l.until.IsZero() && now.Sub(l.until) > coldSettleTime
	}), memberList{addresses: addresses})
}

// ranking returns the owner of an upstream and its standbys, in order.
func ranking(upstream uint32, addresses []string) []string {
	left := slices.Clone(addresses)
	var out []string
	for range min(1+cold.Standbys, len(left)) {
		i := place.Owner(uint64(upstream), left)
		out = append(out, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return out
}

// owners returns the owner of an upstream and its standbys, in the order in which they are
// asked.
func (c *coldMembers) owners(upstream uint32) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lists) == 0 {
		return nil
	}
	return ranking(upstream, c.lists[len(c.lists)-1].addresses)
}

// role returns the role of a router that it has had for coldSettleTime at least.
func (c *coldMembers) role(upstream uint32, address string, now time.Time) coldRole {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lists) == 0 || now.Sub(c.started) < coldSettleTime {
		return coldNone
	}
	role := coldOwner
	for _, l := range c.lists {
		if !l.until.IsZero() && now.Sub(l.until) > coldSettleTime {
			continue
		}
		switch slices.Index(ranking(upstream, l.addresses), address) {
		case 0:
		case -1:
			return coldNone
		default:
			role = coldStandby
		}
	}
	return role
}

// ColdPermit asks the owner of a cold upstream, which takes perSecond requests a second, for
// a permit to send one request to it, and a standby if the owner does not answer. If there
// is none, wait is the time after which it may be asked for again. upstream is the short hash
// of its key.
func (m *Mesh) ColdPermit(ctx context.Context, upstream uint32, perSecond float64) (granted bool, wait time.Duration) {
	for _, owner := range m.coldMembers.owners(upstream) {
		if owner == m.opts.Address {
			return m.grantCold(upstream, perSecond)
		}
		if m.ownerIsDown(owner) {
			continue
		}
		reply, err := m.askOwner(ctx, owner, &PermitArgs{Upstream: upstream, Rate: perSecond, Cold: true})
		if err == nil {
			return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
		}
		if ctx.Err() != nil {
			break
		}
		m.markOwner(owner, true)
		m.opts.Log.WithError(err).WithField("peer", owner).Warn("router that owns the permits of a cold upstream does not answer")
	}
	return false, ownerRetryTime
}

// ownerIsDown reports whether a router did not answer a call for a permit, and checks it
// again from time to time.
func (m *Mesh) ownerIsDown(address string) bool {
	m.owners.mu.Lock()
	defer m.owners.mu.Unlock()
	if m.owners.down[address] {
		m.checkOwner(address)
	}
	return m.owners.down[address]
}

// grantCold grants a permit for a cold upstream by the share that this router's role gives
// it.
func (m *Mesh) grantCold(upstream uint32, perSecond float64) (granted bool, wait time.Duration) {
	if !(perSecond > 0 && perSecond < limit.MaxRate) {
		return false, ownerRetryTime
	}
	owner, standby := cold.Shares(perSecond, m.opts.ColdOverrun, m.opts.ColdTolerance)
	switch m.coldMembers.role(upstream, m.opts.Address, time.Now()) {
	case coldOwner:
		return m.coldPermits.Grant(upstream, owner)
	case coldStandby:
		return m.coldPermits.Grant(upstream, standby)
	}
	return false, ownerRetryTime
}

// applyCold takes over which upstreams are cold by the report of another router, and
// reports whether that is news.
func (m *Mesh) applyCold(reports []gateway.ColdReport) (news bool) {
	for _, report := range reports {
		if key, ok := m.opts.UpstreamKey(report.Upstream); ok && m.opts.MergeCold(key, report) {
			news = true
		}
	}
	return news
}
