package gossip

import (
	"context"
	"time"

	"dandelionrill.example/fleet/link"
	"github.com/apex/log"
)

// behind returns the kinds of which the peer has held newer content for some
// time.
func (m *Mesh) behind(address string, r *Report) []int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil {
		return nil
	}
	var kinds []int
	for kind, f := range m.opts.Feeds[:min(len(m.opts.Feeds), len(r.Stamps))] {
		if !f.Confirm(r.Stamps[kind]) {
			delete(p.behind, kind)
			continue
		}
		since, known := p.behind[kind]
		if !known {
			p.behind[kind] = now
		}
		if !m.Watcher() || f.Stamp().Revision == 0 || known && now.Sub(since) >= behindFor {
			kinds = append(kinds, kind)
			delete(p.behind, kind)
		}
	}
	return kinds
}

// catchUp brings a kind up to date: by the peer's changes if they are small, else
// from the store, and by the peer's whole content if the store does not answer
// soon. Only one call at a time does so for a kind.
func (m *Mesh) catchUp(ctx context.Context, client *link.Client, kind int) {
	if !m.catching[kind].CompareAndSwap(false, true) {
		return
	}
	defer m.catching[kind].Store(false)
	f := m.opts.Feeds[kind]
	if m.fetchChanges(ctx, client, kind) {
		return
	}
	if f.Lost() {
		m.fetch(ctx, client, kind)
		return
	}
	done := make(chan error, 1)
	go func() { done <- f.Refresh(ctx) }()
	timer := time.NewTimer(storeFirst)
	defer timer.Stop()
	select {
	case err := <-done:
		if err == nil {
			return
		}
	case <-timer.C:
	}
	m.fetch(ctx, client, kind)
}

// fetchChanges takes the changes of a kind from a peer, and returns whether the
// content is up to date by them.
func (m *Mesh) fetchChanges(ctx context.Context, client *link.Client, kind int) bool {
	f := m.opts.Feeds[kind]
	from := f.Stamp().Revision
	if from == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Changes
	err := client.Call(ctx, service+".Changes", &ChangesArgs{Kind: kind, After: from}, &reply)
	if err != nil || !reply.Known {
		return false // the store or the whole content will do
	}
	if f.AdoptChanges(from, reply.Changes, reply.At, reply.Stamp) {
		m.opts.Log.WithFields(log.Fields{
			"peer": client.Address(), "kind": f.Kind(), "revision": reply.At, "changes": len(reply.Changes),
			"age_ms": reply.Stamp.Age.Milliseconds(),
		}).Info("changes adopted from another router")
	}
	return true
}

// fetch takes the content of a kind from a peer.
func (m *Mesh) fetch(ctx context.Context, client *link.Client, kind int) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f := m.opts.Feeds[kind]
	fields := log.Fields{"peer": client.Address(), "kind": f.Kind()}
	var content Content
	if err := client.Call(ctx, service+".Fetch", &FetchArgs{Kind: kind}, &content); err != nil {
		m.opts.Log.WithError(err).WithFields(fields).Warn("cannot fetch newer content")
		return
	}
	if f.Adopt(content.Snapshot, content.Stamp) {
		fields["revision"], fields["age_ms"] = content.Snapshot.Revision, content.Stamp.Age.Milliseconds()
		m.opts.Log.WithFields(fields).Info("newer content adopted from another router")
	}
}
