package entry

import (
	"sync"

	"dandelionrill.example/fleet/internal/membudget"
)

const (
	// headBufferBytes is the part of a head that counts as memory of its connection.
	headBufferBytes = 4 << 10
	// headMemoryFactor is the memory for each further byte of a head: net/http gathers it in a
	// buffer that grows by doubling, and copies its parts.
	headMemoryFactor = 3
)

// headMemory is the memory for the head of one request at a time. Its methods may be called
// concurrently.
type headMemory struct {
	budget *membudget.Budget  // nil if heads are not limited
	evict  func(stalled bool) // see membudget.Holding.Offer

	mu      sync.Mutex
	bytes   int                // read of the head
	holding *membudget.Holding // nil up to headBufferBytes
}

// add reserves memory for further bytes of a head, and reports whether it could.
func (m *headMemory) add(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := max(m.bytes, headBufferBytes)
	m.bytes += n
	if m.budget == nil || m.bytes <= headBufferBytes {
		return true
	}
	if m.holding == nil {
		m.holding = m.budget.Hold(m.evict)
	}
	m.holding.Progress(n)
	return m.holding.Reserve(int64(headMemoryFactor * (m.bytes - former)))
}

// complete keeps the memory from being taken away: the whole head has been read.
func (m *headMemory) complete() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holding != nil {
		m.holding.Settle() // if it was evicted, the connection is closed
	}
}

// release returns the memory.
func (m *headMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holding != nil {
		m.holding.Release()
	}
	m.bytes, m.holding = 0, nil
}
