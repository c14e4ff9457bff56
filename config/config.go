// Package config defines the dynamic configuration of the fleet: customers,
// services and rules. Each process has one configuration in force at a time. A
// new configuration is completely decoded and validated before it replaces the
// old one. Start-up settings are in package settings.
package config

// Any is the wildcard value of a rule field; it matches every value.
const Any = "*"

// Kind is the type of the upstreams of a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // model engines with a chat completions API
	KindPlain Kind = "plain" // plain HTTP services
)

// Config is one immutable version of the dynamic configuration. Normalize sorts
// its slices by ID (rules by their fields), so that equal configurations have
// identical encodings.
type Config struct {
	Version   uint64     `json:"version"`
	ChangeID  string     `json:"change_id"`
	Author    string     `json:"author"`
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services"`
	Rules     []Rule     `json:"rules"`
}

// Customer is an organisation that sends requests to the fleet.
type Customer struct {
	ID          string   `json:"id"`
	KeyHashes   []string `json:"key_hashes"`    // SHA-256 of the key, lower-case hex
	Weight      int      `json:"weight"`        // share in fair queueing, at least 1
	MaxInFlight int      `json:"max_in_flight"` // limit on running and queued requests, per upstream; 0 means no limit
	MaxQueued   int      `json:"max_queued"`    // limit on queued requests, per upstream; 0 means the agent's default
}

// Service is a named set of interchangeable upstreams.
type Service struct {
	ID             string   `json:"id"`
	Kind           Kind     `json:"kind"`
	LoadMultiple   float64  `json:"load_multiple"`   // maximum load of one upstream as a multiple of the mean load; more than 1
	Models         []string `json:"models"`          // model names served, for KindModel
	Idempotent     []Call   `json:"idempotent"`      // calls that may be retried, for KindPlain; all others may not
	Resumes        bool     `json:"resumes"`         // the engine can continue an answer that broke off
	ChecksFencing  bool     `json:"checks_fencing"`  // the engine rejects orders with an outdated fencing number
	TimeoutSeconds int      `json:"timeout_seconds"` // maximum duration of an upstream call; 0 means the agent's default
}

// Call selects HTTP calls to a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Rule allows requests of a customer to a service on a host in a failure domain.
// A field with the value Any matches everything. Requests that no rule allows
// are refused.
type Rule struct {
	Customer      string `json:"customer"`
	Service       string `json:"service"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Priority      int    `json:"priority"` // passed to the engine; greater is more urgent
}
