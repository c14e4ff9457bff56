package placement

import (
	"container/heap"
	"container/list"
	"math"
)

// lruCache is an engine's prefix cache. Its capacity is counted in tokens, and it evicts
// the least recently used chat.
type lruCache struct {
	capacity float64
	used     float64
	order    *list.List // of *cachedPrefix, most recently used first
	chats    map[int32]*list.Element
	onEvict  func(chat int32)
}

type cachedPrefix struct {
	chat   int32
	tokens int32
	at     float64
}

func newLRU(capacity float64, onEvict func(int32)) *lruCache {
	return &lruCache{capacity: capacity, order: list.New(), chats: make(map[int32]*list.Element), onEvict: onEvict}
}

// cached returns how many tokens of a chat's prompt are cached.
func (c *lruCache) cached(chat, prompt int32) int32 {
	if e := c.chats[chat]; e != nil {
		return min(prompt, e.Value.(*cachedPrefix).tokens)
	}
	return 0
}

// oldest returns the time of the oldest prefix if the cache is nearly full, else 0.
func (c *lruCache) oldest() float64 {
	if last := c.order.Back(); last != nil && c.used > 0.9*c.capacity {
		return last.Value.(*cachedPrefix).at
	}
	return 0
}

func (c *lruCache) store(chat, tokens int32, at float64) {
	e := c.chats[chat]
	if e == nil {
		e = c.order.PushFront(&cachedPrefix{chat: chat})
		c.chats[chat] = e
	} else {
		c.order.MoveToFront(e)
	}
	p := e.Value.(*cachedPrefix)
	c.used += float64(tokens - p.tokens)
	p.tokens, p.at = tokens, at
	for c.used > c.capacity {
		last := c.order.Back()
		old := c.order.Remove(last).(*cachedPrefix)
		c.used -= float64(old.tokens)
		delete(c.chats, old.chat)
		c.onEvict(old.chat)
	}
}

// oracleReuse returns the best possible reuse: the share of prompt tokens after the given
// time that would be cached by a single cache with the memory of all engines, which never
// loses entries and evicts the chat whose next turn is farthest in the future.
func oracleReuse(turns []turn, capacity, after float64) float64 {
	cached := make(map[int32]*futureUse)
	var farthest futureHeap
	var used, hits, prompts float64
	for _, t := range turns {
		f := cached[t.chat]
		if t.at >= after {
			prompts += float64(t.prompt)
			if f != nil {
				hits += math.Min(float64(f.tokens), float64(t.prompt))
			}
		}
		if f != nil {
			used -= float64(f.tokens)
			heap.Remove(&farthest, f.index)
			delete(cached, t.chat)
		}
		if math.IsInf(t.next, 1) {
			continue
		}
		f = &futureUse{chat: t.chat, tokens: t.prompt + t.answer, next: t.next}
		cached[t.chat] = f
		heap.Push(&farthest, f)
		for used += float64(f.tokens); used > capacity; {
			old := heap.Pop(&farthest).(*futureUse)
			used -= float64(old.tokens)
			delete(cached, old.chat)
		}
	}
	return hits / prompts
}

type futureUse struct {
	chat   int32
	tokens int32
	next   float64
	index  int
}

// futureHeap is a heap with the farthest next use first.
type futureHeap []*futureUse

func (h futureHeap) Len() int           { return len(h) }
func (h futureHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h futureHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *futureHeap) Push(x any) {
	f := x.(*futureUse)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *futureHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
