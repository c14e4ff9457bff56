// Package wire defines the header, path and object names of the users' platform
// for the stand-ins, and builds the requests, objects and settings files that its
// callers, replicas and operators write.
package wire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Headers of requests and responses.
const (
	HeaderAttempt   = "Dandelionrill-Attempt-Id"
	HeaderSignature = "Dandelionrill-Replica-Signature"
	HeaderExpected  = "Dandelionrill-Expected-Replica"
	HeaderReplica   = "Dandelionrill-Replica-Id"
	HeaderNotRun    = "Dandelionrill-Not-Executed"
	HeaderLastEvent = "Last-Event-Id"
	HeaderResumes   = "Resumes" // the attempt that brought the first event of the stream
	// HeaderStream names, to a stand-in, the stream of a caller that does not name the attempt it
	// continues. Routers pass it on unread.
	HeaderStream   = "Stand-In-Stream"
	HeaderLeaving  = "Server-Leaving"
	HeaderLimit    = "Server-Limit" // requests a second that the replica takes of all routers together
	HeaderModel    = "Dandelionrill-Model"
	HeaderPrompt   = "Dandelionrill-Prompt-Prefix"
	HeaderTenant   = "Dandelionrill-Tenant"  // the customer, as the replica gets to know it
	HeaderCold     = "Dandelionrill-Cold-Ms" // for how much longer the replica is cold
	headerDeadline = "Dandelionrill-Deadline-Ms"
)

// CacheListPath is the path at which a replica lists its cached prompt parts.
const CacheListPath = "/dandelionrill/kv-list"

// Kinds of objects, and the name of the configuration.
const (
	KindConfiguration = "config"
	NameConfiguration = "main"
	KindUpstreams     = "servers"
	KindEvacuations   = "evacuations" // an object's name is a failure domain
)

// SetRequestHeaders sets the attempt, deadline and authorization headers of a
// caller's request.
func SetRequestHeaders(h http.Header, attempt, key string, deadline time.Duration) {
	h.Set(HeaderAttempt, attempt)
	h.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	h.Set("Authorization", "Bearer "+key)
}

// SetResume sets the headers of a caller that takes up a stream again: first is its
// attempt that brought the stream's first event, lastEvent the last event that arrived.
func SetResume(h http.Header, first string, lastEvent int) {
	h.Set(HeaderResumes, first)
	h.Set(HeaderLastEvent, fmt.Sprint(lastEvent))
}

// SetRetryAfter sets the headers of a replica that turns a request away and wants no
// further ones for a time.
func SetRetryAfter(h http.Header, wait time.Duration) {
	h.Set(HeaderNotRun, "1")
	h.Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
}

// SetPrompt sets the headers for the model and the parts of a request's prompt,
// each part as ID:TOKENS.
func SetPrompt(h http.Header, model string, parts ...string) {
	h.Set(HeaderModel, model)
	h.Set(HeaderPrompt, strings.Join(parts, ","))
}

// RouteKind says whether and how requests of a route may be retried.
type RouteKind string

// The kinds of routes, as the configuration names them.
const (
	RouteNonIdempotent RouteKind = "non_idempotent"
	RouteIdempotent    RouteKind = "idempotent"
	RouteStreaming     RouteKind = "streaming"
)

// Route is one route of a configuration.
type Route struct {
	Prefix    string
	Kind      RouteKind
	Resumable bool
	Sticky    bool          // requests name the parts of their prompt
	Service   string        // that of the configuration if empty
	Target    time.Duration // objective for the time of an answer; 0 if there is none
	Priority  int           // the lowest is served first
}

type wireRoute struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"`
	PathPrefix  string    `json:"pathPrefix"`
	RouteKind   RouteKind `json:"routeKind"`
	TimeoutMs   int64     `json:"timeoutMs"`
	Service     string    `json:"service"`
	MaxAttempts int       `json:"maxAttempts"`
	Resumable   bool      `json:"resumable"`
	Sticky      bool      `json:"sticky"`
	TargetMs    int64     `json:"targetLatencyMs,omitempty"`
	Priority    int       `json:"priority,omitempty"`
}

// Customer is the name of the first customer of a Configuration.
const Customer = "desk"

// MaxBodyBytes is the limit on the size of a request body in a Configuration.
const MaxBodyBytes = 1 << 20

