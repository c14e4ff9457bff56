package forward

import (
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/netdial"
)

// Defaults for Options.
const (
	// DefaultDialTimeout limits a dial. It allows for a few round trips between
	// failure domains; a host that is down never answers a dial.
	DefaultDialTimeout = 350 * time.Millisecond
	// DefaultUnackedTimeout is how long sent data may stay unacknowledged before
	// the connection fails.
	DefaultUnackedTimeout = 1500 * time.Millisecond
	// DefaultMaxIdle is how long an idle connection is kept.
	DefaultMaxIdle = 20 * time.Second
	// DefaultMaxIdleNonRepeatable is how long a connection may have been idle and
	// still carry a request that must not be repeated: if the upstream has dropped
	// the idle connection, the outcome of that request is unknown.
	DefaultMaxIdleNonRepeatable = 3 * time.Second
	// DefaultCloseMargin is how long before the idle timeout announced by an
	// upstream its connection is no longer used.
	DefaultCloseMargin = time.Second
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	DialTimeout          time.Duration
	UnackedTimeout       time.Duration
	MaxIdle              time.Duration
	MaxIdleNonRepeatable time.Duration
	CloseMargin          time.Duration
	// Matches reports whether the answer belongs to the request; nil accepts
	// every answer.
	Matches func(*Request, *Response) bool
	// LateAnswer is called for each answer that Matches rejects; may be nil.
	LateAnswer func(*Request, *Response)
	// Dialed is called after each dial, also a failed one; may be nil.
	Dialed func(address string, took time.Duration, err error)
	// Panicked is called with the value of a panic while a body is written, after which the
	// connection fails; nil lets the panic end the process.
	Panicked func(r *Request, value any)
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.DialTimeout, DefaultDialTimeout},
		{&o.UnackedTimeout, DefaultUnackedTimeout},
		{&o.MaxIdle, DefaultMaxIdle},
		{&o.MaxIdleNonRepeatable, DefaultMaxIdleNonRepeatable},
		{&o.CloseMargin, DefaultCloseMargin},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	if o.Matches == nil {
		o.Matches = func(*Request, *Response) bool { return true }
	}
	if o.LateAnswer == nil {
		o.LateAnswer = func(*Request, *Response) {}
	}
	if o.Dialed == nil {
		o.Dialed = func(string, time.Duration, error) {}
	}
	return o
}

// poolShards is the number of independently locked shards of a Pool.
const poolShards = 16

// Pool holds the connections to all upstreams. Its methods may be called
// concurrently.
type Pool struct {
	opts   Options
	dialer *net.Dialer
	seed   maphash.Seed
	shards [poolShards]shard
}

// shard holds the connections to the addresses that hash to it.
type shard struct {
	mu    sync.Mutex
	conns map[string]*addressConns
}

// addressConns tracks the connections to one address.
type addressConns struct {
	idle []*conn // the longest idle first
	open int     // idle and busy ones, and dials in progress
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	p := &Pool{opts: opts.withDefaults(), seed: maphash.MakeSeed()}
	p.dialer = netdial.Dialer(p.opts.UnackedTimeout)
	p.dialer.Timeout = p.opts.DialTimeout
	for i := range p.shards {
		p.shards[i].conns = make(map[string]*addressConns)
	}
	return p
}

func (p *Pool) shard(address string) *shard {
	return &p.shards[maphash.String(p.seed, address)%poolShards]
}

// forAddress returns the connections to an address. s.mu must be held.
func (s *shard) forAddress(address string) *addressConns {
	h := s.conns[address]
	if h == nil {
		h = &addressConns{}
		s.conns[address] = h
	}
	return h
}

