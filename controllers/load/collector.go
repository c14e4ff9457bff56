// Package load brings the mean load of a service to the agents of its
// upstreams. Each agent reports to one router, the collector of its service and
// failure domain, chosen by rendezvous hash over the host list; the reply
// carries the mean. Collectors of one service exchange partial sums. Processes
// whose lists differ choose different collectors: then a mean covers fewer
// replicas, and says so.
package load

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/mean"
	"dandelionrill.example/fleet/wire"
)

// RPCName is the name under which routers serve the collector's methods.
const RPCName = "Load"

const (
	shardCount = 8
	// idleAfter is the time without reports after which a collector is dropped.
	idleAfter = time.Minute
	// maxCollectors bounds the collectors of one shard.
	maxCollectors = 256
)

// pool names the replicas of one service in one failure domain.
type pool struct {
	service string
	domain  string
}

type collector struct {
	*mean.Collector
	reportedAt time.Duration
}

type shard struct {
	mu         sync.Mutex
	collectors map[pool]*collector
}

// Collectors gathers reports at a router. All methods may be called concurrently.
type Collectors struct {
	board       *board.Board
	incarnation uint64
	start       time.Time
	seed        maphash.Seed
	shards      [shardCount]shard
}

// NewCollectors returns collectors that take reports for the services of the
// configuration on the board.
func NewCollectors(b *board.Board) *Collectors {
	c := &Collectors{board: b, incarnation: rand.Uint64(), start: time.Now(), seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].collectors = make(map[pool]*collector)
	}
	return c
}

// now returns the clock that stamps show. It is never 0.
func (c *Collectors) now() time.Duration { return time.Since(c.start) + 1 }

func (c *Collectors) shard(p pool) *shard {
	return &c.shards[maphash.Comparable(c.seed, p)%shardCount]
}

// with calls use with the collector of p under its shard's lock, or returns
// false if there is none and make is false or forbidden by the configuration.
func (c *Collectors) with(p pool, create bool, use func(*collector)) bool {
	s := c.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.collectors[p]
	if !ok {
		if !create || len(s.collectors) >= maxCollectors || !c.configured(p.service) {
			return false
		}
		found = &collector{Collector: mean.NewCollector(mean.Options{FailureDomain: p.domain, Incarnation: c.incarnation})}
		s.collectors[p] = found
	}
	use(found)
	return true
}

func (c *Collectors) configured(service string) bool {
	adopted := c.board.Configuration()
	if adopted == nil {
		return false
	}
	_, ok := adopted.Index.Service(service)
	return ok
}

// Service is the net/rpc receiver of a router's collectors. Its methods may be
// called concurrently.
type Service struct {
	collectors *Collectors
}

// NewService returns the receiver for c.
func NewService(c *Collectors) *Service { return &Service{collectors: c} }

// Report takes an agent's load and returns the mean.
func (s *Service) Report(args *wire.LoadArgs, reply *wire.LoadReply) error {
	counters.Add("reports_taken", 1)
	c := s.collectors
	c.with(pool{args.Service, args.FailureDomain}, true, func(col *collector) {
		now := c.now()
		if args.Leaving {
			col.Leave(args.Host)
			return
		}
		col.reportedAt = now
		reply.Dated = col.Report(args.Host, args.Load, args.Echo, now)
		reply.Mean = col.Mean(now)
		reply.Stamp = col.Stamp(now)
	})
	return nil
}

// Exchange takes a peer's partial sum and returns the receiver's.
func (s *Service) Exchange(args *wire.SumsArgs, reply *wire.SumsReply) error {
	counters.Add("sums_taken", 1)
	c := s.collectors
	c.with(pool{args.Service, args.Domain}, true, func(col *collector) {
		now := c.now()
		col.Merge(args.Partial, args.Echo, now)
		reply.Partial = col.Partial(now)
		reply.Stamp = col.Stamp(now)
	})
	return nil
}

// active returns the pools that agents reported to lately, and drops others.
func (c *Collectors) active() []pool {
	var pools []pool
	now := c.now()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for p, col := range s.collectors {
			switch {
			case now-col.reportedAt > idleAfter:
				delete(s.collectors, p)
			case col.reportedAt > 0:
				pools = append(pools, p)
			}
		}
		s.mu.Unlock()
	}
	return pools
}
