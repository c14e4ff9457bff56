package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// Limits of Prompts.
const (
	promptShards = 16
	// maxPartsPerShard is the number of prompt parts recorded in one shard.
	maxPartsPerShard = 4096
	// maxUpstreamsPerPart is the number of upstreams recorded for one part.
	maxUpstreamsPerPart = 8
	// cachedPartMaxAge is how long after its last use a part is assumed to be
	// cached at an upstream; engines evict the least recently used parts.
	cachedPartMaxAge = 2 * time.Minute
)

// Placement states that an upstream has read a shared prompt part.
type Placement struct {
	Part uint64
	At   catalog.Key
}

// Origin is where a router has a placement from.
type Origin uint8

// Origins, which can be combined to select placements.
const (
	OriginOwn     Origin = 1 << iota // this router's own sends
	OriginDomain                     // another router of this failure domain
	OriginForeign                    // a router of another failure domain
	OriginStore                      // the store, from before this router started; not told to others
)

// loggedPlacement is a placement that was new to this router.
type loggedPlacement struct {
	placement Placement
	origin    Origin
}

// Prompts records which upstreams have recently read which shared prompt parts,
// from this router's own sends and from the reports of other routers. All methods
// may be called concurrently.
type Prompts struct {
	start  time.Time
	shards [promptShards]promptShard

	mu          sync.Mutex
	log         []loggedPlacement // newest last
	firstNumber uint64            // sequence number of log[0]
}

type promptShard struct {
	mu       sync.Mutex
	cachedAt map[uint64]map[catalog.Key]time.Duration
}

// maxLoggedPlacements is the number of placements retained for other routers. A
// router that has missed more learns of them only by its own sends.
const maxLoggedPlacements = 16384

// NewPrompts returns a Prompts without any records.
func NewPrompts() *Prompts {
	p := &Prompts{start: time.Now()}
	for i := range p.shards {
		p.shards[i].cachedAt = make(map[uint64]map[catalog.Key]time.Duration)
	}
	return p
}

// RecordSend records that this router has sent a prompt with the part to an
// upstream.
func (p *Prompts) RecordSend(placement Placement) { p.Record(placement, OriginOwn) }

// Record records a placement. If it is new, or its last use was longer ago than
// cachedPartMaxAge, it is retained for other routers.
func (p *Prompts) Record(placement Placement, origin Origin) {
	if !p.use(placement) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(p.log, loggedPlacement{placement, origin})
	if over := len(p.log) - maxLoggedPlacements; over > 0 {
		// Half of the log is dropped at once, so that entries are rarely moved.
		over += maxLoggedPlacements / 2
		p.log = append(p.log[:0], p.log[over:]...)
		p.firstNumber += uint64(over)
	}
}

// use records the use of a part at an upstream, and reports whether it is new or the
// last use was longer ago than cachedPartMaxAge.
func (p *Prompts) use(placement Placement) bool {
	now := time.Since(p.start)
	s := &p.shards[placement.Part%promptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	lastUses := s.cachedAt[placement.Part]
	if lastUses == nil {
		s.evictIfFull()
		lastUses = make(map[catalog.Key]time.Duration, 2)
		s.cachedAt[placement.Part] = lastUses
	}
	last, known := lastUses[placement.At]
	if !known && len(lastUses) >= maxUpstreamsPerPart {
		evictOldest(lastUses)
	}
	lastUses[placement.At] = now
	return !known || now-last > cachedPartMaxAge
}

// evictIfFull evicts an arbitrary part if the shard is full. The caller must hold
// s.mu.
func (s *promptShard) evictIfFull() {
	if len(s.cachedAt) < maxPartsPerShard {
		return
	}
	for part := range s.cachedAt {
		delete(s.cachedAt, part)
		return
	}
}

func evictOldest(lastUses map[catalog.Key]time.Duration) {
	var oldest catalog.Key
	first := true
	for key, at := range lastUses {
		if first || at < lastUses[oldest] {
			oldest, first = key, false
		}
	}
	delete(lastUses, oldest)
}

// CachedAt calls f, under the shard's lock, for each upstream that has recently
// read the part.
func (p *Prompts) CachedAt(part uint64, f func(catalog.Key)) {
	now := time.Since(p.start)
	s := &p.shards[part%promptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.cachedAt[part] {
		if now-at <= cachedPartMaxAge {
			f(key)
		}
	}
}

// PlacementsSince returns the placements of the origins with sequence numbers from
// after on, and the number to pass to the next call.
func (p *Prompts) PlacementsSince(after uint64, origins Origin) ([]Placement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.firstNumber + uint64(len(p.log))
	if after > end {
		after = p.firstNumber // a number from before this process restarted
	}
	var placements []Placement
	for _, l := range p.log[max(after, p.firstNumber)-p.firstNumber:] {
		if l.origin&origins != 0 {
			placements = append(placements, l.placement)
		}
	}
	return placements, end
}

// RemoveUnlisted removes the placements at upstreams for which listed returns
// false.
func (p *Prompts) RemoveUnlisted(listed func(catalog.Key) bool) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for part, lastUses := range s.cachedAt {
			for key := range lastUses {
				if !listed(key) {
					delete(lastUses, key)
				}
			}
			if len(lastUses) == 0 {
				delete(s.cachedAt, part)
			}
		}
		s.mu.Unlock()
	}
}
