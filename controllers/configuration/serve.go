package configuration

import (
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/wire"
)

// Leaving reports whether this process refuses new work.
func (c *Controller) Leaving() bool {
	return c.opts.Board.Drain().Value != board.DrainServing
}

// ServeHello handles the hello of a peer, which carries its version and its
// confirmation, and returns the age of the last confirmation. The hello of an
// operator has no sender.
func (c *Controller) ServeHello(args wire.HelloArgs) (confirmed time.Duration) {
	c.recordConfirmation(args.ConfigVersion, args.Confirmed)
	if args.From != "" {
		c.ObservePeerVersion(args.From, args.ConfigVersion)
	}
	return c.Confirmed()
}

// ServeFetch returns an update from the version of a peer to the newest one.
// The caller fills in Meta of the reply.
func (c *Controller) ServeFetch(args wire.ConfigArgs) (wire.ConfigReply, error) {
	update, err := c.updates.updateFrom(args.After)
	return wire.ConfigReply{ConfigUpdate: update}, err
}

// ServeOffer adopts the version that a peer offers, unless the peer has adopted
// a later version since it created the update. The peer may have been paused in
// between, and a newly started process must not begin with a version that the
// fleet has replaced.
//
// The caller fills in Meta of the reply after ServeOffer has returned, so that
// the reply contains the version that is in force then. The peer uses it to
// find out whether the update was applicable.
func (c *Controller) ServeOffer(args wire.OfferArgs) wire.OfferReply {
	if args.ConfigVersion <= args.Version {
		_ = c.adoptUpdate(args.ConfigUpdate, args.From)
	}
	return wire.OfferReply{}
}
