package admit

import "time"

// Work describes a request that comes during a planned stop.
type Work struct {
	Stream       bool
	OutputTokens int           // most tokens of the answer; 0 if unknown
	Timeout      time.Duration // longest time that the request may take
}

const (
	// stopOpen is how long a stopping process begins any work: the balancer
	// still sends it new callers, who could not easily go elsewhere.
	stopOpen = 3 * time.Second
	// stopPerToken is the time of an answer for each token that it may have at
	// most. Few answers of the users' platform reach their most: 4.1 ms was the
	// longest of 810.
	stopPerToken = 4500 * time.Microsecond
	// stopStream is the time set aside for a stream of unknown length.
	stopStream = 5 * time.Second
	// stopLeast is the least time set aside for any request.
	stopLeast = time.Second
	// stopMargin is kept before the end of the stop.
	stopMargin = 600 * time.Millisecond
)

// FitsStop tells whether work that begins when a planned stop has lasted for
// elapsed is likely to end before the process does, at limit.
func FitsStop(w Work, elapsed, limit time.Duration) bool {
	if elapsed <= stopOpen && elapsed+stopLeast+stopMargin <= limit {
		return true
	}
	need := stopLeast
	switch {
	case w.Stream && w.OutputTokens > 0:
		need = max(need, time.Duration(w.OutputTokens)*stopPerToken)
	case w.Stream:
		need = stopStream
	}
	if w.Timeout > 0 {
		need = min(need, w.Timeout)
	}
	return elapsed+need+stopMargin <= limit
}
