package router

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/eject"
)

const ejectionShards = 16

// ejections holds the failure records of agents by address, in shards with a
// lock each. A replacement host at another address does not inherit the record
// of its predecessor. Failures come from regular requests only; the router
// sends no probes.
type ejections struct {
	shards [ejectionShards]ejectionShard
}

type ejectionShard struct {
	mu      sync.Mutex
	records map[string]*eject.Record
}

func (e *ejections) shard(address string) *ejectionShard {
	sum := uint32(0)
	for i := range len(address) {
		sum = sum*31 + uint32(address[i])
	}
	return &e.shards[sum%ejectionShards]
}

// recordFailure records a failure of the agent at address.
func (e *ejections) recordFailure(address string, now time.Duration) {
	s := e.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[address]
	if !ok {
		if s.records == nil {
			s.records = make(map[string]*eject.Record)
		}
		r = new(eject.Record)
		s.records[address] = r
	}
	r.Failure(eject.Options{}, now)
}

// record returns the failure record of the agent at address, and deletes
// records that have expired.
func (e *ejections) record(address string, now time.Duration) eject.Record {
	s := e.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[address]
	if !ok {
		return eject.Record{}
	}
	if r.CanDrop(eject.Options{}, now) {
		delete(s.records, address)
	}
	return *r
}

// weights returns the placement weights of one service's hosts. Hosts for
// which the board reports a backoff are excluded as well.
func (e *ejections) weights(hosts []board.HostView, now time.Duration) []float64 {
	records := make([]eject.Record, len(hosts))
	for i, h := range hosts {
		records[i] = e.record(h.Address, now)
		if h.BackoffRemaining > 0 {
			records[i] = records[i].EjectedUntil(now + h.BackoffRemaining)
		}
	}
	return eject.Weights(eject.Options{}, now, records)
}
