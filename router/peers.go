package router

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	peerShards    = 16
	peerFreshness = 30 * time.Second
)

// peer is what an agent said of itself, as far as tickets need it.
type peer struct {
	incarnation string
	window      uint64
	at          time.Time
}

// peerCache remembers peers by address, in shards each under its own lock.
// The zero value is ready to use.
type peerCache struct {
	seedOnce sync.Once
	seed     maphash.Seed
	shards   [peerShards]peerShard
}

type peerShard struct {
	mu sync.Mutex
	m  map[string]peer
}

func (c *peerCache) shard(address string) *peerShard {
	c.seedOnce.Do(func() { c.seed = maphash.MakeSeed() })
	return &c.shards[maphash.String(c.seed, address)%peerShards]
}

func (c *peerCache) get(address string) (peer, bool) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.m[address]
	return p, ok && time.Since(p.at) < peerFreshness
}

func (c *peerCache) put(address string, p peer) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[string]peer)
	}
	s.m[address] = p
}

func (c *peerCache) forget(address string) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, address)
}

// known returns what the agent of c said lately, or asks it. It may have been
// replaced since: only for a ticket that this router sends itself, and draws
// anew when the agent does not take it.
func (r *Router) known(ctx context.Context, c place.Candidate) (peer, error) {
	if p, ok := r.peers.get(c.Address); ok {
		return p, nil
	}
	return r.hello(ctx, c)
}

// hello asks the agent of c for its incarnation and open ticket window.
func (r *Router) hello(ctx context.Context, c place.Candidate) (peer, error) {
	reply := new(wire.HelloReply)
	if err := r.call(ctx, c.Address, "Hello", &wire.HelloArgs{Meta: r.Meta()}, reply); err != nil {
		r.blame(c, err)
		return peer{}, err
	}
	r.observe(reply.Meta)
	r.credit(c, reply.Meta, reply.Load)
	if reply.Leaving {
		r.opts.Board.ObservePeer(evidence(c, board.EvidenceLeaving, reply.Meta))
	}
	p := peer{incarnation: reply.Incarnation, window: reply.Window, at: time.Now()}
	r.peers.put(c.Address, p)
	return p, nil
}

// draw returns a fresh ticket for q at the agent of c, which has described
// itself as p. digest may be empty.
func (r *Router) draw(q *request, c place.Candidate, p peer, digest string) ticket.Ticket {
	t := ticket.Ticket{
		Service:     q.service.ID,
		Host:        c.Host,
		Address:     c.Address,
		Incarnation: p.incarnation,
		Window:      p.window,
		Nonce:       randid.New(),
		Customer:    q.customer.ID,
		Digest:      digest,
	}
	r.record(timeline.KindTicketIssued, q, handle{host: c.Host, request: t.Nonce}, "")
	return t
}

func evidence(c place.Candidate, kind board.EvidenceKind, m wire.Meta) board.Evidence {
	return board.Evidence{
		Host:          c.Host,
		Address:       c.Address,
		Kind:          kind,
		Incarnation:   m.Incarnation,
		ConfigVersion: m.ConfigVersion,
	}
}
