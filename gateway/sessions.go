package gateway

import (
	"maps"
	"slices"
	"sync"
)

// maxSessionParts is the number of last parts after which the oldest are forgotten; up to twice as
// many are held.
const maxSessionParts = 8192

// sessions records the services whose callers have sessions: requests that differ share the last
// part of their prompt, so that a cache may hold it from an earlier turn. All methods may be called
// concurrently.
type sessions struct {
	mu       sync.Mutex
	current  map[uint64]uint64 // fingerprint of the newest request, by the last part of its prompt
	previous map[uint64]uint64 // those before
	services map[string]bool
}

// Record records a request of a service by the last part of its prompt and its fingerprint.
func (s *sessions) Record(service string, part, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.current[part]
	if !ok {
		known, ok = s.previous[part]
	}
	if ok && known != fingerprint {
		s.add(service)
	}
	if s.current == nil || len(s.current) >= maxSessionParts {
		s.previous, s.current = s.current, make(map[uint64]uint64)
	}
	s.current[part] = fingerprint
}

// Restore records services that other routers have recorded, or this one before its restart.
func (s *sessions) Restore(services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range services {
		s.add(service)
	}
}

// add records a service. s.mu must be held.
func (s *sessions) add(service string) {
	if s.services == nil {
		s.services = make(map[string]bool)
	}
	s.services[service] = true
}

// Services returns the services with sessions, sorted.
func (s *sessions) Services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.services))
}

// Any reports whether one of the services has sessions.
func (s *sessions) Any(services []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(services, func(service string) bool { return s.services[service] })
}

// SessionServices returns the services whose callers have sessions, by what this router knows.
func (g *Gateway) SessionServices() []string { return g.sessions.Services() }

// RestoreSessionServices records services whose callers have sessions.
func (g *Gateway) RestoreSessionServices(services []string) { g.sessions.Restore(services) }
