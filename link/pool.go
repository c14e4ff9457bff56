package link

import (
	"hash/maphash"
	"sync"
)

// poolShards is the number of independently locked parts of a Pool.
const poolShards = 16

// Pool holds one Client per address. Its methods may be called concurrently.
type Pool struct {
	opts   ClientOptions
	seed   maphash.Seed
	shards [poolShards]poolShard
}

type poolShard struct {
	mu      sync.Mutex
	clients map[string]*Client
	closed  bool
}

// NewPool returns a pool whose clients use opts, each with its own address.
func NewPool(opts ClientOptions) *Pool {
	p := &Pool{opts: opts, seed: maphash.MakeSeed()}
	for i := range p.shards {
		p.shards[i].clients = make(map[string]*Client)
	}
	return p
}

func (p *Pool) shard(address string) *poolShard {
	return &p.shards[maphash.String(p.seed, address)%poolShards]
}

// Client returns the client for address and creates it on first use. It returns
// the errors of NewClient, and ErrClosed once the pool is closed.
func (p *Pool) Client(address string) (*Client, error) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	if c, ok := s.clients[address]; ok {
		return c, nil
	}
	opts := p.opts
	opts.Address = address
	c, err := NewClient(opts)
	if err != nil {
		return nil, err
	}
	s.clients[address] = c
	return c, nil
}

// Remove closes and deletes the client for an address that has left the fleet.
func (p *Pool) Remove(address string) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[address]; ok {
		c.Close()
		delete(s.clients, address)
	}
}

// Close closes all clients.
func (p *Pool) Close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		s.closed = true
		for address, c := range s.clients {
			c.Close()
			delete(s.clients, address)
		}
		s.mu.Unlock()
	}
}
