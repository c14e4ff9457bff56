// Package routing holds the dynamic configuration of the request path in the
// fleet's own terms, and finds the route and the customer of a request.
//
// A Table is immutable once built: a request uses one from start to end.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat says what may be repeated of the requests of a route.
type Repeat uint8

// The kinds of routes.
const (
	RepeatNever  Repeat = iota // at most one run
	RepeatSafe                 // idempotent: may run more than once
	RepeatStream               // an event stream: one run, unless it may be resumed
)

// Share is one service of a split route.
type Share struct {
	Service string
	Weight  int
}

// Route leads requests of one host and path prefix to a service.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Repeat      Repeat
	Resumable   bool          // a stream may go on elsewhere after its last event
	Timeout     time.Duration // longest time that a request is kept waiting
	Target      time.Duration // latency objective; of the first event of a stream
	Priority    int           // 0 is the most urgent
	Shares      []Share       // at least one
	MaxAttempts int           // upstreams that one request may be sent to
	Public      bool          // needs no API key
	Prompted    bool          // requests name the parts of a prompt
}

// Streams tells whether answers are event streams.
func (r *Route) Streams() bool { return r.Repeat == RepeatStream }

// Repeatable tells whether a request that may have run can be sent again
// before any part of its answer has been delivered.
func (r *Route) Repeatable() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// Service returns the service for a request, by the weights of the route. The
// same key always gets the same service.
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
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service describes a group of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // that one upstream accepts from all routers together
	Engine         *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // requests processed at once
	CacheTokens int // memory for prompts and answers
}

// Customer is an organisation with its keys.
type Customer struct {
	Name     string
	Priority *int // goes before the priority of the route; nil if none
	Keys     []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration // of a kept connection
}

// Configuration is one version of the dynamic configuration.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}

// Table is a configuration with its indexes. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	Keyed    bool // requests need a key unless their route is public
	routes   map[string]*Route
	services map[string]*Service
	keys     map[string]*Customer
}

// NewTable returns the table of a configuration. It keeps the configuration,
// which the caller must not change afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		Keyed:    len(c.Customers) > 0,
		routes:   make(map[string]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Customer),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey(r.Host, r.PathPrefix)] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.keys[key] = &c.Customers[i]
		}
	}
	return t
}

func routeKey(host, prefix string) string { return strings.ToLower(host) + prefix }

// Route returns the route of a request: of those of its host, the one whose
// prefix begins the path and is longest; nil if there is none. The path is the
// one on the wire, without its query.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	key := routeKey(host, path)
	first := len(host)
	for end := len(key); end > first; end-- {
		if key[end-1] != '/' {
			continue
		}
		if r, ok := t.routes[key[:end]]; ok {
			return r
		}
	}
	return nil
}

// Service returns a service by name; nil if the configuration has none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the holder of an API key; nil if nobody holds it.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// PromptedServices returns the names of the services that get requests which
// name the parts of their prompt.
func (t *Table) PromptedServices() []string {
	var names []string
	for _, r := range t.routes {
		for _, share := range r.Shares {
			if r.Prompted && !slices.Contains(names, share.Service) {
				names = append(names, share.Service)
			}
		}
	}
	return names
}
