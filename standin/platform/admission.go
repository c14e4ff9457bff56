package platform

import (
	"net/http"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// retryAfterSeconds is the Retry-After header of refused calls.
const retryAfterSeconds = "1"

func countGet(c *Counts)    { c.Get++ }
func countPut(c *Counts)    { c.Put++ }
func countDelete(c *Counts) { c.Delete++ }
func countWatch(c *Counts)  { c.Watch++ }
func countList(c *Counts)   { c.List++ }
func countHosts(c *Counts)  { c.Hosts++ }

// withFaults wraps handler: it counts the call, then applies the configured
// outage, rate limit and delay.
func (s *Server) withFaults(count func(*Counts), handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		outage, overRate, delay := s.admit(count)
		switch {
		case outage == OutageHang:
			s.hangDuringOutage(r)
			control.AbortConnection()
		case outage == OutageRefuse:
			refuse(w, http.StatusServiceUnavailable)
			return
		case overRate:
			refuse(w, http.StatusTooManyRequests)
			return
		}
		if delay > 0 && !sleep(r, delay) {
			return
		}
		handler(w, r)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, http.StatusText(status), status)
}

// sleep waits for d and returns true, or returns false as soon as the client
// disconnects.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit counts the call and returns the faults that apply to it.
func (s *Server) admit(count func(*Counts)) (outage Outage, overRate bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	outage = s.faults.Outage
	overRate = !s.takeRateToken(time.Now())
	if outage != OutageNone || overRate {
		s.counts.Refused++
	}
	return outage, overRate, time.Duration(s.faults.DelayMillis) * time.Millisecond
}

// takeRateToken takes one token from the rate limiter, a token bucket that holds
// at most one second's worth of calls, and returns whether there was one. The
// caller holds mu.
func (s *Server) takeRateToken(now time.Time) bool {
	rate := s.faults.CallsPerSecond
	if rate <= 0 {
		return true
	}
	if s.rateRefilledAt.IsZero() {
		s.rateTokens = rate
	} else {
		s.rateTokens = min(rate, s.rateTokens+rate*now.Sub(s.rateRefilledAt).Seconds())
	}
	s.rateRefilledAt = now
	if s.rateTokens < 1 {
		return false
	}
	s.rateTokens--
	return true
}

// hangDuringOutage blocks until the outage or the call has ended.
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

// loseAnswer returns whether to drop the answer to an update that has just taken
// effect. The caller holds mu.
func (s *Server) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
