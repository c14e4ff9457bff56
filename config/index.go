package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"strings"
)

// ruleKey identifies a rule: all its fields except the priority.
type ruleKey struct {
	customer, service, host, failureDomain string
}

func ruleKeyOf(r Rule) ruleKey {
	return ruleKey{r.Customer, r.Service, r.Host, r.FailureDomain}
}

// Bits of a rule pattern: the fields in which the rule has a specific value
// instead of Any. A more significant bit makes a rule more specific.
const (
	exactFailureDomain = 1 << iota
	exactHost
	exactService
	exactCustomer
	patternCount = 1 << iota
)

// hashPrefixBytes is the length of the hash prefix by which keys are looked up.
const hashPrefixBytes = 8

type keyEntry struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// Index provides lookups in one configuration. It is immutable, so that any
// number of goroutines may use it without locks.
type Index struct {
	cfg          *Config
	keysByPrefix map[[hashPrefixBytes]byte][]keyEntry
	customers    map[string]*Customer
	services     map[string]*Service
	models       map[string]*Service
	rules        map[ruleKey]int
}

// NewIndex builds the index of cfg, which must be valid (see Validate) and must
// not be changed afterwards.
func NewIndex(cfg *Config) *Index {
	x := &Index{
		cfg:          cfg,
		keysByPrefix: make(map[[hashPrefixBytes]byte][]keyEntry, len(cfg.Customers)),
		customers:    make(map[string]*Customer, len(cfg.Customers)),
		services:     make(map[string]*Service, len(cfg.Services)),
		models:       make(map[string]*Service),
		rules:        make(map[ruleKey]int, len(cfg.Rules)),
	}
	for i := range cfg.Customers {
		x.addCustomer(&cfg.Customers[i])
	}
	for i := range cfg.Services {
		x.addService(&cfg.Services[i])
	}
	for _, r := range cfg.Rules {
		x.rules[ruleKeyOf(r)] = r.Priority
	}
	return x
}

func (x *Index) addCustomer(c *Customer) {
	x.customers[c.ID] = c
	for _, h := range c.KeyHashes {
		entry := keyEntry{customer: c}
		if n, err := hex.Decode(entry.hash[:], []byte(h)); err != nil || n != sha256.Size {
			continue
		}
		prefix := [hashPrefixBytes]byte(entry.hash[:hashPrefixBytes])
		x.keysByPrefix[prefix] = append(x.keysByPrefix[prefix], entry)
	}
}

func (x *Index) addService(s *Service) {
	x.services[s.ID] = s
	for _, m := range s.Models {
		x.models[m] = s
	}
}

// Config returns the indexed configuration. The caller must not change it.
func (x *Index) Config() *Config { return x.cfg }

// CustomerByKey returns the customer to whom the API key belongs. Hashes are
// compared in constant time.
func (x *Index) CustomerByKey(key string) (*Customer, bool) {
	hash := sha256.Sum256([]byte(key))
	for _, entry := range x.keysByPrefix[[hashPrefixBytes]byte(hash[:hashPrefixBytes])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			return entry.customer, true
		}
	}
	return nil, false
}

// Customer returns the customer with the given ID.
func (x *Index) Customer(id string) (*Customer, bool) {
	c, ok := x.customers[id]
	return c, ok
}

// Service returns the service with the given ID.
func (x *Index) Service(id string) (*Service, bool) {
	s, ok := x.services[id]
	return s, ok
}

// ServiceForModel returns the service that serves model.
func (x *Index) ServiceForModel(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Allowed reports whether a rule allows requests of customer to the service on
// the host in the failure domain, and returns the priority of the most specific
// such rule. A rule with a specific customer takes precedence over a rule with
// Any in that field; ties are decided by the service, then by the host, then by
// the failure domain.
func (x *Index) Allowed(customer, service, host, failureDomain string) (priority int, ok bool) {
	for pattern := patternCount - 1; pattern >= 0; pattern-- {
		key := ruleKey{Any, Any, Any, Any}
		if pattern&exactCustomer != 0 {
			key.customer = customer
		}
		if pattern&exactService != 0 {
			key.service = service
		}
		if pattern&exactHost != 0 {
			key.host = host
		}
		if pattern&exactFailureDomain != 0 {
			key.failureDomain = failureDomain
		}
		if priority, ok = x.rules[key]; ok {
			return priority, true
		}
	}
	return 0, false
}

// IsIdempotent reports whether a call is idempotent and may therefore be retried.
// All calls to model services are idempotent. Calls to a plain service are
// idempotent only if its configuration lists the method with a prefix of the
// path; prefixes match complete path segments. A call to a plain service whose
// path is not clean (see isCleanPath) is not idempotent, because the upstream may
// resolve it to a path outside the prefix.
func (x *Index) IsIdempotent(service, method, urlPath string) bool {
	s, ok := x.services[service]
	if !ok {
		return false
	}
	if s.Kind == KindModel {
		return true
	}
	if !isCleanPath(urlPath) {
		return false
	}
	for _, c := range s.Idempotent {
		if c.Method == method && hasPathPrefix(urlPath, c.PathPrefix) {
			return true
		}
	}
	return false
}

// isCleanPath reports whether p has no dot segments, no empty segments and none
// of the characters % ; \ ? #, so that it has no escapes, parameters or query.
func isCleanPath(p string) bool {
	if strings.ContainsAny(p, "%;\\?#") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// hasPathPrefix reports whether p begins with the complete path segments of
// prefix.
func hasPathPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}
