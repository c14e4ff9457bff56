package placement

import (
	"container/heap"
	"container/list"
	"math"
)

// lru is an engine's prefix cache, in tokens, that evicts the chat unused for
// longest.
type lru struct {
	capacity float64
	used     float64
	order    *list.List // of *prefix, most recent first
	chats    map[int32]*list.Element
	evicted  func(chat int32)
}

type prefix struct {
	chat   int32
	tokens int32
	at     float64
}

func newLRU(capacity float64, evicted func(int32)) *lru {
	return &lru{capacity: capacity, order: list.New(), chats: make(map[int32]*list.Element), evicted: evicted}
}

// cached returns the tokens held of a chat's prompt.
func (c *lru) cached(chat, prompt int32) int32 {
	if e := c.chats[chat]; e != nil {
		return min(prompt, e.Value.(*prefix).tokens)
	}
	return 0
}

// oldest returns the time of the oldest prefix of a full cache, else 0.
func (c *lru) oldest() float64 {
	if last := c.order.Back(); last != nil && c.used > 0.9*c.capacity {
		return last.Value.(*prefix).at
	}
	return 0
}

func (c *lru) store(chat, tokens int32, at float64) {
	e := c.chats[chat]
	if e == nil {
		e = c.order.PushFront(&prefix{chat: chat})
		c.chats[chat] = e
	} else {
		c.order.MoveToFront(e)
	}
	p := e.Value.(*prefix)
	c.used += float64(tokens - p.tokens)
	p.tokens, p.at = tokens, at
	for c.used > c.capacity {
		last := c.order.Back()
		old := c.order.Remove(last).(*prefix)
		c.used -= float64(old.tokens)
		delete(c.chats, old.chat)
		c.evicted(old.chat)
	}
}

// oracleReuse returns the share of prompt tokens after the given time that one
// cache of all engines' memory, which knows the future and loses nothing, would
// hold: it evicts the chat whose next turn is farthest.
func oracleReuse(turns []turn, capacity, after float64) float64 {
	held := make(map[int32]*future)
	var farthest futures
	var used, hits, prompts float64
	for _, t := range turns {
		f := held[t.chat]
		if t.at >= after {
			prompts += float64(t.prompt)
			if f != nil {
				hits += math.Min(float64(f.tokens), float64(t.prompt))
			}
		}
		if f != nil {
			used -= float64(f.tokens)
			heap.Remove(&farthest, f.index)
			delete(held, t.chat)
		}
		if math.IsInf(t.next, 1) {
			continue
		}
		f = &future{chat: t.chat, tokens: t.prompt + t.answer, next: t.next}
		held[t.chat] = f
		heap.Push(&farthest, f)
		for used += float64(f.tokens); used > capacity; {
			old := heap.Pop(&farthest).(*future)
			used -= float64(old.tokens)
			delete(held, old.chat)
		}
	}
	return hits / prompts
}

type future struct {
	chat   int32
	tokens int32
	next   float64
	index  int
}

// futures is a heap with the farthest next use first.
type futures []*future

func (h futures) Len() int           { return len(h) }
func (h futures) Less(i, j int) bool { return h[i].next > h[j].next }
func (h futures) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *futures) Push(x any) {
	f := x.(*future)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *futures) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
