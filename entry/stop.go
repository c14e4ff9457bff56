package entry

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// minDrainTime is how long a draining router serves at least: the platform
	// takes it out of rotation after two failed health checks, one second apart.
	minDrainTime = 3500 * time.Millisecond
	// drainQuietPeriod is the time without any request after which draining ends.
	drainQuietPeriod = 300 * time.Millisecond
	// killMargin is subtracted from the time after which the platform kills the
	// process, so that the process exits by itself before.
	killMargin        = 400 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// stopState records whether a graceful shutdown has begun, and its time limit. All
// methods may be called concurrently.
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

func (s *stopState) currentLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// drain makes the router unready, serves until the callers have gone or the time
// limit is reached, and returns when the process may exit.
func (h *Host) drain() {
	limit := h.stop.currentLimit() - killMargin
	h.stop.begin()
	h.gateway.Drain(limit)
	h.logState("draining")
	begun := time.Now()
	end := begun.Add(limit)
	lastBusy := begun
	for now := begun; now.Before(end); now = time.Now() {
		if h.gateway.Active() > 0 {
			lastBusy = now
		}
		if now.Sub(begun) >= minDrainTime && now.Sub(lastBusy) >= drainQuietPeriod {
			break
		}
		time.Sleep(drainPollInterval)
	}
	h.log.WithFields(log.Fields{
		"drain_ms": time.Since(begun).Milliseconds(), "cut": h.gateway.Active(),
	}).Info("router drained")
}
