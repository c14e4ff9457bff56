package gateway

import (
	"sync"
	"time"
)

// slowestWindow is the least time for which the duration of an answer counts.
const slowestWindow = 10 * time.Second

// slowestAnswers records the longest duration and the number of the recent answers of each
// route. All methods may be called concurrently.
type slowestAnswers struct {
	mu       sync.Mutex
	began    time.Time // of current
	current  map[string]routeAnswers
	previous map[string]routeAnswers
}

// routeAnswers are the answers of a route in one window.
type routeAnswers struct {
	slowest time.Duration
	count   int
}

func newSlowestAnswers(now time.Time) *slowestAnswers {
	return &slowestAnswers{began: now, current: make(map[string]routeAnswers)}
}

// record records how long an answer took after its request was complete.
func (s *slowestAnswers) record(route string, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	a := s.current[route]
	s.current[route] = routeAnswers{max(a.slowest, took), a.count + 1}
}

// slowest returns the longest duration of the recent answers of a route, 0 if it has none, and
// their number.
func (s *slowestAnswers) slowest(route string, now time.Time) (took time.Duration, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	a, b := s.current[route], s.previous[route]
	return max(a.slowest, b.slowest), a.count + b.count
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
	s.began, s.current = now, make(map[string]routeAnswers)
}
