package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/decide/place"
	"github.com/apex/log"
)

// SetSeeds changes the seeds for the next time that no router is registered.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetPeers sets the addresses of the registered routers. While there are none,
// the seeds stand in.
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
	for address, other := range wanted {
		if other && m.peers[address] == nil {
			m.peers[address] = &peer{behind: make(map[int]time.Time)}
		}
	}
}

// Run calls the peers in turn until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(callSpacing)
	defer ticker.Stop()
	defer m.clients.Close()
	told := time.Now()
	for {
		announced := m.announced
		if time.Since(told) < announcePause {
			announced = nil // until the next tick
		}
		select {
		case <-ctx.Done():
			return
		case <-announced:
			m.tellAll(ctx)
			told = time.Now()
		case <-ticker.C:
			m.rank()
			m.opts.Board.ExpirePeers()
			if address, after, ok := m.next(); ok {
				go m.exchange(ctx, address, after)
			}
		}
	}
}

// Announce makes a watcher tell all peers at once, after new content came.
func (m *Mesh) Announce() {
	if !m.Watcher() {
		return
	}
	select {
	case m.announced <- struct{}{}:
	default: // already under way
	}
}

// tellAll calls peers that answered last time, a moment apart: all of them in a
// small fleet, some in a large one.
func (m *Mesh) tellAll(ctx context.Context) {
	m.mu.Lock()
	told := 0
	for _, p := range m.peers { // in no order
		if !p.silent && told < announcePeers {
			p.due = time.Time{}
			told++
		}
	}
	m.mu.Unlock()
	for ctx.Err() == nil {
		address, after, ok := m.nextAnnounced()
		if !ok {
			return
		}
		go m.exchange(ctx, address, after)
		time.Sleep(announceSpacing)
	}
}

// nextAnnounced returns a peer that is still to be told.
func (m *Mesh) nextAnnounced() (address string, newsAfter uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, p := range m.peers {
		if !p.calling && p.due.IsZero() && !p.silent {
			p.begin(time.Now(), len(m.peers))
			return a, p.newsAfter, true
		}
	}
	return "", 0, false
}

// begin marks a call to the peer and sets when the next is due. The lock of the
// mesh is held.
func (p *peer) begin(now time.Time, peers int) {
	p.calling = true
	interval := max(minInterval, time.Duration(peers)*callSpacing)
	p.due = now.Add(interval*3/4 + rand.N(interval/2))
}

// Watcher tells whether this router is among those that watch the store all the
// time: the first few of an order that all routers agree on, silent ones left
// out.
func (m *Mesh) Watcher() bool { return m.watching.Load() }

// rank decides whether this router is a watcher.
func (m *Mesh) rank() {
	own := place.Key(m.opts.Address)
	before := 0
	m.mu.Lock()
	for address, p := range m.peers {
		if key := place.Key(address); !p.silent && key < own {
			before++
		}
	}
	m.mu.Unlock()
	if watching := before < watchers; m.watching.Swap(watching) != watching {
		m.opts.Log.WithFields(log.Fields{"watcher": watching, "before": before}).Info("watch of the store changed")
	}
}

// next returns the peer whose call has been due for longest.
func (m *Mesh) next() (address string, newsAfter uint64, ok bool) {
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
	chosen.begin(now, len(m.peers))
	return address, chosen.newsAfter, true
}
