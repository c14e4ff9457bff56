package configuration

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/wire"
)

// directOfferBytes is the largest update that is sent without asking first
// which version the peer runs.
const directOfferBytes = 2 << 10

const (
	offerAttempts = 8                      // offers of one version to one peer
	offerPause    = 200 * time.Millisecond // mean time between them
)

// agentExchangeFactor is how many times rarer exchanges with one agent are than
// with one router.
const agentExchangeFactor = 2

// topology returns whom this router keeps up to date.
func (c *Controller) topology() *topology {
	return c.cached.get(c.opts.Host, c.opts.FailureDomain, c.opts.Board)
}

// spread offers each version once it is in force.
func (c *Controller) spread(ctx context.Context) {
	spreadVersion := uint64(0)
	for ctx.Err() == nil {
		changed := c.opts.Board.Changed()
		if v := c.opts.Board.ConfigVersion(); v > spreadVersion {
			c.offerAll(ctx, v)
			spreadVersion = v
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// offerAll starts an offer of the version in force to each peer. Slots bound
// those under way; a peer whose offer fails is left to the exchanges.
func (c *Controller) offerAll(ctx context.Context, version uint64) {
	peers := c.topology()
	for _, host := range slices.Concat(peers.routers, peers.agents) {
		select {
		case <-ctx.Done():
			return
		case c.offering <- struct{}{}:
		}
		c.calls.Go(func() {
			defer func() { <-c.offering }()
			c.offerNew(ctx, host, version)
		})
	}
}

// offerNew offers a version that was just adopted, again if it fails, until a
// later one is in force, which has offers of its own.
func (c *Controller) offerNew(ctx context.Context, host string, version uint64) {
	for range offerAttempts {
		c.offerNewOnce(ctx, host)
		view, _ := c.opts.Board.Host(host)
		if view.ConfigVersion >= version || c.opts.Board.ConfigVersion() > version {
			return
		}
		if !schedule.Sleep(ctx, schedule.Jitter(offerPause, c.opts.Random())) {
			return
		}
	}
}

// offerNewOnce sends a small delta at once to a peer whose version is known,
// and asks first otherwise.
func (c *Controller) offerNewOnce(ctx context.Context, host string) {
	peer, err := c.opts.Peers.Peer(host)
	if err != nil {
		return
	}
	view, _ := c.opts.Board.Host(host)
	update, err := c.updates.after(view.ConfigVersion)
	if err == nil && update.Base != 0 && len(update.Encoded) <= directOfferBytes {
		c.offer(ctx, host, peer, view.ConfigVersion)
		return
	}
	if theirs, ok := c.hello(ctx, host, peer); ok && theirs < c.opts.Board.ConfigVersion() {
		c.offer(ctx, host, peer, theirs)
	}
}

// offer brings the newest version to a peer that runs version; a second call
// follows if the peer turns out to run another.
func (c *Controller) offer(ctx context.Context, host string, peer Peer, version uint64) {
	for range 2 {
		update, err := c.updates.after(version)
		if err != nil || len(update.Encoded) == 0 {
			return
		}
		reply, err := c.offerOnce(ctx, peer, update)
		if err != nil {
			return
		}
		c.notePeer(host, reply.Meta)
		if reply.ConfigVersion >= update.Version || reply.ConfigVersion == version {
			return
		}
		version = reply.ConfigVersion
	}
}

func (c *Controller) offerOnce(ctx context.Context, peer Peer, update wire.ConfigUpdate) (wire.OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	c.Offers.Add(1)
	c.OfferedBytes.Add(int64(len(update.Encoded)))
	return peer.OfferConfig(ctx, wire.OfferArgs{ConfigUpdate: update})
}

// notePeer writes the version that a peer reports to the board.
func (c *Controller) notePeer(host string, meta wire.Meta) {
	c.opts.Board.ObservePeer(board.Evidence{
		Host: host, Kind: board.EvidenceHeard, Incarnation: meta.Incarnation, ConfigVersion: meta.ConfigVersion,
	})
}

// hello exchanges versions and confirmations with a peer.
func (c *Controller) hello(ctx context.Context, host string, peer Peer) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	reply, err := peer.Hello(ctx, wire.HelloArgs{Confirmed: c.Confirmed()})
	if err != nil {
		return 0, false
	}
	c.noteHello(host, reply)
	return reply.ConfigVersion, true
}

// Probe asks a host for its incarnation and whether it is leaving, and writes
// both to the board.
func (c *Controller) Probe(ctx context.Context, host string) {
	if c.opts.Peers == nil {
		return
	}
	if peer, err := c.opts.Peers.Peer(host); err == nil {
		_, _ = c.hello(ctx, host, peer)
	}
}

func (c *Controller) noteHello(host string, reply wire.HelloReply) {
	c.notePeer(host, reply.Meta)
	if reply.Leaving {
		c.opts.Board.ObservePeer(board.Evidence{Host: host, Kind: board.EvidenceLeaving, Incarnation: reply.Incarnation})
	}
	c.noteConfirmed(reply.ConfigVersion, reply.Confirmed)
}

// exchange compares versions with each peer in turn, for ever.
func (c *Controller) exchange(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c.exchangeTurns(ctx, c.opts.ExchangeInterval, func() []string { return c.topology().routers })
	})
	c.exchangeTurns(ctx, agentExchangeFactor*c.opts.ExchangeInterval, func() []string { return c.topology().agents })
}

// exchangeTurns exchanges once with each peer per interval, spread over it.
func (c *Controller) exchangeTurns(ctx context.Context, interval time.Duration, peers func() []string) {
	for ctx.Err() == nil {
		hosts := peers()
		pause := interval / time.Duration(max(1, len(hosts)))
		if len(hosts) == 0 {
			schedule.Sleep(ctx, schedule.Jitter(pause, c.opts.Random()))
		}
		for _, host := range hosts {
			if !schedule.Sleep(ctx, schedule.Jitter(pause, c.opts.Random())) {
				return
			}
			c.startExchange(ctx, host)
		}
	}
}

// startExchange compares versions with one peer, in a goroutine of its own, so
// that a silent peer delays no other; it skips the turn if no slot is free.
func (c *Controller) startExchange(ctx context.Context, host string) {
	peer, err := c.opts.Peers.Peer(host)
	if err != nil {
		return
	}
	select {
	case c.offering <- struct{}{}:
	default:
		return
	}
	c.calls.Go(func() {
		defer func() { <-c.offering }()
		c.Exchanges.Add(1)
		if version, ok := c.hello(ctx, host, peer); ok {
			c.Observe(host, version)
		}
	})
}
