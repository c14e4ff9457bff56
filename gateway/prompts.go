package gateway

import (
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// Bounds of Prompts.
const (
	promptShards = 16
	// maxPrompts is the number of prompt parts remembered in one shard.
	maxPrompts = 4096
	// maxHolders is the number of upstreams remembered for one part.
	maxHolders = 8
	// promptAge is how long an upstream is taken to hold a part after its last
	// use; the engines evict the least recently used.
	promptAge = 2 * time.Minute
)

// Placement says that an upstream has read a shared prompt part.
type Placement struct {
	Part uint64
	At   catalog.Key
}

// Prompts remembers which upstreams have lately read which shared prompt parts,
// by this router's own sends and by the word of other routers. All methods may
// be called concurrently.
type Prompts struct {
	start  time.Time
	shards [promptShards]promptShard

	mu   sync.Mutex
	news []Placement // placements of this router, newest last
	base uint64      // number of the first of news
}

type promptShard struct {
	mu      sync.Mutex
	holders map[uint64]map[catalog.Key]time.Duration
}

// maxNews is the number of placements kept for other routers. One that has
// missed more learns the rest by its own sends.
const maxNews = 2048

// NewPrompts returns an empty memory.
func NewPrompts() *Prompts {
	p := &Prompts{start: time.Now()}
	for i := range p.shards {
		p.shards[i].holders = make(map[uint64]map[catalog.Key]time.Duration)
	}
	return p
}

// Placed records that this router has sent a prompt with the part to an
// upstream.
func (p *Prompts) Placed(placed Placement) {
	if p.Learn(placed) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.news = append(p.news, placed)
		if over := len(p.news) - maxNews; over > 0 {
			p.news = append(p.news[:0], p.news[over:]...)
			p.base += uint64(over)
		}
	}
}

// Learn records a placement and returns whether it was not known.
func (p *Prompts) Learn(placed Placement) bool {
	now := time.Since(p.start)
	s := &p.shards[placed.Part%promptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holders[placed.Part]
	if holders == nil {
		s.makeRoom()
		holders = make(map[catalog.Key]time.Duration, 2)
		s.holders[placed.Part] = holders
	}
	last, known := holders[placed.At]
	if !known && len(holders) >= maxHolders {
		dropOldest(holders)
	}
	holders[placed.At] = now
	return !known || now-last > promptAge
}

// makeRoom drops an arbitrary part if the shard is full. s.mu is held.
func (s *promptShard) makeRoom() {
	if len(s.holders) < maxPrompts {
		return
	}
	for part := range s.holders {
		delete(s.holders, part)
		return
	}
}

func dropOldest(holders map[catalog.Key]time.Duration) {
	var oldest catalog.Key
	first := true
	for key, at := range holders {
		if first || at < holders[oldest] {
			oldest, first = key, false
		}
	}
	delete(holders, oldest)
}

// Holders calls f for each upstream that has lately read the part.
func (p *Prompts) Holders(part uint64, f func(catalog.Key)) {
	now := time.Since(p.start)
	s := &p.shards[part%promptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.holders[part] {
		if now-at <= promptAge {
			f(key)
		}
	}
}

// News returns this router's placements from number after on, and the number
// from which to go on.
func (p *Prompts) News(after uint64) ([]Placement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.base + uint64(len(p.news))
	if after > end {
		after = p.base // numbers of an earlier process
	}
	from := max(after, p.base) - p.base
	return append([]Placement(nil), p.news[from:]...), end
}

// Forget drops the placements at upstreams for which keep returns false.
func (p *Prompts) Forget(keep func(catalog.Key) bool) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for part, holders := range s.holders {
			for key := range holders {
				if !keep(key) {
					delete(holders, key)
				}
			}
			if len(holders) == 0 {
				delete(s.holders, part)
			}
		}
		s.mu.Unlock()
	}
}