// Configuration is a version of the configuration with one host, one service, or two, and
// one or two customers.
type Configuration struct {
	Version  uint64
	Host     string
	Service  string
	Key      string
	OtherKey string // of a second customer; empty if there is none
	Timeout  time.Duration
	Attempts int
	Routes   []Route
	// OtherService is a second service; empty if there is none.
	OtherService string
	// A cold upstream of the first service takes ColdPerSecond requests a second, and one that
	// starts is cold for ColdTime; 0 if there are none.
	ColdPerSecond float64
	ColdTime      time.Duration
}

// Spec returns the spec of the configuration object.
func (c *Configuration) Spec() []byte {
	routes := make([]wireRoute, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, wireRoute{
			Name: r.Prefix, Host: c.Host, PathPrefix: r.Prefix, RouteKind: r.Kind, TimeoutMs: c.Timeout.Milliseconds(),
			Service: cmp.Or(r.Service, c.Service), MaxAttempts: c.Attempts, Resumable: r.Resumable, Sticky: r.Sticky,
			TargetMs: r.Target.Milliseconds(), Priority: r.Priority,
		})
	}
	customers := []map[string]any{{"name": Customer, "apiKeys": []string{c.Key}}}
	if c.OtherKey != "" {
		customers = append(customers, map[string]any{"name": "other", "apiKeys": []string{c.OtherKey}})
	}
	services := []map[string]any{{"name": c.Service, "maxConns": 500}}
	if c.ColdPerSecond > 0 {
		services[0]["coldPerS"], services[0]["coldStartS"] = c.ColdPerSecond, c.ColdTime.Seconds()
	}
	if c.OtherService != "" {
		services = append(services, map[string]any{"name": c.OtherService, "maxConns": 500})
	}
	return encode(map[string]any{
		"version":  c.Version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": MaxBodyBytes, "idleTimeoutMs": 15000},
		"tenants":  customers,
	})
}

// Upstream returns the spec of a replica's upstream object. An empty version is left out.
func Upstream(service, address, version string, leaving bool) []byte {
	e := Entry{Service: service, Address: address, FailureDomain: "a", Version: version, Slots: 16, Leaving: leaving}
	return e.Spec()
}

// Entry is a replica's upstream object.
type Entry struct {
	Service       string
	Address       string
	FailureDomain string
	Version       string // left out if empty
	Slots         int
	Leaving       bool
	StatesCold    bool // states ColdRemaining
	ColdRemaining time.Duration
}

// Spec returns the spec of the object.
func (e *Entry) Spec() []byte {
	state := "ready"
	if e.Leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.FailureDomain, "state": state, "slots": e.Slots, "born": 1,
	}
	if e.Version != "" {
		entry["version"] = e.Version
	}
	if e.StatesCold {
		entry["coldRemainingMs"] = e.ColdRemaining.Milliseconds()
	}
	return encode(entry)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: the package encodes only types that JSON supports
	}
	return data
}

// DefaultMemoryMb is the memory of a process for which Settings name none.
const DefaultMemoryMb = 256

// Settings are the values of a router's settings file.
type Settings struct {
	Host                string
	FailureDomain       string
	Seeds               []string
	FrontendAddress     string
	ReadyAddress        string
	ControlPlaneAddress string
	PlatformAddress     string
	DrainTimeout        time.Duration
	RetryExtra          int           // retries of all routers beyond a share of the requests
	Evacuation          time.Duration // until nothing is sent to an evacuated failure domain; 0 if there are no evacuations
	Pressure            bool          // requests wait at the routers for capacity
	MemoryMb            int           // limit of the process; DefaultMemoryMb if 0
	MaxFds              int           // most descriptors of the process; 4096 if 0
}

// Text returns the content of the settings file.
func (s *Settings) Text() string {
	seeds := string(encode(s.Seeds)) // a JSON list of plain strings is also valid TOML
	contracts := "[]"
	if s.Pressure {
		contracts = `["pressure"]`
	}
	return fmt.Sprintf(`nodeName = %q
zone = %q
seedNodes = %s
heartbeatMs = 300
contracts = %s
[listen]
frontend = %q
ready = %q
controlPlane = %q
[limits]
memoryMb = %d
maxFds = %d
[bounds]
graceS = %v
configApplyMs = 3000
retryRatio = 0.2
retryExtra = %d
retryWindowS = 10
capFactor = 2
contactMs = 3000
evacuationMs = %d
[platform]
address = %q
`, s.Host, s.FailureDomain, seeds, contracts, s.FrontendAddress, s.ReadyAddress, s.ControlPlaneAddress,
		cmp.Or(s.MemoryMb, DefaultMemoryMb), cmp.Or(s.MaxFds, 4096), s.DrainTimeout.Seconds(), s.RetryExtra, s.Evacuation.Milliseconds(), s.PlatformAddress)
}
