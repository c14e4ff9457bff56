package admit

import "time"

// Work describes a request that arrives during a graceful shutdown.
type Work struct {
	Stream       bool
	OutputTokens int           // maximum number of tokens in the answer; 0 if unknown
	Timeout      time.Duration // timeout of the request; 0 if none
}

const (
	// drainAcceptPeriod is how long a draining process accepts any work: the load
	// balancer still sends it new callers, who cannot easily go elsewhere.
	drainAcceptPeriod = 3 * time.Second
	// drainTimePerToken is the time set aside for a stream per token of its maximum.
	// Few answers on the users' platform reach their maximum: the slowest of 810
	// took 4.1 ms per token of it.
	drainTimePerToken = 4500 * time.Microsecond
	// drainUnknownStreamTime is the time set aside for a stream of unknown length.
	drainUnknownStreamTime = 5 * time.Second
	// drainMinTime is the minimum time set aside for a request, unless its timeout
	// is shorter.
	drainMinTime = time.Second
	// drainMargin is kept free before the end of the shutdown.
	drainMargin = 600 * time.Millisecond
)

// FitsDrain reports whether work that begins elapsed after the start of a graceful
// shutdown is likely to finish before the process ends, at limit.
func FitsDrain(w Work, elapsed, limit time.Duration) bool {
	if elapsed <= drainAcceptPeriod && elapsed+drainMinTime+drainMargin <= limit {
		return true
	}
	need := drainMinTime
	switch {
	case w.Stream && w.OutputTokens > 0:
		need = max(need, time.Duration(w.OutputTokens)*drainTimePerToken)
	case w.Stream:
		need = drainUnknownStreamTime
	}
	if w.Timeout > 0 {
		need = min(need, w.Timeout)
	}
	return elapsed+need+drainMargin <= limit
}
