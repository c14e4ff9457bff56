package eject

import "time"

// Silence tells for how long a host has owed answers without sending a byte of
// any of them. A host that lost its power or its path shows by that long before
// its connections fail. The zero Silence owes nothing. It is not safe for
// concurrent use.
type Silence struct {
	owed  int           // answers in progress
	since time.Duration // of the last byte, or of the first answer owed
}

// Begin records at now that the host is asked for an answer.
func (s *Silence) Begin(now time.Duration) {
	if s.owed == 0 {
		s.since = now
	}
	s.owed++
}

// End records that an answer is complete or no longer waited for.
func (s *Silence) End() { s.owed = max(0, s.owed-1) }

// Heard records at now that the host sent something.
func (s *Silence) Heard(now time.Duration) { s.since = now }

// Owed returns the number of answers in progress.
func (s *Silence) Owed() int { return s.owed }

// For returns how long the host has been silent at now; 0 if it owes nothing.
func (s *Silence) For(now time.Duration) time.Duration {
	if s.owed == 0 {
		return 0
	}
	return max(0, now-s.since)
}
