// Package health provides the liveness and readiness endpoints of a process. A
// process is live if it answers at all, and ready if all of its conditions are
// met.
package health

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Condition is a requirement that must be met before a process is ready.
type Condition string

// Conditions.
const (
	Configured Condition = "configured" // a configuration is in force
	Listening  Condition = "listening"  // the listeners are open
	Accepting  Condition = "accepting"  // the process is not draining
	Registered Condition = "registered" // an upstream is known
)

// State is the current state of a condition.
type State struct {
	Condition Condition `json:"condition"`
	Met       bool      `json:"met"`
	Reason    string    `json:"reason,omitempty"` // why the condition is not met
	Since     time.Time `json:"since"`
}

// Health holds the conditions of a process. All methods may be called
// concurrently.
type Health struct {
	mu     sync.Mutex
	now    func() time.Time
	states []State
}

// New returns a Health for the given conditions, none of which is met yet.
func New(conditions ...Condition) *Health {
	h := &Health{now: time.Now}
	for _, c := range conditions {
		h.states = append(h.states, State{Condition: c, Reason: "starting", Since: h.now()})
	}
	return h
}

// Set records whether a condition is met, and the reason if it is not. It
// reports whether met differs from the previous value. A condition that was not
// passed to New is added, which counts as a difference.
func (h *Health) Set(c Condition, met bool, reason string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if met {
		reason = ""
	}
	for i := range h.states {
		s := &h.states[i]
		if s.Condition != c {
			continue
		}
		changed := s.Met != met
		if changed {
			s.Since = h.now()
		}
		s.Met, s.Reason = met, reason
		return changed
	}
	h.states = append(h.states, State{Condition: c, Met: met, Reason: reason, Since: h.now()})
	return true
}

// Ready reports whether all conditions are met, and returns their states.
func (h *Health) Ready() (bool, []State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ready := true
	for _, s := range h.states {
		ready = ready && s.Met
	}
	return ready, append([]State(nil), h.states...)
}

// ServeLive responds with status 200 as long as the process is able to respond.
func (h *Health) ServeLive(w http.ResponseWriter, _ *http.Request) {
	writeConditions(w, http.StatusOK, nil)
}

// ServeReady responds with status 200 if all conditions are met and with status
// 503 otherwise. The body contains the conditions as JSON.
func (h *Health) ServeReady(w http.ResponseWriter, _ *http.Request) {
	ready, states := h.Ready()
	if !ready {
		writeConditions(w, http.StatusServiceUnavailable, states)
		return
	}
	writeConditions(w, http.StatusOK, states)
}

func writeConditions(w http.ResponseWriter, status int, states []State) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The error is ignored: a client that has disconnected cannot receive the
	// response.
	_ = json.NewEncoder(w).Encode(struct {
		Conditions []State `json:"conditions"`
	}{states})
}
