package platform

import (
	"net/http"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// retryAfter is the Retry-After of refused calls, in seconds.
const retryAfter = "1"

func countGet(c *Counts)    { c.Get++ }
func countPut(c *Counts)    { c.Put++ }
func countDelete(c *Counts) { c.Delete++ }
func countWatch(c *Counts)  { c.Watch++ }
func countList(c *Counts)   { c.List++ }
func countHosts(c *Counts)  { c.Hosts++ }

// call wraps handler with counting, the outage, the rate limit and the delay.
func (s *Server) call(count func(*Counts), handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		outage, overRate, delay := s.admit(count)
		switch {
		case outage == OutageHang:
			s.hangDuringOutage(r)
			control.Cut()
		case outage == OutageRefuse:
			refuse(w, http.StatusServiceUnavailable)
			return
		case overRate:
			refuse(w, http.StatusTooManyRequests)
			return
		}
		if delay > 0 && !pause(r, delay) {
			return
		}
		handler(w, r)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, http.StatusText(status), status)
}

// pause waits and returns whether the client is still there.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit counts the call and returns what stands against it.
func (s *Server) admit(count func(*Counts)) (outage Outage, overRate bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	outage = s.faults.Outage
	overRate = !s.takeRate(time.Now())
	if outage != OutageNone || overRate {
		s.counts.Refused++
	}
	return outage, overRate, time.Duration(s.faults.DelayMillis) * time.Millisecond
}

// takeRate takes one call from the rate, of which one second's worth may be
// saved up. The caller holds mu.
func (s *Server) takeRate(now time.Time) bool {
	rate := s.faults.CallsPerSecond
	if rate <= 0 {
		return true
	}
	if s.allowedAt.IsZero() {
		s.allowed = rate
	} else {
		s.allowed = min(rate, s.allowed+rate*now.Sub(s.allowedAt).Seconds())
	}
	s.allowedAt = now
	if s.allowed < 1 {
		return false
	}
	s.allowed--
	return true
}

// hangDuringOutage returns when the outage or the call has ended.
func (s *Server) hangDuringOutage(r *http.Request) {
	for {
		s.mu.Lock()
		outage, changed := s.faults.Outage, s.changed
		s.mu.Unlock()
		if outage != OutageHang || r.Context().Err() != nil {
			return
		}
		control.Hang(r, changed)
	}
}

// loseAnswer returns whether the answer of an update that has just taken effect
// is to be lost. The caller holds mu.
func (s *Server) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
