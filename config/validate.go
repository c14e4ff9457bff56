package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"strings"
)

// Limits of the values in a configuration.
const (
	MaxIDBytes        = 63
	MaxWeight         = 1000
	MaxLimit          = 1 << 20 // MaxInFlight and MaxQueued
	MaxLoadMultiple   = 100
	MaxTimeoutSeconds = 24 * 60 * 60
	MaxPriority       = 100 // priorities lie between -MaxPriority and MaxPriority
)

const keyHashBytes = 32

const (
	allowedID       = "1 to 63 of a-z, 0-9, '.', '_' and '-', first a letter or digit"
	allowedUniqueID = "an ID that no other row has"
)

// Finding is one fault of a configuration.
type Finding struct {
	Place   string // path of the field, such as customers[3].weight
	Value   string // as found
	Allowed string // what the field may hold
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %q: allowed: %s", f.Place, f.Value, f.Allowed)
}

// InvalidError carries all findings on a configuration.
type InvalidError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("config: %d findings", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// validator collects findings.
type validator struct {
	findings  []Finding
	customers map[string]bool
	services  map[string]bool
	hashes    map[string]bool
	models    map[string]bool
}

// Validate returns every finding on cfg; none means that cfg may be adopted.
func Validate(cfg *Config) []Finding {
	v := &validator{
		customers: make(map[string]bool, len(cfg.Customers)),
		services:  make(map[string]bool, len(cfg.Services)),
		hashes:    make(map[string]bool, len(cfg.Customers)),
		models:    make(map[string]bool),
	}
	for i := range cfg.Customers {
		v.customer(fmt.Sprintf("customers[%d]", i), &cfg.Customers[i])
	}
	for i := range cfg.Services {
		v.service(fmt.Sprintf("services[%d]", i), &cfg.Services[i])
	}
	v.rules(cfg.Rules)
	return v.findings
}

func (v *validator) add(place string, value any, allowed string) {
	v.findings = append(v.findings, Finding{Place: place, Value: fmt.Sprint(value), Allowed: allowed})
}

// unique checks the form of an ID and that it is new to seen.
func (v *validator) unique(place, id string, seen map[string]bool) {
	if !validID(id) {
		v.add(place, id, allowedID)
	}
	if seen[id] {
		v.add(place, id, allowedUniqueID)
	}
	seen[id] = true
}

func (v *validator) within(place string, value, low, high int) {
	if value < low || value > high {
		v.add(place, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) customer(place string, c *Customer) {
	v.unique(place+".id", c.ID, v.customers)
	if len(c.KeyHashes) == 0 {
		v.add(place+".key_hashes", "", "at least one SHA-256 hash")
	}
	for i, h := range c.KeyHashes {
		v.keyHash(fmt.Sprintf("%s.key_hashes[%d]", place, i), h)
	}
	v.within(place+".weight", c.Weight, 1, MaxWeight)
	v.within(place+".max_in_flight", c.MaxInFlight, 0, MaxLimit)
	v.within(place+".max_queued", c.MaxQueued, 0, MaxLimit)
}

func (v *validator) keyHash(place, hash string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		v.add(place, hash, "64 lower-case hexadecimal digits")
	}
	if v.hashes[hash] {
		v.add(place, hash, "a hash that stands nowhere else")
	}
	v.hashes[hash] = true
}

func (v *validator) service(place string, s *Service) {
	v.unique(place+".id", s.ID, v.services)
	if !(s.LoadMultiple > 1 && s.LoadMultiple <= MaxLoadMultiple) || math.IsNaN(s.LoadMultiple) {
		v.add(place+".load_multiple", s.LoadMultiple, fmt.Sprintf("more than 1, at most %d", MaxLoadMultiple))
	}
	v.within(place+".timeout_seconds", s.TimeoutSeconds, 0, MaxTimeoutSeconds)
	switch s.Kind {
	case KindModel:
		v.modelService(place, s)
	case KindPlain:
		v.plainService(place, s)
	default:
		v.add(place+".kind", s.Kind, "model or plain")
	}
}

func (v *validator) modelService(place string, s *Service) {
	if len(s.Models) == 0 {
		v.add(place+".models", "", "at least one model name")
	}
	for i, m := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", place, i)
		if m == "" || strings.TrimSpace(m) != m {
			v.add(at, m, "a name without spaces around it")
		}
		if v.models[m] {
			v.add(at, m, "a model that no other service serves")
		}
		v.models[m] = true
	}
	if len(s.Idempotent) != 0 {
		v.add(place+".idempotent", len(s.Idempotent), "none for a service of kind model")
	}
}

func (v *validator) plainService(place string, s *Service) {
	if len(s.Models) != 0 {
		v.add(place+".models", strings.Join(s.Models, ";"), "none for a service of kind plain")
	}
	if s.Resumes {
		v.add(place+".resumes", s.Resumes, "false for a service of kind plain")
	}
	for i, c := range s.Idempotent {
		at := fmt.Sprintf("%s.idempotent[%d]", place, i)
		if !validMethod(c.Method) {
			v.add(at+".method", c.Method, "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS")
		}
		if !strings.HasPrefix(c.PathPrefix, "/") || !cleanPath(c.PathPrefix) {
			v.add(at+".path_prefix", c.PathPrefix, "a clean path that begins with /")
		}
	}
}

func (v *validator) rules(rules []Rule) {
	seen := make(map[ruleKey]bool, len(rules))
	for i, r := range rules {
		place := fmt.Sprintf("rules[%d]", i)
		if r.Customer != Any && !v.customers[r.Customer] {
			v.add(place+".customer", r.Customer, "* or the ID of a customer")
		}
		if r.Service != Any && !v.services[r.Service] {
			v.add(place+".service", r.Service, "* or the ID of a service")
		}
		if r.Host != Any && !validID(r.Host) {
			v.add(place+".host", r.Host, "* or "+allowedID)
		}
		if r.FailureDomain != Any && !validID(r.FailureDomain) {
			v.add(place+".failure_domain", r.FailureDomain, "* or "+allowedID)
		}
		v.within(place+".priority", r.Priority, -MaxPriority, MaxPriority)
		if seen[keyOf(r)] {
			v.add(place, r.Customer+","+r.Service+","+r.Host+","+r.FailureDomain, "fields that no other rule has")
		}
		seen[keyOf(r)] = true
	}
}

func validID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for i := 0; i < len(id); i++ {
		c := id[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

func validMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
