package admit

import "time"

const (
	// drainAcceptPeriod is how long a draining process accepts any work: the load
	// balancer still sends it new callers, who cannot easily go elsewhere.
	drainAcceptPeriod = 3 * time.Second
	// drainMinTime is the time that a request accepted in drainAcceptPeriod has at least.
	drainMinTime = time.Second
	// drainMargin is kept free before the end of the shutdown.
	drainMargin = 600 * time.Millisecond
)

// FitsDrain reports whether a request that arrives elapsed after the start of a graceful
// shutdown, of which the process ends at limit, is accepted. After drainAcceptPeriod only
// callers with open connections remain, who find another process at once: then a request
// must end in time even if it takes its whole timeout. A timeout of 0 means none.
func FitsDrain(timeout, elapsed, limit time.Duration) bool {
	left := limit - elapsed - drainMargin
	if elapsed <= drainAcceptPeriod && left >= drainMinTime {
		return true
	}
	return timeout > 0 && timeout <= left
}
