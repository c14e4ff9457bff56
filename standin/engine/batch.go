package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch admits requests to a limited number of slots, by highest priority and
// then by arrival order. Its methods may be called concurrently.
type batch struct {
	mu       sync.Mutex
	slots    int
	running  int
	sequence uint64
	waiting  waitingHeap
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	sequence uint64
	index    int // in the heap; -1 once it has a slot
	admitted chan struct{}
}

// acquire waits for a slot, or returns the error of ctx.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return nil
	}
	b.sequence++
	w := &waiter{priority: priority, sequence: b.sequence, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	hasSlot := w.index < 0
	if !hasSlot {
		heap.Remove(&b.waiting, w.index)
	}
	b.mu.Unlock()
	if hasSlot {
		b.release()
	}
	return ctx.Err()
}

// release frees a slot or passes it to the next waiter.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).admitted)
}

// sizes returns how many requests are running and waiting.
func (b *batch) sizes() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waitingHeap implements heap.Interface.
type waitingHeap []*waiter

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
