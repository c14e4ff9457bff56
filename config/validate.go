package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"strings"
)

// Limits on the values in a configuration.
const (
	MaxIDBytes        = 63
	MaxWeight         = 1000
	MaxLimit          = 1 << 20 // of MaxInFlight and MaxQueued
	MaxLoadMultiple   = 100
	MaxTimeoutSeconds = 24 * 60 * 60
	MaxPriority       = 100 // priorities range from -MaxPriority to MaxPriority
)

const keyHashBytes = 32 // length of a SHA-256 hash

const (
	allowedID       = "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
	allowedUniqueID = "an ID that is not used by another row"
)

// Finding is one invalid value in a configuration.
type Finding struct {
	Place   string // path of the field, such as customers[3].weight
	Value   string // the invalid value
	Allowed string // description of the allowed values
}

// String formats the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %q: allowed: %s", f.Place, f.Value, f.Allowed)
}

// InvalidError contains all findings on a configuration.
type InvalidError struct {
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("config: %d findings", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// validator collects findings, and the values seen so far that must be unique.
type validator struct {
	findings  []Finding
	customers map[string]bool
	services  map[string]bool
	hashes    map[string]bool
	models    map[string]bool
}

// Validate returns all findings on cfg. A configuration without findings may be
// adopted.
func Validate(cfg *Config) []Finding {
	v := &validator{
		customers: make(map[string]bool, len(cfg.Customers)),
		services:  make(map[string]bool, len(cfg.Services)),
		hashes:    make(map[string]bool, len(cfg.Customers)),
		models:    make(map[string]bool),
	}
	for i := range cfg.Customers {
		v.checkCustomer(fmt.Sprintf("customers[%d]", i), &cfg.Customers[i])
	}
	for i := range cfg.Services {
		v.checkService(fmt.Sprintf("services[%d]", i), &cfg.Services[i])
	}
	v.checkRules(cfg.Rules)
	return v.findings
}

func (v *validator) addFinding(place string, value any, allowed string) {
	v.findings = append(v.findings, Finding{Place: place, Value: fmt.Sprint(value), Allowed: allowed})
}

// checkID checks the format of an ID and that seen does not contain it yet, and
// adds it to seen.
func (v *validator) checkID(place, id string, seen map[string]bool) {
	if !isValidID(id) {
		v.addFinding(place, id, allowedID)
	}
	if seen[id] {
		v.addFinding(place, id, allowedUniqueID)
	}
	seen[id] = true
}

func (v *validator) checkRange(place string, value, low, high int) {
	if value < low || value > high {
		v.addFinding(place, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) checkCustomer(place string, c *Customer) {
	v.checkID(place+".id", c.ID, v.customers)
	if len(c.KeyHashes) == 0 {
		v.addFinding(place+".key_hashes", "", "at least one SHA-256 hash")
	}
	for i, h := range c.KeyHashes {
		v.checkKeyHash(fmt.Sprintf("%s.key_hashes[%d]", place, i), h)
	}
	v.checkRange(place+".weight", c.Weight, 1, MaxWeight)
	v.checkRange(place+".max_in_flight", c.MaxInFlight, 0, MaxLimit)
	v.checkRange(place+".max_queued", c.MaxQueued, 0, MaxLimit)
}

func (v *validator) checkKeyHash(place, hash string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		v.addFinding(place, hash, "64 lower-case hexadecimal digits")
	}
	if v.hashes[hash] {
		v.addFinding(place, hash, "a hash that is not used elsewhere in the configuration")
	}
	v.hashes[hash] = true
}

func (v *validator) checkService(place string, s *Service) {
	v.checkID(place+".id", s.ID, v.services)
	if !(s.LoadMultiple > 1 && s.LoadMultiple <= MaxLoadMultiple) || math.IsNaN(s.LoadMultiple) {
		v.addFinding(place+".load_multiple", s.LoadMultiple, fmt.Sprintf("more than 1, at most %d", MaxLoadMultiple))
	}
	v.checkRange(place+".timeout_seconds", s.TimeoutSeconds, 0, MaxTimeoutSeconds)
	switch s.Kind {
	case KindModel:
		v.checkModelService(place, s)
	case KindPlain:
		v.checkPlainService(place, s)
	default:
		v.addFinding(place+".kind", s.Kind, "model or plain")
	}
}

func (v *validator) checkModelService(place string, s *Service) {
	if len(s.Models) == 0 {
		v.addFinding(place+".models", "", "at least one model name")
	}
	for i, m := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", place, i)
		if m == "" || strings.TrimSpace(m) != m {
			v.addFinding(at, m, "a non-empty name without leading or trailing spaces")
		}
		if v.models[m] {
			v.addFinding(at, m, "a model name that is not listed elsewhere")
		}
		v.models[m] = true
	}
	if len(s.Idempotent) != 0 {
		v.addFinding(place+".idempotent", len(s.Idempotent), "none for a service of kind model")
	}
}

func (v *validator) checkPlainService(place string, s *Service) {
	if len(s.Models) != 0 {
		v.addFinding(place+".models", strings.Join(s.Models, ";"), "none for a service of kind plain")
	}
	if s.Resumes {
		v.addFinding(place+".resumes", s.Resumes, "false for a service of kind plain")
	}
	for i, c := range s.Idempotent {
		at := fmt.Sprintf("%s.idempotent[%d]", place, i)
		if !isValidMethod(c.Method) {
			v.addFinding(at+".method", c.Method, "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS")
		}
		if !strings.HasPrefix(c.PathPrefix, "/") || !isCleanPath(c.PathPrefix) {
			v.addFinding(at+".path_prefix", c.PathPrefix, "a path that begins with /, without dot segments, empty segments or any of %;\\?#")
		}
	}
}

func (v *validator) checkRules(rules []Rule) {
	seen := make(map[ruleKey]bool, len(rules))
	for i, r := range rules {
		place := fmt.Sprintf("rules[%d]", i)
		if r.Customer != Any && !v.customers[r.Customer] {
			v.addFinding(place+".customer", r.Customer, "* or the ID of a customer")
		}
		if r.Service != Any && !v.services[r.Service] {
			v.addFinding(place+".service", r.Service, "* or the ID of a service")
		}
		if r.Host != Any && !isValidID(r.Host) {
			v.addFinding(place+".host", r.Host, "* or "+allowedID)
		}
		if r.FailureDomain != Any && !isValidID(r.FailureDomain) {
			v.addFinding(place+".failure_domain", r.FailureDomain, "* or "+allowedID)
		}
		v.checkRange(place+".priority", r.Priority, -MaxPriority, MaxPriority)
		if seen[ruleKeyOf(r)] {
			v.addFinding(place, r.Customer+","+r.Service+","+r.Host+","+r.FailureDomain, "a combination of fields that no other rule has")
		}
		seen[ruleKeyOf(r)] = true
	}
}

func isValidID(id string) bool {
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

func isValidMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
