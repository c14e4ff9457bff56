package engine

import (
	"container/list"
	"hash/fnv"
	"slices"
)

// prefixCache is an LRU cache of prompt blocks. A block is identified by the
// digest of all tokens up to its end. It is not safe for concurrent use.
type prefixCache struct {
	blockTokens int
	capacity    int // blocks
	order       *list.List
	blocks      map[uint64]*list.Element
}

func newPrefixCache(capacity, blockTokens int) *prefixCache {
	return &prefixCache{
		blockTokens: blockTokens,
		capacity:    capacity,
		order:       list.New(),
		blocks:      make(map[uint64]*list.Element),
	}
}

// digests returns the identity of each complete block of tokens.
func (c *prefixCache) digests(tokens []string) []uint64 {
	var digests []uint64
	h := fnv.New64a()
	for i, token := range tokens {
		_, _ = h.Write([]byte(token))
		_, _ = h.Write([]byte{0})
		if (i+1)%c.blockTokens == 0 {
			digests = append(digests, h.Sum64())
		}
	}
	return digests
}

// cachedTokens returns how many leading tokens are cached, and marks their blocks
// as recently used.
func (c *prefixCache) cachedTokens(digests []uint64) int {
	cachedBlocks := 0
	for cachedBlocks < len(digests) && c.blocks[digests[cachedBlocks]] != nil {
		cachedBlocks++
	}
	for _, digest := range slices.Backward(digests[:cachedBlocks]) {
		c.order.MoveToFront(c.blocks[digest])
	}
	return cachedBlocks * c.blockTokens
}

// store caches the blocks and returns which ones were added and evicted. The
// first blocks of a prompt are evicted last.
func (c *prefixCache) store(digests []uint64) (added, evicted []uint64) {
	if len(digests) > c.capacity {
		digests = digests[:c.capacity]
	}
	for _, digest := range slices.Backward(digests) {
		if element, ok := c.blocks[digest]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[digest] = c.order.PushFront(digest)
		added = append(added, digest)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		evicted = append(evicted, oldest)
	}
	return added, evicted
}
