package eject

import "time"

// Silence measures how long a host with pending answers has sent no byte of any
// of them. This detects a host that lost power or network connectivity long
// before its connections fail. The zero Silence has no pending answers. It is not
// safe for concurrent use.
type Silence struct {
	pending int           // answers in progress
	since   time.Duration // when the last byte arrived, or when the first pending answer was requested
}

// Begin records at now that an answer is requested from the host.
func (s *Silence) Begin(now time.Duration) {
	if s.pending == 0 {
		s.since = now
	}
	s.pending++
}

// End records that an answer is complete or abandoned.
func (s *Silence) End() { s.pending = max(0, s.pending-1) }

// RecordActivity records at now that data arrived from the host.
func (s *Silence) RecordActivity(now time.Duration) { s.since = now }

// Pending returns the number of pending answers.
func (s *Silence) Pending() int { return s.pending }

// For returns how long the host has been silent at now; 0 if no answer is pending.
func (s *Silence) For(now time.Duration) time.Duration {
	if s.pending == 0 {
		return 0
	}
	return max(0, now-s.since)
}
