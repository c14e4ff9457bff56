package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/cold"
)

// ColdPermits grants permits to send to cold upstreams, of one router's share. Its methods
// may be called concurrently.
type ColdPermits struct {
	start   time.Time
	mu      sync.Mutex
	buckets map[uint32]*permitBucket // by the short hash of the upstream's key
}

// NewColdPermits returns a ColdPermits that has granted none.
func NewColdPermits() *ColdPermits {
	return &ColdPermits{start: time.Now(), buckets: make(map[uint32]*permitBucket)}
}

// Grant grants a permit of a share, or returns the time until there is one.
func (p *ColdPermits) Grant(upstream uint32, share cold.Share) (granted bool, wait time.Duration) {
	now := time.Since(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[upstream]
	if b == nil {
		if len(p.buckets) >= maxPermitBuckets {
			evictBucket(p.buckets)
		}
		b = &permitBucket{}
		p.buckets[upstream] = b
	}
	b.usedAt = now
	return b.TakeSaved(now, share.Rate, share.Burst)
}
