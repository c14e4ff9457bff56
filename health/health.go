// Package health tells whether a process should get new work. Liveness is that
// it answers at all; readiness is that all its conditions are met.
package health

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Condition is something that must hold before a process is ready.
type Condition string

// The conditions.
const (
	Configured Condition = "configured" // a configuration is in force
	Listening  Condition = "listening"  // the listeners are open
	Accepting  Condition = "accepting"  // the process is not draining
	Registered Condition = "registered" // an upstream is known
)

// State is a condition as it stands.
type State struct {
	Condition Condition `json:"condition"`
	Met       bool      `json:"met"`
	Reason    string    `json:"reason,omitempty"` // why it is not met
	Since     time.Time `json:"since"`
}

// Health holds the conditions of a process. All methods may be used from many
// goroutines.
type Health struct {
	mu     sync.Mutex
	now    func() time.Time
	states []State
}

// New returns a Health whose conditions are not met yet.
func New(conditions ...Condition) *Health {
	h := &Health{now: time.Now}
	for _, c := range conditions {
		h.states = append(h.states, State{Condition: c, Reason: "starting", Since: h.now()})
	}
	return h
}

// Set records whether a condition is met, and if not why. It returns whether
// that changed. A condition that New was not given is added.
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

// Ready reports whether all conditions are met, and returns them.
func (h *Health) Ready() (bool, []State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ready := true
	for _, s := range h.states {
		ready = ready && s.Met
	}
	return ready, append([]State(nil), h.states...)
}

// ServeLive answers 200 as long as the process answers.
func (h *Health) ServeLive(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, nil)
}

// ServeReady answers 200 when all conditions are met and 503 otherwise, with
// the conditions as JSON.
func (h *Health) ServeReady(w http.ResponseWriter, _ *http.Request) {
	ready, states := h.Ready()
	if !ready {
		respond(w, http.StatusServiceUnavailable, states)
		return
	}
	respond(w, http.StatusOK, states)
}

func respond(w http.ResponseWriter, status int, states []State) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A prober that left cannot be told anything.
	_ = json.NewEncoder(w).Encode(struct {
		Conditions []State `json:"conditions"`
	}{states})
}
