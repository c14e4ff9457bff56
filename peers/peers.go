// Package peers implements the net/rpc messages by which the processes of the
// fleet keep their configuration up to date.
package peers

import (
	"context"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"
)

// ReceiverName is the net/rpc service name under which every process registers
// its Receiver.
const ReceiverName = "Peer"

// Meta returns the description of this process that is sent in each message.
type Meta func() wire.Meta

// Receiver answers the configuration messages of peers. It is a net/rpc
// receiver, and its methods may be called concurrently.
type Receiver struct {
	controller *configuration.Controller
	meta       Meta
}

// NewReceiver returns a Receiver that passes messages to c.
func NewReceiver(c *configuration.Controller, meta Meta) *Receiver {
	return &Receiver{controller: c, meta: meta}
}

// Hello exchanges versions with a peer.
func (r *Receiver) Hello(args wire.HelloArgs, reply *wire.HelloReply) error {
	reply.Confirmed = r.controller.ServeHello(args)
	reply.Leaving = r.controller.Leaving()
	reply.Meta = r.meta()
	return nil
}

// Fetch returns an update to the newest version.
func (r *Receiver) Fetch(args wire.ConfigArgs, reply *wire.ConfigReply) error {
	answer, err := r.controller.ServeFetch(args)
	if err != nil {
		return err
	}
	*reply = answer
	reply.Meta = r.meta()
	return nil
}

// Offer handles the version that a peer offers.
func (r *Receiver) Offer(args wire.OfferArgs, reply *wire.OfferReply) error {
	*reply = r.controller.ServeOffer(args)
	reply.Meta = r.meta()
	return nil
}

// Links connects to peers by host name, using the addresses in the host list.
// It implements configuration.Peers. Its methods may be called concurrently.
type Links struct {
	board *board.Board
	pool  *link.Pool
	meta  Meta
}

// NewLinks returns a Links that finds addresses on b and connections in pool.
func NewLinks(b *board.Board, pool *link.Pool, meta Meta) *Links {
	return &Links{board: b, pool: pool, meta: meta}
}

// Peer returns a client for a host. A host that is not on the board is used as
// an address, because a starting process knows only the addresses of its first
// peers.
func (l *Links) Peer(host string) (configuration.Peer, error) {
	address := host
	if view, ok := l.board.Host(host); ok {
		address = view.Address
	}
	client, err := l.pool.Client(address)
	if err != nil {
		return nil, errors.Wrapf(err, "peers: host %s", host)
	}
	return &peerClient{client: client, meta: l.meta}, nil
}

// peerClient implements configuration.Peer over a connection to one peer.
type peerClient struct {
	client *link.Client
	meta   Meta
}

func (c *peerClient) Hello(ctx context.Context, args wire.HelloArgs) (reply wire.HelloReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Hello", &args, &reply)
	return reply, err
}

func (c *peerClient) FetchConfig(ctx context.Context, args wire.ConfigArgs) (reply wire.ConfigReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Fetch", &args, &reply)
	return reply, err
}

func (c *peerClient) OfferConfig(ctx context.Context, args wire.OfferArgs) (reply wire.OfferReply, err error) {
	args.Meta = c.meta()
	err = c.client.Call(ctx, ReceiverName+".Offer", &args, &reply)
	return reply, err
}
