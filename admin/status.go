package admin

import "time"

// Status is the state of a process, as PathStatus serves it.
type Status struct {
	Process       string        `json:"process"` // host and role
	Role          string        `json:"role"`
	Host          string        `json:"host"`
	FailureDomain string        `json:"failure_domain"`
	Address       string        `json:"address"` // at which other processes reach this one
	Incarnation   string        `json:"incarnation"`
	Build         string        `json:"build"`
	Started       time.Time     `json:"started"`
	Ready         bool          `json:"ready"`
	Configuration Configuration `json:"configuration"`
	Drain         Drain         `json:"drain"`
	Members       []Member      `json:"members"`
	Upstream      *Upstream     `json:"upstream,omitempty"` // set by agents only
}

// Configuration describes the configuration in force.
type Configuration struct {
	Version          uint64    `json:"version"` // 0 means none
	ChangeID         string    `json:"change_id,omitempty"`
	AdoptedAt        time.Time `json:"adopted_at,omitzero"`
	AdoptedFrom      string    `json:"adopted_from,omitempty"`      // the platform or a peer
	ConfirmedSeconds float64   `json:"confirmed_seconds,omitempty"` // since the version was last confirmed as the newest
}

// Drain describes the progress of a graceful shutdown.
type Drain struct {
	Draining   bool      `json:"draining"`
	Since      time.Time `json:"since,omitzero"`
	InProgress int       `json:"in_progress"` // requests
}

// Member is a host of the fleet as this process sees it.
type Member struct {
	Host          string  `json:"host"`
	Role          string  `json:"role"`
	Service       string  `json:"service,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	Address       string  `json:"address"`
	State         string  `json:"state"`
	Source        string  `json:"source"`      // the host list, or the host itself by its name
	AgeSeconds    float64 `json:"age_seconds"` // since the source reported the host
	ConfigVersion uint64  `json:"config_version,omitempty"`
	InFlight      int     `json:"in_flight,omitempty"`
}

// Upstream describes the load of the upstream of an agent.
type Upstream struct {
	Service  string `json:"service"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Bound    int    `json:"bound"`  // load up to which the agent admits requests
	Window   uint64 `json:"window"` // open ticket window
}
