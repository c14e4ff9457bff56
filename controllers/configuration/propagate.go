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

// maxDirectOfferBytes is the size of the largest update that is offered without
// first requesting the version that the peer runs. A larger one is not sent to a
// peer that may already have the version.
const maxDirectOfferBytes = 2 << 10

const (
	offerAttempts      = 8                      // maximum number of offers of one version to one peer
	offerRetryInterval = 200 * time.Millisecond // mean time between them
)

// agentExchangeIntervalFactor is the factor by which the interval between
// exchanges with one agent is longer than with one router.
const agentExchangeIntervalFactor = 2

// topology returns the peers that this router keeps up to date.
func (c *Controller) topology() *topology {
	return c.topologies.get(c.opts.Host, c.opts.FailureDomain, c.opts.Board)
}

// propagate offers each version to the peers once it is in force.
func (c *Controller) propagate(ctx context.Context) {
	propagatedVersion := uint64(0)
	for ctx.Err() == nil {
		changed := c.opts.Board.Changed()
		if v := c.opts.Board.ConfigVersion(); v > propagatedVersion {
			c.offerAll(ctx, v)
			propagatedVersion = v
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// offerAll starts an offer of the version in force to each peer. peerCallSlots
// limits the offers in progress. A peer whose offers all fail is brought up to
// date by the periodic exchanges.
func (c *Controller) offerAll(ctx context.Context, version uint64) {
	peers := c.topology()
	for _, host := range slices.Concat(peers.routers, peers.agents) {
		select {
		case <-ctx.Done():
			return
		case c.peerCallSlots <- struct{}{}:
		}
		c.peerCalls.Go(func() {
			defer func() { <-c.peerCallSlots }()
			c.offerWithRetry(ctx, host, version)
		})
	}
}

// offerWithRetry offers a newly adopted version to host until it has that
// version, at most offerAttempts times. It stops when a later version is in
// force, because that version is offered separately.
func (c *Controller) offerWithRetry(ctx context.Context, host string, version uint64) {
	for range offerAttempts {
		c.offerNewest(ctx, host)
		view, _ := c.opts.Board.Host(host)
		if view.ConfigVersion >= version || c.opts.Board.ConfigVersion() > version {
			return
		}
		if !schedule.Sleep(ctx, schedule.Jitter(offerRetryInterval, c.opts.Random())) {
			return
		}
	}
}

// offerNewest offers the newest version to host. If the version of the host is
// known and the delta from it is small, it is sent immediately. Otherwise
// offerNewest first requests the version of the host.
func (c *Controller) offerNewest(ctx context.Context, host string) {
	peer, err := c.opts.Peers.Peer(host)
	if err != nil {
		return
	}
	view, _ := c.opts.Board.Host(host)
	update, err := c.updates.updateFrom(view.ConfigVersion)
	if err == nil && update.Base != 0 && len(update.Encoded) <= maxDirectOfferBytes {
		c.offer(ctx, host, peer, view.ConfigVersion)
		return
	}
	if peerVersion, ok := c.hello(ctx, host, peer); ok && peerVersion < c.opts.Board.ConfigVersion() {
		c.offer(ctx, host, peer, peerVersion)
	}
}

// offer sends the newest version to a peer that is expected to run version. If
// the reply shows that the peer runs another version, it sends a second update
// that fits.
func (c *Controller) offer(ctx context.Context, host string, peer Peer, version uint64) {
	for range 2 {
		update, err := c.updates.updateFrom(version)
		if err != nil || len(update.Encoded) == 0 {
			return
		}
		reply, err := c.sendOffer(ctx, peer, update)
		if err != nil {
			return
		}
		c.recordPeerVersion(host, reply.Meta)
		if reply.ConfigVersion >= update.Version || reply.ConfigVersion == version {
			return
		}
		version = reply.ConfigVersion
	}
}

func (c *Controller) sendOffer(ctx context.Context, peer Peer, update wire.ConfigUpdate) (wire.OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	c.Offers.Add(1)
	c.OfferedBytes.Add(int64(len(update.Encoded)))
	return peer.OfferConfig(ctx, wire.OfferArgs{ConfigUpdate: update})
}

// recordPeerVersion records on the board the version that a peer reported.
func (c *Controller) recordPeerVersion(host string, meta wire.Meta) {
	c.opts.Board.ObservePeer(board.Evidence{
		Host: host, Kind: board.EvidenceReachable, Incarnation: meta.Incarnation, ConfigVersion: meta.ConfigVersion,
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
	c.recordHello(host, reply)
	return reply.ConfigVersion, true
}

// Probe requests from a host its incarnation and whether it is leaving, and
// records both on the board.
func (c *Controller) Probe(ctx context.Context, host string) {
	if c.opts.Peers == nil {
		return
	}
	if peer, err := c.opts.Peers.Peer(host); err == nil {
		_, _ = c.hello(ctx, host, peer)
	}
}

func (c *Controller) recordHello(host string, reply wire.HelloReply) {
	c.recordPeerVersion(host, reply.Meta)
	if reply.Leaving {
		c.opts.Board.ObservePeer(board.Evidence{Host: host, Kind: board.EvidenceLeaving, Incarnation: reply.Incarnation})
	}
	c.recordConfirmation(reply.ConfigVersion, reply.Confirmed)
}

// exchangeWithAll periodically compares versions with each peer until ctx is
// done.
func (c *Controller) exchangeWithAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c.exchangeLoop(ctx, c.opts.ExchangeInterval, func() []string { return c.topology().routers })
	})
	c.exchangeLoop(ctx, agentExchangeIntervalFactor*c.opts.ExchangeInterval, func() []string { return c.topology().agents })
}

// exchangeLoop exchanges with each peer once per interval. The exchanges are
// distributed over the interval.
func (c *Controller) exchangeLoop(ctx context.Context, interval time.Duration, peers func() []string) {
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

// startExchange compares versions with one peer in a new goroutine, so that a
// silent peer does not delay the exchanges with others. It skips the exchange
// if no slot is free.
func (c *Controller) startExchange(ctx context.Context, host string) {
	peer, err := c.opts.Peers.Peer(host)
	if err != nil {
		return
	}
	select {
	case c.peerCallSlots <- struct{}{}:
	default:
		return
	}
	c.peerCalls.Go(func() {
		defer func() { <-c.peerCallSlots }()
		c.Exchanges.Add(1)
		if version, ok := c.hello(ctx, host, peer); ok {
			c.ObservePeerVersion(host, version)
		}
	})
}
