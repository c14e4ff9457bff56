// Package config holds the dynamic configuration of the fleet: customers,
// services and rules. One configuration is in force per process at a time; it
// is decoded and checked whole, then swapped. Start-up settings live in
// package settings.
package config

// Any is the value that a rule field carries to match everything.
const Any = "*"

// Kind tells what stands behind a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // model engines that speak chat completions
	KindPlain Kind = "plain" // plain HTTP services
)

// Config is one immutable version of the dynamic configuration. Slices are
// sorted by ID (rules by their fields), so that equal configurations are equal
// byte for byte once encoded.
type Config struct {
	Version   uint64     `json:"version"`
	ChangeID  string     `json:"change_id"`
	Author    string     `json:"author"`
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services"`
	Rules     []Rule     `json:"rules"`
}

// Customer is an organisation whose front desk sends work.
type Customer struct {
	ID          string   `json:"id"`
	KeyHashes   []string `json:"key_hashes"`    // SHA-256 of the key, lower-case hex
	Weight      int      `json:"weight"`        // share in fair queueing, at least 1
	MaxInFlight int      `json:"max_in_flight"` // per upstream; 0 means no limit
	MaxQueued   int      `json:"max_queued"`    // per upstream; 0 means the agent's default
}

// Service is a named set of interchangeable upstreams.
type Service struct {
	ID             string   `json:"id"`
	Kind           Kind     `json:"kind"`
	LoadMultiple   float64  `json:"load_multiple"`   // most load of one upstream as a multiple of the mean; more than 1
	Models         []string `json:"models"`          // model names served, for KindModel
	Idempotent     []Call   `json:"idempotent"`      // calls that may be repeated, for KindPlain; all others may not
	Resumes        bool     `json:"resumes"`         // the engine continues a cut answer
	ChecksFencing  bool     `json:"checks_fencing"`  // the engine refuses orders with an old fencing number
	TimeoutSeconds int      `json:"timeout_seconds"` // longest upstream call; 0 means the agent's default
}

// Call names HTTP calls of a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Rule allows work of a customer on a service, an upstream and a failure
// domain. Work that no rule allows is refused. Any matches everything.
type Rule struct {
	Customer      string `json:"customer"`
	Service       string `json:"service"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Priority      int    `json:"priority"` // passed to the engine; greater is more urgent
}
