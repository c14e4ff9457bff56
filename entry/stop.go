package entry

import (
	"net"
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
	// cancelTimeout is how long the responses to requests that are canceled at the time
	// limit may take; it is part of killMargin.
	cancelTimeout = 200 * time.Millisecond
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

// drain makes the router unready and serves until the callers have gone. It then closes
// the listener and the connections of callers, each once it has no request, and returns
// when the process may exit. At the time limit it cancels the requests in progress.
func (h *Host) drain(listener net.Listener) {
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
	if err := listener.Close(); err != nil {
		h.log.WithError(err).Warn("cannot close the listener for callers")
	}
	h.closeCallers(end)
	cut := h.gateway.Active()
	if cut > 0 {
		h.gateway.CancelRequests()
		h.closeCallers(time.Now().Add(cancelTimeout))
	}
	h.log.WithFields(log.Fields{"drain_ms": time.Since(begun).Milliseconds(), "cut": cut}).Info("router drained")
}

// closeCallers closes the connections of callers, each once it has no request, until none
// is left or the deadline has passed.
func (h *Host) closeCallers(deadline time.Time) {
	for now := time.Now(); h.callers.closeIdle(now) > 0 && now.Before(deadline); now = time.Now() {
		time.Sleep(drainPollInterval)
	}
}
