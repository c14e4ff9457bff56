package entry

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// leastDrain is how long a stopping router serves at least: the platform
	// takes it out of rotation after two missed questions, a second apart.
	leastDrain = 3500 * time.Millisecond
	// quietDrain is the time without a request after which it ends.
	quietDrain = 300 * time.Millisecond
	// stopMargin is kept from the time after which the platform kills it.
	stopMargin = 400 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
)

// stopState says whether a planned stop has begun. All methods may be called
// concurrently.
type stopState struct {
	mu    sync.Mutex
	since time.Time
	limit time.Duration // from SIGTERM to SIGKILL
}

func (s *stopState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Now()
}

func (s *stopState) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.since.IsZero()
}

func (s *stopState) setLimit(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

func (s *stopState) limitNow() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// drain stops being ready, serves until the callers have gone, and returns when
// the process may end.
func (h *Host) drain() {
	limit := h.stop.limitNow() - stopMargin
	h.stop.begin()
	h.gateway.Drain(limit)
	h.announce("draining")
	begun := time.Now()
	end := begun.Add(limit)
	busy := begun
	for now := begun; now.Before(end); now = time.Now() {
		if h.gateway.Active() > 0 {
			busy = now
		}
		if now.Sub(begun) >= leastDrain && now.Sub(busy) >= quietDrain {
			break
		}
		time.Sleep(drainPoll)
	}
	h.log.WithFields(log.Fields{
		"drain_ms": time.Since(begun).Milliseconds(), "cut": h.gateway.Active(),
	}).Info("router drained")
}
