package configuration

import (
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/wire"
)

// Leaving tells whether this process takes no new work.
func (c *Controller) Leaving() bool {
	return c.opts.Board.Drain().Value != board.DrainServing
}

// ServeHello takes a peer's hello: its version and its confirmation. An
// operator's hello names no sender.
func (c *Controller) ServeHello(args wire.HelloArgs) (confirmed time.Duration) {
	c.noteConfirmed(args.ConfigVersion, args.Confirmed)
	if args.From != "" {
		c.Observe(args.From, args.ConfigVersion)
	}
	return c.Confirmed()
}

// ServeFetch answers a peer that asks for a later version. The caller fills in
// Meta of the reply.
func (c *Controller) ServeFetch(args wire.ConfigArgs) (wire.ConfigReply, error) {
	update, err := c.updates.after(args.After)
	return wire.ConfigReply{ConfigUpdate: update}, err
}

// ServeOffer takes a version that a peer brings, unless the peer itself has
// since adopted a later one: it may have been paused, and a process that starts
// anew must not begin with a version that others have left. The caller fills in Meta of the
// reply afterwards, so that it tells the version now in force; the peer sees
// from it whether the offer did fit.
func (c *Controller) ServeOffer(args wire.OfferArgs) wire.OfferReply {
	if args.ConfigVersion <= args.Version {
		_ = c.adoptUpdate(args.ConfigUpdate, args.From)
	}
	return wire.OfferReply{}
}
