package eject

import "time"

// Silence measures how long a host with pending answers has sent no byte of any
// of them. This detects a host that lost power or network connectivity long
// before its connections fail. The zero Silence has no pending answers. It is not
// safe for concurrent use.
type Silence struct {
	pending int           // answers in progress
	blocked int           // of these, whose next bytes are not read yet
	since   time.Duration // when the last byte arrived, or when the first pending answer was requested
}

// Begin records at now that an answer is requested from the host.
func (s *Silence) Begin(now time.Duration) {
	if s.pending <= s.blocked {
		s.since = now
	}
	s.pending++
}

// End records that an answer is complete or abandoned.
func (s *Silence) End() { s.pending = max(0, s.pending-1) }

// Block records that an answer is not read for a time, since its caller takes no more: the host
// may be unable to send. Unblock must follow before its End.
func (s *Silence) Block() { s.blocked++ }

// Unblock records at now that an answer is read again.
func (s *Silence) Unblock(now time.Duration) {
	if s.pending <= s.blocked {
		s.since = now
	}
	s.blocked = max(0, s.blocked-1)
}

// RecordActivity records at now that data arrived from the host.
func (s *Silence) RecordActivity(now time.Duration) { s.since = now }

// Pending returns the number of pending answers.
func (s *Silence) Pending() int { return s.pending }

// For returns how long the host has been silent at now; 0 if no answer is waited for.
func (s *Silence) For(now time.Duration) time.Duration {
	if s.pending <= s.blocked {
		return 0
	}
	return max(0, now-s.since)
}
