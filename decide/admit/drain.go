package admit

import "time"

const (
	// drainAcceptPeriod is how long a draining process accepts what is expected to end in
	// time: the load balancer still sends it new callers, who cannot easily go elsewhere.
	drainAcceptPeriod = 3 * time.Second
	// drainMinTime is the time that a request accepted in drainAcceptPeriod has at least.
	drainMinTime = time.Second
	// drainMargin is kept free before the end of the shutdown.
	drainMargin = 600 * time.Millisecond
)

// Work describes a request that arrives during a graceful shutdown.
type Work struct {
	Timeout  time.Duration // 0 if none
	Expected time.Duration // how long requests of its kind have taken lately; 0 if unknown
}

// FitsDrain reports whether work that arrives elapsed after the start of a graceful
// shutdown, of which the process ends at limit, is accepted. After drainAcceptPeriod only
// callers with open connections remain, who find another process at once: then a request
// must end in time even if it takes its whole timeout.
func FitsDrain(w Work, elapsed, limit time.Duration) bool {
	left := limit - elapsed - drainMargin
	if elapsed <= drainAcceptPeriod && left >= max(drainMinTime, w.Expected) {
		return true
	}
	return w.Timeout > 0 && w.Timeout <= left
}
