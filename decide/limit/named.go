package limit

import "time"

// EndDelay is the time since the last answer that named a limit after which an answer that
// names none ends it: answers may overtake each other, and only some of them may name it.
const EndDelay = time.Second

// Kind tells whether an answer names a limit.
type Kind uint8

// Kinds of Named.
const (
	None      Kind = iota // the answer names no limit
	PerSecond             // it names one
	Malformed             // it names one that cannot be read
)

// Named is what an answer of an upstream says of its limit.
type Named struct {
	Kind Kind
	Rate float64 // requests a second, of all callers together; 0 or more
}

// Statement is the newest statement on the limit of an upstream.
type Statement struct {
	Rate    float64 // requests a second; 0 if there is no limit
	Limited bool
	At      time.Duration // monotonic time
}

// After returns the statement that holds after an answer at a monotonic time, and whether
// the answer counts as a statement.
func (s Statement) After(now time.Duration, named Named) (Statement, bool) {
	switch {
	case named.Kind == PerSecond && named.Rate < MaxRate:
		return Statement{Rate: named.Rate, Limited: true, At: now}, true
	case named.Kind == Malformed, !s.Limited, now-s.At < EndDelay:
		return s, false
	}
	return Statement{At: now}, true
}
