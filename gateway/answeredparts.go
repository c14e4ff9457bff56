package gateway

import (
	"sync"
	"time"
)

const (
	answeredShards = 16
	// maxAnsweredPerShard is the number of parts remembered in one shard.
	maxAnsweredPerShard = 2048
)

// answeredParts remembers when requests with a prompt part were last answered. Its methods
// may be called concurrently.
type answeredParts struct {
	shards [answeredShards]struct {
		mu sync.Mutex
		at map[uint64]time.Duration
	}
}

// record records that a request with the part is answered.
func (a *answeredParts) record(part uint64, at time.Duration) {
	s := &a.shards[part%answeredShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[uint64]time.Duration)
	}
	if _, known := s.at[part]; !known && len(s.at) >= maxAnsweredPerShard {
		for other := range s.at { // an arbitrary one
			delete(s.at, other)
			break
		}
	}
	s.at[part] = max(at, s.at[part])
}

// last returns when a request with the part was last answered.
func (a *answeredParts) last(part uint64) (at time.Duration, known bool) {
	s := &a.shards[part%answeredShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known = s.at[part]
	return at, known
}
