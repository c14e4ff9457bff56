package router

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/eject"
)

const ejectionShards = 16

// ejections hold what this router has against agents, by host, in shards each
// under its own lock. They are fed by the requests themselves: no probe is sent.
type ejections struct {
	shards [ejectionShards]ejectionShard
}

type ejectionShard struct {
	mu      sync.Mutex
	records map[string]*eject.Record
}

func (e *ejections) shard(host string) *ejectionShard {
	sum := uint32(0)
	for i := range len(host) {
		sum = sum*31 + uint32(host[i])
	}
	return &e.shards[sum%ejectionShards]
}

// fail records a failure of a host at now.
func (e *ejections) fail(host string, now time.Duration) {
	s := e.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[host]
	if !ok {
		if s.records == nil {
			s.records = make(map[string]*eject.Record)
		}
		r = new(eject.Record)
		s.records[host] = r
	}
	r.Failure(eject.Options{}, now)
}

// record returns what is held against a host, and forgets what is old.
func (e *ejections) record(host string, now time.Duration) eject.Record {
	s := e.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[host]
	if !ok {
		return eject.Record{}
	}
	if r.Forgettable(eject.Options{}, now) {
		delete(s.records, host)
	}
	return *r
}

// weights returns the weights of one service's hosts. Those that the board
// holds back are out as well.
func (e *ejections) weights(hosts []board.HostView, now time.Duration) []float64 {
	records := make([]eject.Record, len(hosts))
	for i, h := range hosts {
		records[i] = e.record(h.Name, now)
		if h.Held > 0 {
			records[i] = records[i].HeldUntil(now + h.Held)
		}
	}
	return eject.Weights(eject.Options{}, now, records)
}
