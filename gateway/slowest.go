package gateway

import (
	"sync"
	"time"
)

// slowestWindow is the least time for which the duration of an answer counts.
const slowestWindow = 10 * time.Second

// slowestAnswers records the longest duration of the recent answers of each route. All
// methods may be called concurrently.
type slowestAnswers struct {
	mu       sync.Mutex
	began    time.Time // of current
	current  map[string]time.Duration
	previous map[string]time.Duration
}

func newSlowestAnswers(now time.Time) *slowestAnswers {
	return &slowestAnswers{began: now, current: make(map[string]time.Duration)}
}

// record records how long an answer took after its request was complete.
func (s *slowestAnswers) record(route string, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.current[route] = max(s.current[route], took)
}

// slowest returns the longest duration of the recent answers of a route; 0 if it has none.
func (s *slowestAnswers) slowest(route string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return max(s.current[route], s.previous[route])
}

// expire begins a new window if the current one is over. s.mu must be held.
func (s *slowestAnswers) expire(now time.Time) {
	age := now.Sub(s.began)
	if age < slowestWindow {
		return
	}
	s.previous = s.current
	if age >= 2*slowestWindow {
		s.previous = nil
	}
	s.began, s.current = now, make(map[string]time.Duration)
}
