package gateway

import (
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
)

// turnResult is the way in which a send ended, for the window.
type turnResult uint8

const (
	resultTurnUnused   turnResult = iota // not sent, or ended without an answer
	resultTurnAnswered                   // the upstream has answered
	resultTurnFull                       // refused, since the upstream is full
)

// end ends a turn, if it is held, and grants those that wait.
func (t *turn) end(result turnResult) { t.endAt(result, catalog.Key{}) }

// endAt is end for a turn that was sent to an upstream.
func (t *turn) endAt(result turnResult, key catalog.Key) {
	if t == nil || !t.held {
		return
	}
	s := t.queue
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gateway.queues.now()
	t.held = false
	switch result {
	case resultTurnAnswered:
		delete(s.full, key)
		s.window.Accepted(now, now-t.begun)
	case resultTurnFull:
		t.refusedBy = append(t.refusedBy, key)
		s.window.Full(now, s.markFull(key, now))
	default:
		s.window.Failed(now)
	}
	s.grant(now)
}

// markFull records that an upstream is full, and returns the part of the pool's slots that are
// full now. s.mu must be held.
func (s *serviceQueue) markFull(key catalog.Key, now time.Duration) (part float64) {
	pause := min(max(fullPause, 2*s.full[key].pause), maxFullPause)
	s.full[key] = fullUpstream{until: now + pause, pause: pause}
	s.gateway.board.BackOff(key, pause)
	full, all := 0, 0
	for _, u := range s.gateway.catalog.Load().Service(s.service) {
		if s.gateway.isLeaving(u) {
			continue
		}
		all += u.Slots
		if s.full[u.Key()].until > now {
			full += u.Slots
		}
	}
	return float64(full) / float64(max(1, all))
}

// answered ends the turn after an upstream has answered. The time of a failure says nothing of
// that of the work.
func (t *turn) answered(key catalog.Key, status int) {
	if status < http.StatusInternalServerError {
		t.endAt(resultTurnAnswered, key)
		return
	}
	t.end(resultTurnUnused)
}

// forgetRefusals allows the upstreams again that refused the request since they were full, and
// reports whether there were any.
func (t *turn) forgetRefusals(tried map[catalog.Key]bool) bool {
	if t == nil || len(t.refusedBy) == 0 {
		return false
	}
	for _, key := range t.refusedBy {
		delete(tried, key)
	}
	t.refusedBy = nil
	return true
}

// refusedAsFull ends the turn after the upstream has refused it since it is full.
func (t *turn) refusedAsFull(key catalog.Key) {
	if t != nil && t.held {
		t.queue.gateway.metrics.queue.Add("upstream_full", 1)
		t.endAt(resultTurnFull, key)
	}
}