// acquire returns the most recently used idle connection that is usable and has not carried
// a request with the same ID. A nil connection without an error means that there is none, and
// that a slot for a new connection is reserved.
func (p *Pool) acquire(address string, r *Request) (*conn, error) {
	maxIdle := p.opts.MaxIdle
	if r.NonRepeatable {
		maxIdle = p.opts.MaxIdleNonRepeatable
	}
	s, idHash := p.shard(address), p.idHash(r)
	mayCarry := func(c *conn) bool {
		return r.ID != "" && !c.hasCarried(idHash) // without an ID the answer can't be told from a late one
	}
	for {
		c, replaced, err := s.take(address, r.MaxConnections, mayCarry)
		if replaced != nil {
			_ = replaced.net.Close() // its slot is that of the new connection
		}
		if c == nil || err != nil {
			return nil, err
		}
		if c.usable(time.Now(), p.opts.CloseMargin, maxIdle) {
			return c, nil
		}
		p.discard(address, c)
	}
}

// idHash returns the hash by which connections record the ID of a request.
func (p *Pool) idHash(r *Request) uint64 { return maphash.String(p.seed, r.ID) }

// take removes and returns the most recently used idle connection for which mayCarry returns
// true. If there is none, it reserves a slot for a new one and returns nil; maxOpen limits the
// open connections to the address, 0 means no limit. At the limit the longest idle connection
// makes room: it is removed and returned as replaced.
func (s *shard) take(address string, maxOpen int, mayCarry func(*conn) bool) (c, replaced *conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.forAddress(address)
	for i, c := range slices.Backward(h.idle) {
		if mayCarry(c) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c, nil, nil
		}
	}
	if err := h.reserve(maxOpen); err == nil || len(h.idle) == 0 {
		return nil, nil, err
	}
	replaced = h.idle[0]
	h.idle = slices.Delete(h.idle, 0, 1)
	return nil, replaced, nil
}

// reserve reserves a slot for a new connection. The mutex of the shard must be held.
func (h *addressConns) reserve(maxOpen int) error {
	if maxOpen > 0 && h.open >= maxOpen {
		return ErrConnectionLimit
	}
	h.open++
	return nil
}

// connect returns a connection to the address and reports whether it is a new
// one.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, bool, error) {
	c, err := p.acquire(address, r)
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

// putIdle returns a connection to the pool as idle.
func (p *Pool) putIdle(address string, c *conn) {
	c.idleSince = time.Now()
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.forAddress(address)
	h.idle = append(h.idle, c)
}

// discard closes an idle connection and releases its slot.
func (p *Pool) discard(address string, c *conn) {
	_ = c.net.Close() // no request is in progress
	p.release(address)
}

// abort resets a connection and releases its slot. The reset drops data that
// was sent and has not arrived: after an ordinary close it would still arrive
// once an interrupted network path recovers, and the request would run long
// after it was given up.
func (p *Pool) abort(address string, c *conn) {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if this fails, the connection is closed normally
	}
	p.discard(address, c)
}

// release gives back the slot of a connection to the address.
func (p *Pool) release(address string) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.forAddress(address)
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(s.conns, address)
	}
}

// Sweep closes the connections that have been idle for too long, and all idle
// connections to addresses for which keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(address string) bool) {
	for i := range p.shards {
		for address, conns := range p.shards[i].removeExpired(now, p.opts.MaxIdle, p.opts.CloseMargin, keep) {
			for _, c := range conns {
				p.discard(address, c)
			}
		}
	}
}

// removeExpired removes from the shard the connections that Sweep closes and
// returns them by address.
func (s *shard) removeExpired(now time.Time, maxIdle, margin time.Duration, keep func(string) bool) map[string][]*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]*conn)
	for address, h := range s.conns {
		kept := h.idle[:0]
		wanted := keep(address)
		for _, c := range h.idle {
			age := now.Sub(c.idleSince)
			if wanted && age < maxIdle && (c.keepAliveTimeout == 0 || age < c.keepAliveTimeout-margin) {
				kept = append(kept, c)
				continue
			}
			out[address] = append(out[address], c)
		}
		h.idle = kept
	}
	return out
}
