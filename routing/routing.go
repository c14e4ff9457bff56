// Package routing defines the dynamic configuration of the request path,
// independently of its encoding, and looks up the route and the customer of a
// request.
//
// A Table is immutable: a request uses the same one from start to end.
package routing

import (
	"slices"
	"strings"
	"time"

	"dandelionrill.example/fleet/internal/headtext"
	"github.com/cespare/xxhash/v2"
)

// Repeat is whether a request of a route may be run more than once.
type Repeat uint8

// Kinds of routes.
const (
	RepeatNever      Repeat = iota // not idempotent: runs at most once
	RepeatIdempotent               // idempotent: may run more than once
	RepeatStream                   // an event stream: runs once, unless it can be resumed
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route sends requests for one host and path prefix to one or more services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Repeat           Repeat
	Resumable        bool          // a stream can continue on another upstream after its last event
	Timeout          time.Duration // timeout of a request
	LatencyTarget    time.Duration // latency objective; for a stream, of its first event
	Priority         int           // 0 is the highest
	Shares           []Share       // at least one
	MaxAttempts      int           // most upstreams that one request is sent to
	Public           bool          // requires no API key
	NamesPromptParts bool          // requests name the parts of their prompt
	Regions          []string      // whose upstreams may get the requests; empty allows all
}

// IsStream reports whether answers are event streams.
func (r *Route) IsStream() bool { return r.Repeat == RepeatStream }

// Repeatable reports whether a request that may have run can be sent again, as long
// as no part of its answer has been delivered.
func (r *Route) Repeatable() bool {
	return r.Repeat == RepeatIdempotent || r.Repeat == RepeatStream && r.Resumable
}

// Service returns the service for the request with the key, chosen by the weights of
// the route. The same key always gets the same service.
func (r *Route) Service(key string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service describes a group of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // most connections that one upstream accepts from all routers together
	// ColdPerSecond is how many requests a second a cold upstream takes of all routers
	// together; 0 if upstreams are never cold.
	ColdPerSecond float64
	ColdTime      time.Duration // how long an upstream is cold after a start during traffic
	Engine        *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // requests processed concurrently
	CacheTokens int // cache capacity for prompts and answers, in tokens
}

// Customer is an organisation with its API keys.
type Customer struct {
	Name     string
	Priority *int // overrides the priority of the route; nil if not set
	Keys     []string
	Regions  []string // whose upstreams may get its requests; empty allows all
}

// HasValidName reports whether upstreams can be told the customer by its name, which they read from
// the head of a request. They are not told an empty one.
func (c *Customer) HasValidName() bool { return c.Name == "" || headtext.IsIdentifier(c.Name) }

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration // of a kept-alive connection
}

// Configuration is one version of the dynamic configuration.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}

// Table is an indexed configuration. It is immutable.
type Table struct {
	Version     uint64
	Limits      Limits
	RequiresKey bool // requests require an API key unless their route is public
	HasCold     bool // upstreams of some service can be cold
	routes      map[string]*Route
	services    map[string]*Service
	keys        map[string]*Customer
}

// NewTable returns the table of a configuration. It retains the configuration,
// which the caller must not modify afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Version:     c.Version,
		Limits:      c.Limits,
		RequiresKey: len(c.Customers) > 0,
		routes:      make(map[string]*Route, len(c.Routes)),
		services:    make(map[string]*Service, len(c.Services)),
		keys:        make(map[string]*Customer),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey(r.Host, r.PathPrefix)] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
		t.HasCold = t.HasCold || c.Services[i].ColdPerSecond > 0
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.keys[key] = &c.Customers[i]
		}
	}
	return t
}

func routeKey(host, prefix string) string { return strings.ToLower(host) + prefix }

// Route returns the route of a request: among the routes of the host, the one with
// the longest prefix of the path; nil if there is none. The path is the encoded one
// from the request line, without the query.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	key := routeKey(host, path)
	hostLength := len(host)
	for end := len(key); end > hostLength; end-- {
		if key[end-1] != '/' {
			continue
		}
		if r, ok := t.routes[key[:end]]; ok {
			return r
		}
	}
	return nil
}

// Service returns the service with the name; nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the customer with the API key; nil if there is none.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// PromptedServices returns the names of the services that receive requests that name
// the parts of their prompt.
func (t *Table) PromptedServices() []string {
	var names []string
	for _, r := range t.routes {
		for _, share := range r.Shares {
			if r.NamesPromptParts && !slices.Contains(names, share.Service) {
				names = append(names, share.Service)
			}
		}
	}
	return names
}

// SplitsPrompted reports whether a route whose requests name the parts of their prompt has several
// services.
func (t *Table) SplitsPrompted() bool {
	for _, r := range t.routes {
		if r.NamesPromptParts && len(r.Shares) > 1 {
			return true
		}
	}
	return false
}
