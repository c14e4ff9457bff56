package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"strings"
)

// ruleKey identifies a rule.
type ruleKey struct {
	customer, service, host, failureDomain string
}

func keyOf(r Rule) ruleKey {
	return ruleKey{r.Customer, r.Service, r.Host, r.FailureDomain}
}

// Bits of a rule pattern: which fields are named. A more significant bit makes
// a rule more specific.
const (
	namesFailureDomain = 1 << iota
	namesHost
	namesService
	namesCustomer
	patterns = 1 << iota
)

// bucketBytes is the length of a hash prefix by which keys are found.
const bucketBytes = 8

type keyEntry struct {
	hash     [sha256.Size]byte
	customer *Customer
}

// Index answers look-ups on one configuration. It is immutable: any number of
// goroutines may read it without locks.
type Index struct {
	cfg       *Config
	keys      map[[bucketBytes]byte][]keyEntry
	customers map[string]*Customer
	services  map[string]*Service
	models    map[string]*Service
	rules     map[ruleKey]int
}

// NewIndex builds the look-ups of cfg, which must have no findings and must not
// be changed afterwards.
func NewIndex(cfg *Config) *Index {
	x := &Index{
		cfg:       cfg,
		keys:      make(map[[bucketBytes]byte][]keyEntry, len(cfg.Customers)),
		customers: make(map[string]*Customer, len(cfg.Customers)),
		services:  make(map[string]*Service, len(cfg.Services)),
		models:    make(map[string]*Service),
		rules:     make(map[ruleKey]int, len(cfg.Rules)),
	}
	for i := range cfg.Customers {
		x.addCustomer(&cfg.Customers[i])
	}
	for i := range cfg.Services {
		x.addService(&cfg.Services[i])
	}
	for _, r := range cfg.Rules {
		x.rules[keyOf(r)] = r.Priority
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
		bucket := [bucketBytes]byte(entry.hash[:bucketBytes])
		x.keys[bucket] = append(x.keys[bucket], entry)
	}
}

func (x *Index) addService(s *Service) {
	x.services[s.ID] = s
	for _, m := range s.Models {
		x.models[m] = s
	}
}

// Config returns the configuration of the index. It must not be changed.
func (x *Index) Config() *Config { return x.cfg }

// CustomerByKey returns the customer who holds key. Hashes are compared in
// constant time.
func (x *Index) CustomerByKey(key string) (*Customer, bool) {
	hash := sha256.Sum256([]byte(key))
	for _, entry := range x.keys[[bucketBytes]byte(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			return entry.customer, true
		}
	}
	return nil, false
}

// Customer returns the customer of that ID.
func (x *Index) Customer(id string) (*Customer, bool) {
	c, ok := x.customers[id]
	return c, ok
}

// Service returns the service of that ID.
func (x *Index) Service(id string) (*Service, bool) {
	s, ok := x.services[id]
	return s, ok
}

// ServiceForModel returns the service that serves model.
func (x *Index) ServiceForModel(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Allowed tells whether a rule allows work of customer on that service, host
// and failure domain, and the priority of the most specific such rule. A rule
// that names the customer is more specific than one that does not; among equals
// the service decides, then the host, then the failure domain.
func (x *Index) Allowed(customer, service, host, failureDomain string) (priority int, ok bool) {
	for pattern := patterns - 1; pattern >= 0; pattern-- {
		key := ruleKey{Any, Any, Any, Any}
		if pattern&namesCustomer != 0 {
			key.customer = customer
		}
		if pattern&namesService != 0 {
			key.service = service
		}
		if pattern&namesHost != 0 {
			key.host = host
		}
		if pattern&namesFailureDomain != 0 {
			key.failureDomain = failureDomain
		}
		if priority, ok = x.rules[key]; ok {
			return priority, true
		}
	}
	return 0, false
}

// MayRepeat tells whether a call is idempotent. All calls to model services
// are; of a plain service only those listed, by method and by whole path
// segments. A path that is not clean may not be repeated.
func (x *Index) MayRepeat(service, method, urlPath string) bool {
	s, ok := x.services[service]
	if !ok {
		return false
	}
	if s.Kind == KindModel {
		return true
	}
	if !cleanPath(urlPath) {
		return false
	}
	for _, c := range s.Idempotent {
		if c.Method == method && underPrefix(urlPath, c.PathPrefix) {
			return true
		}
	}
	return false
}

// cleanPath tells whether p has no dot segments, empty segments or escapes.
func cleanPath(p string) bool {
	if strings.ContainsAny(p, "%;\\?#") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

func underPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}
