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
	peerShards = 16
	peerTTL    = 30 * time.Second
)

// peerInfo is what an agent reported about itself, as far as tickets need it.
type peerInfo struct {
	incarnation string
	window      uint64
	fetchedAt   time.Time
}

// peerCache caches peerInfo by address, in shards with a lock each. The zero
// value is ready to use.
type peerCache struct {
	seedOnce sync.Once
	seed     maphash.Seed
	shards   [peerShards]peerShard
}

type peerShard struct {
	mu        sync.Mutex
	byAddress map[string]peerInfo
}

func (c *peerCache) shard(address string) *peerShard {
	c.seedOnce.Do(func() { c.seed = maphash.MakeSeed() })
	return &c.shards[maphash.String(c.seed, address)%peerShards]
}

func (c *peerCache) get(address string) (peerInfo, bool) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byAddress[address]
	return p, ok && time.Since(p.fetchedAt) < peerTTL
}

func (c *peerCache) put(address string, p peerInfo) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = make(map[string]peerInfo)
	}
	s.byAddress[address] = p
}

func (c *peerCache) remove(address string) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byAddress, address)
}

// cachedOrHello returns the cached information about the agent of c, or
// requests it. The agent may have been replaced since it was cached. Use it
// only for tickets that this router submits itself and reissues if the agent
// rejects them.
func (r *Router) cachedOrHello(ctx context.Context, c place.Candidate) (peerInfo, error) {
	if p, ok := r.peers.get(c.Address); ok {
		return p, nil
	}
	return r.hello(ctx, c)
}

// hello requests the incarnation and the open ticket window from the agent of
// c.
func (r *Router) hello(ctx context.Context, c place.Candidate) (peerInfo, error) {
	reply := new(wire.HelloReply)
	if err := r.call(ctx, c.Address, "Hello", &wire.HelloArgs{Meta: r.Meta()}, reply); err != nil {
		r.recordNoReply(c, err)
		return peerInfo{}, err
	}
	r.observeMeta(reply.Meta)
	r.recordAlive(c, reply.Meta, reply.Load)
	if reply.Leaving {
		r.opts.Board.ObservePeer(newEvidence(c, board.EvidenceLeaving, reply.Meta))
	}
	p := peerInfo{incarnation: reply.Incarnation, window: reply.Window, fetchedAt: time.Now()}
	r.peers.put(c.Address, p)
	return p, nil
}

// issueTicket returns a new ticket for q at the agent of c, whose incarnation
// and open window are in p. digest may be empty.
func (r *Router) issueTicket(q *request, c place.Candidate, p peerInfo, digest string) ticket.Ticket {
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
	r.recordEvent(timeline.KindTicketIssued, q, handle{host: c.Host, request: t.Nonce}, "")
	return t
}

func newEvidence(c place.Candidate, kind board.EvidenceKind, m wire.Meta) board.Evidence {
	return board.Evidence{
		Host:          c.Host,
		Address:       c.Address,
		Kind:          kind,
		Incarnation:   m.Incarnation,
		ConfigVersion: m.ConfigVersion,
	}
}
