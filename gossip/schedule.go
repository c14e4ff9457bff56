package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/place"
)

// SetSeeds changes the seeds. They take effect at the next call of SetPeers.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetPeers sets the registered routers. If there is at most one, the seeds are used as
// well.
func (m *Mesh) SetPeers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = m.listed || members != nil
	wanted := make(map[string]string, len(members)) // failure domain by address
	if len(members) <= 1 {
		for _, address := range m.seeds {
			wanted[address] = ""
		}
	}
	for _, member := range members {
		wanted[member.Address] = member.FailureDomain
	}
	// Before this router is registered, the others do not know it, and it has no role.
	m.coldMembers.set(slices.Collect(maps.Keys(wanted)), time.Now())
	delete(wanted, m.opts.Address)
	m.setCovered(slices.Collect(maps.Keys(wanted)))
	for address := range m.peers {
		if _, ok := wanted[address]; !ok {
			delete(m.peers, address)
			m.clients.Remove(address)
			m.forgetOwner(address)
		}
	}
	for address, domain := range wanted {
		if m.peers[address] == nil {
			m.peers[address] = &peer{address: address, key: place.Key(address), behind: make(map[int]time.Time)}
		}
		m.peers[address].domain = domain
	}
	m.topology = newTopology(m.opts.FailureDomain, m.peers)
	m.markPartners(m.role, time.Now())
}

// Run calls the peers at regular intervals, and to announce newer content, until
// ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(callSpacing)
	defer ticker.Stop()
	defer m.clients.Close()
	lastAnnounced := time.Now()
	for {
		announcements := m.announcements
		if time.Since(lastAnnounced) < announceInterval {
			announcements = nil // at the earliest after the next tick
		}
		select {
		case <-ctx.Done():
			return
		case <-announcements:
			m.announceToPeers(ctx)
			lastAnnounced = time.Now()
		case <-ticker.C:
			m.tick(ctx)
		}
	}
}

// tick does the regular work of a mesh, and begins the call that is due.
func (m *Mesh) tick(ctx context.Context) {
	defer m.recoverPanic("mesh", "")
	m.updateRole()
	if m.allConsulted() {
		m.introduce()
	}
	m.opts.Board.ExpirePeerReports()
	if m.currentRole().speaker {
		m.opts.Board.SampleDomain(m.opts.FailureDomain)
	}
	if call, ok := m.nextDue(); ok {
		go m.exchange(ctx, call)
	}
}

// Introduced returns a channel that is closed when this router has heard, once, what others
// remember of the store's last return from a copy: a router with a configuration in force
// has answered a call, or no such router can be reached. In a small fleet routers that have
// no configuration in force yet count as well, since all others are called too.
func (m *Mesh) Introduced() <-chan struct{} { return m.introduced }

func (m *Mesh) introduce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isIntroduced {
		m.isIntroduced = true
		close(m.introduced)
	}
}

// allConsulted reports whether the registered routers are known and none is left to wait
// for.
func (m *Mesh) allConsulted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return false
	}
	for _, p := range m.peers {
		if p.partner && !p.consulted {
			return false
		}
	}
	return true
}

// Announce makes a watcher or a speaker call its peers soon, because it has newer
// content. It does nothing on other routers.
func (m *Mesh) Announce() {
	if !m.Watcher() && !m.currentRole().speaker {
		return
	}
	select {
	case m.announcements <- struct{}{}:
	default: // an announcement is already pending
	}
}

// AnnounceNews makes this router call its peers soon, because it knows of new crashes of
// upstreams, or of limits that have begun or ended.
func (m *Mesh) AnnounceNews() {
	m.news.Store(true)
	select {
	case m.announcements <- struct{}{}:
	default: // an announcement is already pending
	}
}

// announceToPeers calls peers that answered the last call, announceSpacing apart: the
// partners in a small fleet or in this failure domain, maxAnnouncePeers of them at most,
// and the partners in other domains if this router is a watcher or has other news.
func (m *Mesh) announceToPeers(ctx context.Context) {
	crossing := m.news.Swap(false) || m.Watcher()
	m.mu.Lock()
	marked := 0
	for _, p := range m.peers { // in random order
		if !p.partner || p.unresponsive || marked >= maxAnnouncePeers || m.crossesDomains(p) && !crossing {
			continue
		}
		p.due = time.Time{}
		marked++
	}
	m.mu.Unlock()
	for ctx.Err() == nil {
		call, ok := m.nextToAnnounce()
		if !ok {
			return
		}
		go m.exchange(ctx, call)
		time.Sleep(announceSpacing)
	}
}

// dueCall is a call that is to be made now.
type dueCall struct {
	address         string
	placementsAfter uint64
	streamsAfter    uint64
	streamsOf       uint64
	asksAll         bool // for all records of streams
	crossesDomains  bool // the reports are those of failure domains
}

// nextToAnnounce returns a call that the current announcement has yet to make, and
// marks its peer as being called.
func (m *Mesh) nextToAnnounce() (dueCall, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.calling && p.due.IsZero() && p.partner && !p.unresponsive {
			return m.beginCall(p, time.Now()), true
		}
	}
	return dueCall{}, false
}

// beginCall marks the peer as being called and sets when its next call is due.
// m.mu must be held.
func (m *Mesh) beginCall(p *peer, now time.Time) dueCall {
	p.calling = true
	interval := m.callInterval(p)
	p.due = now.Add(interval*3/4 + rand.N(interval/2))
	c := dueCall{
		address: p.address, placementsAfter: p.placementsAfter, streamsAfter: p.streamsAfter, streamsOf: p.streamsOf,
		crossesDomains: m.crossesDomains(p),
	}
	if m.topology.flat && now.Sub(p.askedAll) >= askAllInterval && !m.completeExcept("") {
		c.asksAll, p.askedAll = true, now
	}
	return c
}

// Watcher reports whether this router is one of those that watch the store
// continuously.
func (m *Mesh) Watcher() bool { return m.isWatcher.Load() }

func (m *Mesh) currentRole() role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role
}

// nextDue returns the call that has been due for longest, and marks its peer as being
// called.
func (m *Mesh) nextDue() (dueCall, bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen *peer
	for _, p := range m.peers {
		if p.partner && !p.calling && !p.due.After(now) && (chosen == nil || p.due.Before(chosen.due)) {
			chosen = p
		}
	}
	if chosen == nil {
		return dueCall{}, false
	}
	return m.beginCall(chosen, now), true
}
