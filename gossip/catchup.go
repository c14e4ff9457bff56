package gossip

import (
	"context"
	"time"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
)

// kindsBehind returns the kinds that this router should catch up on with the
// peer. A watcher that has content leaves newer content of the peer to its own
// watch for watchGracePeriod.
func (m *Mesh) kindsBehind(address string, r *Report) []int {
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
		if !m.Watcher() || f.Stamp().Revision == 0 || known && now.Sub(since) >= watchGracePeriod {
			kinds = append(kinds, kind)
			delete(p.behind, kind)
		}
	}
	return kinds
}

// catchUp brings a kind up to date: with the peer's changes if they are small,
// otherwise from the store, and with the peer's whole content if the store is
// lost, fails, or does not answer within storeTimeout. Content of a new era of the
// store is fetched from the peer first, unless it is large. While one call is doing
// so for a kind, other calls for that kind return immediately.
func (m *Mesh) catchUp(ctx context.Context, client *link.Client, kind int) {
	if !m.catchingUp[kind].CompareAndSwap(false, true) {
		return
	}
	defer m.catchingUp[kind].Store(false)
	f := m.opts.Feeds[kind]
	if m.fetchChanges(ctx, client, kind) {
		return
	}
	if f.FromEarlierEra() && m.fetchContent(ctx, client, kind, maxPeerContentBytes) {
		return
	}
	if f.Lost() {
		m.fetchContent(ctx, client, kind, 0)
		return
	}
	done := make(chan error, 1)
	go func() {
		err := errPanicked
		defer func() { done <- err }()
		defer m.recoverPanic("refresh", client.Address())
		err = f.Refresh(ctx)
	}()
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		if err == nil {
			return
		}
	case <-timer.C:
	}
	m.fetchContent(ctx, client, kind, 0)
}

// fetchChanges fetches the changes of a kind from a peer and applies them. It
// returns false if the content has to be read in another way.
func (m *Mesh) fetchChanges(ctx context.Context, client *link.Client, kind int) bool {
	f := m.opts.Feeds[kind]
	stamp := f.Stamp()
	from := stamp.Position()
	if from.IsZero() || f.FromEarlierEra() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Changes
	err := client.Call(ctx, service+".Changes", &ChangesArgs{Kind: kind, Era: from.Era, After: from.Revision}, &reply)
	at := store.Position{Era: reply.Era, Revision: reply.At}
	if err != nil || !reply.Known || !at.IsValid() {
		return false // read from the store, or fetch the peer's whole content
	}
	sanitizeStamp(&reply.Stamp)
	if f.AdoptChanges(from, reply.Changes, at, reply.Stamp) {
		m.opts.Log.WithFields(log.Fields{
			"peer": client.Address(), "kind": f.Kind(), "era": reply.Era, "revision": reply.At, "changes": len(reply.Changes),
			"age_ms": reply.Stamp.Age.Milliseconds(),
		}).Info("changes adopted from another router")
	}
	return true
}

// fetchContent fetches the whole content of a kind from a peer and adopts it if
// it is newer. It reports whether the content was sent; one larger than maxBytes is
// not, where 0 means no limit.
func (m *Mesh) fetchContent(ctx context.Context, client *link.Client, kind, maxBytes int) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f := m.opts.Feeds[kind]
	fields := log.Fields{"peer": client.Address(), "kind": f.Kind()}
	var content Content
	if err := client.Call(ctx, service+".Fetch", &FetchArgs{Kind: kind, MaxBytes: maxBytes}, &content); err != nil {
		m.opts.Log.WithError(err).WithFields(fields).Warn("failed to fetch newer content from another router")
		return false
	}
	if content.TooLarge || !content.Snapshot.Position().IsValid() {
		return false
	}
	sanitizeStamp(&content.Stamp)
	if f.Adopt(content.Snapshot, content.Stamp) {
		fields["era"], fields["revision"] = content.Snapshot.Era, content.Snapshot.Revision
		fields["age_ms"] = content.Stamp.Age.Milliseconds()
		m.opts.Log.WithFields(fields).Info("newer content adopted from another router")
	}
	return true
}

// fetchHeld fetches the configuration that is in force at a peer and puts it in force.
func (m *Mesh) fetchHeld(ctx context.Context, client *link.Client) {
	if !m.fetchingHeld.CompareAndSwap(false, true) {
		return
	}
	defer m.fetchingHeld.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var held Held
	if err := client.Call(ctx, service+".Held", &HeldArgs{}, &held); err != nil {
		m.opts.Log.WithError(err).WithField("peer", client.Address()).Warn("failed to fetch the configuration in force at another router")
		return
	}
	m.opts.Held.Adopt(held.Records)
	m.opts.Log.WithFields(log.Fields{"peer": client.Address(), "config": m.opts.Held.Version()}).
		Info("configuration in force at another router adopted, since the store returned with an older one")
}
