package admit

import "time"

// Work describes a request that comes during a planned stop.
type Work struct {
	Stream       bool
	OutputTokens int           // most tokens of the answer; 0 if unknown
	Timeout      time.Duration // longest time that the request may take
}

const (
	// stopPerToken is the time that a loaded engine takes for one token of an
	// answer, with a reserve: engines of the users' platform need 5 ms.
	stopPerToken = 8 * time.Millisecond
	// stopStream is the time set aside for a stream of unknown length.
	stopStream = 5 * time.Second
	// stopLeast is the least time set aside for any request.
	stopLeast = time.Second
	// stopMargin is kept before the end of the stop.
	stopMargin = 700 * time.Millisecond
)

// FitsStop tells whether work that begins when a planned stop has lasted for
// elapsed is likely to end before the process does, at limit.
func FitsStop(w Work, elapsed, limit time.Duration) bool {
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
