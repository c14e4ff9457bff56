package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/decide/place"
	"github.com/apex/log"
)

// SetSeeds changes the seeds. They take effect at the next call of SetPeers.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetPeers sets the addresses of the registered routers. If there is at most one
// address, the seeds are used as well.
func (m *Mesh) SetPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(addresses) <= 1 {
		addresses = append(append([]string(nil), addresses...), m.seeds...)
	}
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = a != m.opts.Address
	}
	for address := range m.peers {
		if !wanted[address] {
			delete(m.peers, address)
			m.clients.Remove(address)
		}
	}
	for address, isPeer := range wanted {
		if isPeer && m.peers[address] == nil {
			m.peers[address] = &peer{behind: make(map[int]time.Time)}
		}
	}
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
			m.updateWatcher()
			m.opts.Board.ExpirePeerReports()
			if address, after, ok := m.nextDue(); ok {
				go m.exchange(ctx, address, after)
			}
		}
	}
}

// Announce makes a watcher call its peers soon, because it has newer content. It
// does nothing on other routers.
func (m *Mesh) Announce() {
	if !m.Watcher() {
		return
	}
	select {
	case m.announcements <- struct{}{}:
	default: // an announcement is already pending
	}
}

// announceToPeers calls peers that answered the last call, announceSpacing apart:
// all of them in a small fleet, maxAnnouncePeers of them in a large one.
func (m *Mesh) announceToPeers(ctx context.Context) {
	m.mu.Lock()
	marked := 0
	for _, p := range m.peers { // in random order
		if !p.unresponsive && marked < maxAnnouncePeers {
			p.due = time.Time{}
			marked++
		}
	}
	m.mu.Unlock()
	for ctx.Err() == nil {
		address, after, ok := m.nextToAnnounce()
		if !ok {
			return
		}
		go m.exchange(ctx, address, after)
		time.Sleep(announceSpacing)
	}
}

// nextToAnnounce returns a peer that the current announcement has yet to reach,
// and marks it as being called.
func (m *Mesh) nextToAnnounce() (address string, placementsAfter uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, p := range m.peers {
		if !p.calling && p.due.IsZero() && !p.unresponsive {
			p.beginCall(time.Now(), len(m.peers))
			return a, p.placementsAfter, true
		}
	}
	return "", 0, false
}

// beginCall marks the peer as being called and sets when its next call is due, in
// a mesh with that many peers. The mutex of the mesh must be held.
func (p *peer) beginCall(now time.Time, peers int) {
	p.calling = true
	interval := max(minInterval, time.Duration(peers)*callSpacing)
	p.due = now.Add(interval*3/4 + rand.N(interval/2))
}

// Watcher reports whether this router is one of those that watch the store
// continuously. These are the first few in an order that is the same at all
// routers; routers that do not answer are skipped.
func (m *Mesh) Watcher() bool { return m.isWatcher.Load() }

// updateWatcher updates whether this router is a watcher.
func (m *Mesh) updateWatcher() {
	own := place.Key(m.opts.Address)
	before := 0
	m.mu.Lock()
	for address, p := range m.peers {
		if key := place.Key(address); !p.unresponsive && key < own {
			before++
		}
	}
	m.mu.Unlock()
	if isWatcher := before < maxWatchers; m.isWatcher.Swap(isWatcher) != isWatcher {
		m.opts.Log.WithFields(log.Fields{"watcher": isWatcher, "before": before}).Info("watch of the store changed")
	}
}

// nextDue returns the peer whose call has been due for longest, and marks it as
// being called.
func (m *Mesh) nextDue() (address string, placementsAfter uint64, ok bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen *peer
	for a, p := range m.peers {
		if !p.calling && !p.due.After(now) && (chosen == nil || p.due.Before(chosen.due)) {
			chosen, address = p, a
		}
	}
	if chosen == nil {
		return "", 0, false
	}
	chosen.beginCall(now, len(m.peers))
	return address, chosen.placementsAfter, true
}
