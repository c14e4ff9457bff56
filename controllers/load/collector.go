// Package load distributes the mean load of a service to the agents of its
// upstreams. For each service and failure domain, rendezvous hashing over the
// host list selects one router as the collector. Each agent reports its load to
// the collector of its service and failure domain, and the reply carries the
// mean load. Collectors of the same service exchange partial sums.
//
// Processes whose host lists differ may select different collectors. A mean
// then covers fewer replicas, and the reported replica count shows it.
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

// RPCName is the net/rpc service name under which routers register Service.
const RPCName = "Load"

const (
	shardCount = 8
	// collectorIdleTimeout is the time without reports, since the last report
	// or the start of the process, after which a collector is deleted.
	collectorIdleTimeout = time.Minute
	// maxCollectorsPerShard limits the number of collectors in one shard. The
	// failure domain in a message is not checked, so that its sender could
	// otherwise create any number of them.
	maxCollectorsPerShard = 256
)

// poolKey identifies the replicas of one service in one failure domain.
type poolKey struct {
	service string
	domain  string
}

type collector struct {
	*mean.Collector
	lastReportAt time.Duration
}

type shard struct {
	mu         sync.Mutex
	collectors map[poolKey]*collector
}

// Collectors collects the load reports that a router receives. All methods may
// be called concurrently.
type Collectors struct {
	board       *board.Board
	incarnation uint64
	start       time.Time
	seed        maphash.Seed
	shards      [shardCount]shard
}

// NewCollectors returns a Collectors that accepts reports for the services of
// the configuration in force on b.
func NewCollectors(b *board.Board) *Collectors {
	c := &Collectors{board: b, incarnation: rand.Uint64(), start: time.Now(), seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].collectors = make(map[poolKey]*collector)
	}
	return c
}

// now returns the time on the clock that is used for stamps. It is never 0,
// because 0 in lastReportAt means that there was no report.
func (c *Collectors) now() time.Duration { return time.Since(c.start) + 1 }

func (c *Collectors) shard(p poolKey) *shard {
	return &c.shards[maphash.Comparable(c.seed, p)%shardCount]
}

// withCollector calls use with the collector of p while holding the lock of its
// shard. If there is no collector, it creates one. It returns false without
// calling use if there is none and create is false, if the shard is full, or if
// the configuration does not have the service.
func (c *Collectors) withCollector(p poolKey, create bool, use func(*collector)) bool {
	s := c.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.collectors[p]
	if !ok {
		if !create || len(s.collectors) >= maxCollectorsPerShard || !c.serviceConfigured(p.service) {
			return false
		}
		found = &collector{Collector: mean.NewCollector(mean.Options{FailureDomain: p.domain, Incarnation: c.incarnation})}
		s.collectors[p] = found
	}
	use(found)
	return true
}

func (c *Collectors) serviceConfigured(service string) bool {
	adopted := c.board.Configuration()
	if adopted == nil {
		return false
	}
	_, ok := adopted.Index.Service(service)
	return ok
}

// Service is the net/rpc receiver for the collectors of a router. Its methods
// may be called concurrently.
type Service struct {
	collectors *Collectors
}

// NewService returns a net/rpc receiver for c.
func NewService(c *Collectors) *Service { return &Service{collectors: c} }

// Report records the load of an agent and returns the mean load. If the agent
// is leaving, it is removed and the reply stays empty.
func (s *Service) Report(args *wire.LoadArgs, reply *wire.LoadReply) error {
	counters.Add("reports_taken", 1)
	c := s.collectors
	c.withCollector(poolKey{args.Service, args.FailureDomain}, true, func(col *collector) {
		now := c.now()
		if args.Leaving {
			col.Remove(args.Host)
			return
		}
		col.lastReportAt = now
		reply.Dated = col.Report(args.Host, args.Load, args.Echo, now)
		reply.Mean = col.Mean(now)
		reply.Stamp = col.Stamp(now)
	})
	return nil
}

// Exchange merges the partial sum of another collector and returns the partial
// sum of this one.
func (s *Service) Exchange(args *wire.SumsArgs, reply *wire.SumsReply) error {
	counters.Add("sums_taken", 1)
	c := s.collectors
	c.withCollector(poolKey{args.Service, args.Domain}, true, func(col *collector) {
		now := c.now()
		col.Merge(args.Partial, args.Echo, now)
		reply.Partial = col.Partial(now)
		reply.Stamp = col.Stamp(now)
	})
	return nil
}

// activePools returns the pools that received a report from an agent within
// collectorIdleTimeout. It deletes the collectors of idle pools.
func (c *Collectors) activePools() []poolKey {
	var pools []poolKey
	now := c.now()
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for p, col := range s.collectors {
			switch {
			case now-col.lastReportAt > collectorIdleTimeout:
				delete(s.collectors, p)
			case col.lastReportAt > 0:
				pools = append(pools, p)
			}
		}
		s.mu.Unlock()
	}
	return pools
}
