package entry

import (
	"context"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/panics"
)

// confirmationInterval is the least time between two confirmations of the list of upstreams
// that requests ask for.
const confirmationInterval = 50 * time.Millisecond

// confirmations reads what has changed in the list of upstreams for requests that need the
// list of now. One call to the store serves all that have come before it begins. The methods
// may be called concurrently.
type confirmations struct {
	host *Host

	mu    sync.Mutex
	next  *confirmation // not begun yet; nil if nobody waits for one
	ended time.Time     // when the last one ended
	busy  bool          // one is in progress, or about to begin
}

// confirmation is one call to the store.
type confirmation struct {
	done chan struct{}
	ok   bool // set before done is closed
}

// Confirm returns whether the list of upstreams in use is the newest one of a moment after the
// call. It returns false when ctx ends before that is known.
func (c *confirmations) Confirm(ctx context.Context) bool {
	if c.host.upstreams.Lost() {
		return false
	}
	c.mu.Lock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	next := c.next
	if !c.busy {
		c.busy = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-next.done:
		return next.ok
	case <-ctx.Done():
		return false
	}
}

// run makes confirmations until nobody waits for one.
func (c *confirmations) run() {
	for {
		c.mu.Lock()
		pause := time.Until(c.ended.Add(confirmationInterval))
		c.mu.Unlock()
		time.Sleep(pause)
		c.mu.Lock()
		current := c.next
		c.next, c.busy = nil, current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		current.ok = c.read()
		close(current.done)
		c.mu.Lock()
		c.ended = time.Now()
		c.mu.Unlock()
	}
}

// read reads the changes, and reports whether the list in use holds all that were made before
// the call.
func (c *confirmations) read() bool {
	defer panics.Recover(c.host.log, "confirmation", nil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*storeCallTimeout) // the call itself has its time-out
	defer cancel()
	began := time.Now()
	if c.host.upstreams.Refresh(ctx) != nil {
		return false
	}
	// A change that another call has put in use meanwhile leaves the answer unused.
	return c.host.upstreams.Stamp().Age <= time.Since(began)
}
