// Package peers carries the messages by which the processes of the fleet keep
// each other's configuration up to date.
package peers

import (
	"context"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"
)

// ReceiverName is the name under which every process registers its Receiver.
const ReceiverName = "Peer"

// Meta describes the sending process for a message.
type Meta func() wire.Meta

// Receiver answers the configuration messages of peers. Its methods follow the
// contract of net/rpc and may be called concurrently.
type Receiver struct {
	controller *configuration.Controller
	meta       Meta
}

// NewReceiver returns the receiver of a process.
func NewReceiver(c *configuration.Controller, meta Meta) *Receiver {
	return &Receiver{controller: c, meta: meta}
}

// Hello exchanges versions.
func (r *Receiver) Hello(args wire.HelloArgs, reply *wire.HelloReply) error {
	reply.Confirmed = r.controller.ServeHello(args)
	reply.Leaving = r.controller.Leaving()
	reply.Meta = r.meta()
	return nil
}

// Fetch gives a peer a later version.
func (r *Receiver) Fetch(args wire.ConfigArgs, reply *wire.ConfigReply) error {
	answer, err := r.controller.ServeFetch(args)
	if err != nil {
		return err
	}
	*reply = answer
	reply.Meta = r.meta()
	return nil
}

// Offer takes a version that a peer brings.
func (r *Receiver) Offer(args wire.OfferArgs, reply *wire.OfferReply) error {
	*reply = r.controller.ServeOffer(args)
	reply.Meta = r.meta()
	return nil
}

// Links finds peers by the host list. It implements configuration.Peers and
// may be used concurrently.
type Links struct {
	board *board.Board
	pool  *link.Pool
	meta  Meta
}

// NewLinks returns the links of a process.
func NewLinks(b *board.Board, pool *link.Pool, meta Meta) *Links {
	return &Links{board: b, pool: pool, meta: meta}
}

// Peer returns the link to a host. A host that is not in the list is taken as
// an address, for the first peers of a starting process.
func (l *Links) Peer(host string) (configuration.Peer, error) {
	address := host
	if view, ok := l.board.Host(host); ok {
		address = view.Address
	}
	client, err := l.pool.Client(address)
	if err != nil {
		return nil, errors.Wrapf(err, "peers: host %s", host)
	}
	return &connection{client: client, meta: l.meta}, nil
}

// connection is a link to one peer.
type connection struct {
	client *link.Client
	meta   Meta
}

func (c *connection) Hello(ctx context.Context, args wire.HelloArgs) (reply wire.HelloReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Hello", &args, &reply)
	return reply, err
}

func (c *connection) FetchConfig(ctx context.Context, args wire.ConfigArgs) (reply wire.ConfigReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Fetch", &args, &reply)
	return reply, err
}

func (c *connection) OfferConfig(ctx context.Context, args wire.OfferArgs) (reply wire.OfferReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Offer", &args, &reply)
	return reply, err
}
