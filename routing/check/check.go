// Package check judges a decoded configuration of the request path: mistakes, and the
// differences from the configuration in force with their effect on requests. It is pure:
// no input or output, clock, goroutine or random source. Routes are looked up in the
// same routing.Table that routers use.
package check

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"

	"dandelionrill.example/fleet/routing"
)

// Severity is how serious a finding is.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"   // routers do not put the configuration in force
	SeverityWarning Severity = "warning" // routers put it in force; probably a mistake
)

// Finding is one mistake in a configuration.
type Finding struct {
	Place    string   `json:"place"` // such as routes[3].shares[1].service; empty for the whole configuration
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Reason   string   `json:"reason"`
}

// Code identifies a kind of finding. Codes are part of the output.
type Code string

// The kinds of findings of this package.
const (
	CodeNoVersion          Code = "no-version"
	CodeVersionNotNewer    Code = "version-not-newer"
	CodeDuplicateRoute     Code = "duplicate-route"
	CodeRouteNeverMatches  Code = "route-never-matches"
	CodeEmptyHost          Code = "empty-host"
	CodeUnknownService     Code = "unknown-service"
	CodeUnusedService      Code = "unused-service"
	CodeDuplicateService   Code = "duplicate-service"
	CodeWeights            Code = "split-weights"
	CodeResumable          Code = "resumable-not-streaming"
	CodeAttempts           Code = "max-attempts"
	CodeTimeout            Code = "timeout"
	CodeTimeoutObjective   Code = "timeout-below-objective"
	CodePauseObjective     Code = "pause-objective-over-timeout"
	CodePriority           Code = "priority-out-of-range"
	CodeRegions            Code = "regions-allowed"
	CodeHeaderLimit        Code = "header-limit"
	CodeBodyLimit          Code = "body-limit"
	CodeIdleTimeout        Code = "idle-timeout"
	CodeConnections        Code = "connection-cap"
	CodeSlots              Code = "engine-slots"
	CodeEngineMemory       Code = "engine-memory"
	CodeColdStart          Code = "cold-start"
	CodeDuplicateCustomer  Code = "duplicate-customer"
	CodeCustomerWithoutKey Code = "customer-without-key"
	CodeCustomerName       Code = "customer-name"
	CodeEmptyKey           Code = "empty-key"
	CodeKeyRepeated        Code = "key-repeated"
	CodeKeyOnManyCustomers Code = "key-on-several-customers"
)

const (
	minRequestTokens = 2 // a request holds at least one token of its prompt and one of its answer
	keyHashHexDigits = 8 // enough to tell keys apart in one configuration
)

// Input is a decoded configuration with what the decoded form does not hold. The slices
// are parallel to those of the configuration, or empty.
type Input struct {
	Configuration *routing.Configuration
	Routes        []RouteFields
	Services      []ServiceFields
	Customers     []CustomerFields
}

// RouteFields are fields of a route as they were written.
type RouteFields struct {
	Refused        bool // the decoder refuses the route, which is therefore not complete
	Split          bool // the route has a split
	Attempts       *int // most attempts as written; nil if the field is missing
	PauseObjective time.Duration
	Regions        []string // that requests may be sent to; empty means all
}

// ServiceFields are fields of a service as they were written.
type ServiceFields struct {
	ColdStart     *float64 // seconds; nil if the field is missing
	ColdPerSecond *float64 // requests that a cold upstream takes a second; nil if the field is missing
}

// CustomerFields are fields of a customer as they were written.
type CustomerFields struct {
	Regions []string
}

func fieldsOf[T any](list []T, i int) (fields T) {
	if i < len(list) {
		return list[i]
	}
	return fields
}

// checker collects the findings on one configuration.
type checker struct {
	in       Input
	c        *routing.Configuration
	table    *routing.Table
	keys     map[string]bool
	findings []Finding
}

// Run returns the findings on a configuration, in the order of its parts. inForce is the
// version in force; 0 if there is none or it is not known. No API key appears in them.
func Run(in Input, inForce uint64) []Finding {
	k := &checker{in: in, c: in.Configuration, table: routing.NewTable(in.Configuration), keys: Keys(in.Configuration)}
	k.checkVersion(inForce)
	k.checkRoutes()
	k.checkServices()
	k.checkLimits()
	k.checkCustomers()
	return k.findings
}

// Keys returns the set of the API keys of a configuration.
func Keys(c *routing.Configuration) map[string]bool {
	keys := make(map[string]bool)
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			keys[key] = true
		}
	}
	delete(keys, "")
	return keys
}

// HashKey returns a short hash that stands for an API key in output.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "key#" + hex.EncodeToString(sum[:])[:keyHashHexDigits]
}

// Quote returns a quoted text for output, or the short hash if the text is one of the
// keys.
func Quote(text string, keys map[string]bool) string {
	if keys[text] {
		return HashKey(text)
	}
	return strconv.Quote(text)
}

func (k *checker) quote(text string) string { return Quote(text, k.keys) }

func (k *checker) warn(place string, code Code, format string, args ...any) {
	k.findings = append(k.findings, Finding{
		Place: place, Severity: SeverityWarning, Code: code, Reason: fmt.Sprintf(format, args...),
	})
}

// checkVersion reports a version that routers do not take for a newer one.
func (k *checker) checkVersion(inForce uint64) {
	switch {
	case inForce > 0 && k.c.Version <= inForce:
		k.findings = append(k.findings, Finding{
			Place: "version", Severity: SeverityError, Code: CodeVersionNotNewer,
			Reason: fmt.Sprintf("version %d is not newer than version %d in force; routers ignore it", k.c.Version, inForce),
		})
	case k.c.Version == 0:
		k.warn("version", CodeNoVersion, "no version; routers put it in force only if they have none")
	}
}

// checkRegions reports lists of regions that cannot have been meant.
func (k *checker) checkRegions(place string, regions []string) {
	for i, region := range regions {
		at := fmt.Sprintf("%s.regions[%d]", place, i)
		switch {
		case region == "":
			k.warn(at, CodeRegions, "empty region")
		case slices.Contains(regions[:i], region):
			k.warn(at, CodeRegions, "region %s is listed twice", k.quote(region))
		}
	}
}

func (k *checker) checkPriority(place string, priority int) {
	if priority < 0 || priority > routing.LowestPriority {
		k.warn(place, CodePriority, "priority %d is outside 0 to %d; routers use the nearest of them", priority, routing.LowestPriority)
	}
}

// checkLimits reports limits that contradict each other or those of the process.
func (k *checker) checkLimits() {
	l := k.c.Limits
	switch {
	case l.HeaderBytes <= 0:
		k.warn("limits.header", CodeHeaderLimit, "%d bytes: no limit; only the %d bytes of the process hold", l.HeaderBytes, routing.MaxHeaderBytes)
	case l.HeaderBytes > routing.MaxHeaderBytes:
		k.warn("limits.header", CodeHeaderLimit, "%d bytes are over the %d bytes of the process, which hold", l.HeaderBytes, routing.MaxHeaderBytes)
	}
	if l.BodyBytes <= 0 {
		k.warn("limits.body", CodeBodyLimit, "%d bytes: no limit; only the memory of the router limits bodies", l.BodyBytes)
	}
	switch {
	case l.IdleTimeout < 0:
		k.warn("limits.idle", CodeIdleTimeout, "negative: idle connections are never closed")
	case l.IdleTimeout > 0 && l.IdleTimeout < routing.HeaderTimeout:
		k.warn("limits.idle", CodeIdleTimeout, "%v is below the %v in which a header must arrive", l.IdleTimeout, routing.HeaderTimeout)
	}
}
