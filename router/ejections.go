package router

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/eject"
)

const ejectionShards = 16

// ejections hold what this router has against agents, by address, in shards each
// under its own lock. A host that is replaced at another address starts without
// the marks of its predecessor. They are fed by the requests themselves: no probe is sent.
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

// fail records a failure of the agent at an address at now.
func (e *ejections) fail(address string, now time.Duration) {
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

// record returns what is held against an agent, and forgets what is old.
func (e *ejections) record(address string, now time.Duration) eject.Record {
	s := e.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[address]
	if !ok {
		return eject.Record{}
	}
	if r.Forgettable(eject.Options{}, now) {
		delete(s.records, address)
	}
	return *r
}

// weights returns the weights of one service's hosts. Those that the board
// holds back are out as well.
func (e *ejections) weights(hosts []board.HostView, now time.Duration) []float64 {
	records := make([]eject.Record, len(hosts))
	for i, h := range hosts {
		records[i] = e.record(h.Address, now)
		if h.Held > 0 {
			records[i] = records[i].HeldUntil(now + h.Held)
		}
	}
	return eject.Weights(eject.Options{}, now, records)
}
