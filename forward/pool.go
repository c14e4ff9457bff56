package forward

import (
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds a dial: a few round trips between failure
	// domains; a dark host answers nothing.
	DefaultDialTimeout = 350 * time.Millisecond
	// DefaultSilence is how long sent data may stay unacknowledged.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultIdle is how long an unused connection is kept.
	DefaultIdle = 20 * time.Second
	// DefaultIdleOnce is the longest idle time of a connection that carries a
	// request which must not be repeated: an upstream that drops idle
	// connections would leave its outcome unknown.
	DefaultIdleOnce = 3 * time.Second
	// DefaultCloseMargin is kept from the idle time that an upstream announces.
	DefaultCloseMargin = time.Second
)

// Options configures a Pool. Zero values mean the defaults.
type Options struct {
	DialTimeout time.Duration
	Silence     time.Duration
	Idle        time.Duration
	IdleOnce    time.Duration
	CloseMargin time.Duration
	// Matches tells whether the answer belongs to the request; nil accepts all.
	Matches func(*Request, *Response) bool
	// Dialed is called after each new connection; nil means nothing.
	Dialed func(address string, took time.Duration, err error)
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		value *time.Duration
		other time.Duration
	}{
		{&o.DialTimeout, DefaultDialTimeout},
		{&o.Silence, DefaultSilence},
		{&o.Idle, DefaultIdle},
		{&o.IdleOnce, DefaultIdleOnce},
		{&o.CloseMargin, DefaultCloseMargin},
	} {
		if *d.value <= 0 {
			*d.value = d.other
		}
	}
	if o.Matches == nil {
		o.Matches = func(*Request, *Response) bool { return true }
	}
	if o.Dialed == nil {
		o.Dialed = func(string, time.Duration, error) {}
	}
	return o
}

// poolShards is the number of independently locked parts of a Pool.
const poolShards = 16

// Pool holds the connections to all upstreams. All methods may be called
// concurrently.
type Pool struct {
	opts   Options
	dialer *net.Dialer
	seed   maphash.Seed
	shards [poolShards]shard
}

type shard struct {
	mu    sync.Mutex
	hosts map[string]*hostConns
}

// hostConns are the connections to one address, the longest idle first.
type hostConns struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts.withDefaults(), seed: maphash.MakeSeed()}
	p.dialer = netdial.Dialer(p.opts.Silence)
	p.dialer.Timeout = p.opts.DialTimeout
	for i := range p.shards {
		p.shards[i].hosts = make(map[string]*hostConns)
	}
	return p
}

func (p *Pool) shard(address string) *shard {
	return &p.shards[maphash.String(p.seed, address)%poolShards]
}

// host returns the connections to an address. s.mu is held.
func (s *shard) host(address string) *hostConns {
	h := s.hosts[address]
	if h == nil {
		h = &hostConns{}
		s.hosts[address] = h
	}
	return h
}

// take returns an idle connection that is usable, the one used last first, and
// nil if there is none. A nil connection without an error reserves a place for
// a new one.
func (p *Pool) take(address string, r *Request) (*conn, error) {
	longest := p.opts.Idle
	if r.Once {
		longest = p.opts.IdleOnce
	}
	s := p.shard(address)
	for {
		c, err := s.pop(address, r.MaxConnections)
		if c == nil || err != nil {
			return nil, err
		}
		if c.usable(time.Now(), p.opts.CloseMargin, longest) {
			return c, nil
		}
		p.discard(address, c)
	}
}

func (s *shard) pop(address string, most int) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.host(address)
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if most > 0 && h.open >= most {
		return nil, ErrConnectionLimit
	}
	h.open++
	return nil, nil
}

// connect returns a connection to the address, and whether it is a new one.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, bool, error) {
	c, err := p.take(address, r)
	if c != nil || err != nil {
		return c, false, err
	}
	start := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.opts.Dialed(address, time.Since(start), err)
	if err != nil {
		p.release(address)
		if ctx.Err() != nil {
			return nil, true, ctx.Err()
		}
		return nil, true, fmt.Errorf("%w: %w", ErrDial, err)
	}
	return newConn(raw), true, nil
}

func (p *Pool) put(address string, c *conn) {
	c.idleFrom = time.Now()
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.host(address)
	h.idle = append(h.idle, c)
}

// discard closes an idle connection and gives its place back.
func (p *Pool) discard(address string, c *conn) {
	_ = c.net.Close() // nothing is on its way
	p.release(address)
}

// abort resets a connection and gives its place back. What was sent and has not
// arrived is dropped: after an ordinary close it would still arrive when a path
// that was cut heals, and would run long after the request was given up.
func (p *Pool) abort(address string, c *conn) {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on failure the close is an ordinary one
	}
	p.discard(address, c)
}

func (p *Pool) release(address string) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.host(address)
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(s.hosts, address)
	}
}

// Sweep closes the connections that were idle for too long, and all idle ones
// of addresses for which keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(address string) bool) {
	for i := range p.shards {
		for address, c := range p.shards[i].expired(now, p.opts.Idle, p.opts.CloseMargin, keep) {
			for _, one := range c {
				p.discard(address, one)
			}
		}
	}
}

func (s *shard) expired(now time.Time, idle, margin time.Duration, keep func(string) bool) map[string][]*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]*conn)
	for address, h := range s.hosts {
		kept := h.idle[:0]
		wanted := keep(address)
		for _, c := range h.idle {
			age := now.Sub(c.idleFrom)
			if wanted && age < idle && (c.idleMax == 0 || age < c.idleMax-margin) {
				kept = append(kept, c)
				continue
			}
			out[address] = append(out[address], c)
		}
		h.idle = kept
	}
	return out
}
