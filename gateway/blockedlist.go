package gateway

import (
	"cmp"
	"slices"
)

// BlockedPart is an entry of the list of blocked parts in the store.
type BlockedPart struct {
	Part      uint64
	Upstreams int // that ended with it, certainCrashes at most
}

// ListBlocked returns the blocked parts for the list in the store, sorted.
func (c *Crashes) ListBlocked() []BlockedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []BlockedPart
	for part := range *c.blocked.Load() {
		if p := c.parts[part]; p != nil {
			out = append(out, BlockedPart{Part: part, Upstreams: min(p.ended(), certainCrashes)})
		}
	}
	slices.SortFunc(out, func(a, b BlockedPart) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// SetStored blocks the parts of the list in the store, except for those that were answered
// since they may have been listed.
func (c *Crashes) SetStored(list []BlockedPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	listed := make(map[uint64]bool, len(list))
	for _, b := range list[:min(len(list), maxCrashedParts)] {
		listed[b.Part] = true
		p := c.record(b.Part)
		if p.isAnswered && now-p.answeredAt <= crashMemory {
			continue
		}
		if p.stored == 0 {
			p.storedAt = now
		}
		p.stored = b.Upstreams
	}
	for part, p := range c.parts {
		if !listed[part] {
			p.stored = 0
		}
	}
	c.evaluate()
}
