package config

import (
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// ErrDelta says that a delta does not lead from the configuration it was
// applied to, to the one it names.
var ErrDelta = errors.New("config: delta does not fit")

// Delta leads from one version to a later one. It carries whole rows, and the
// digest of the result, so that a wrong base is noticed.
type Delta struct {
	Base             uint64     `json:"base"`
	Version          uint64     `json:"version"`
	ChangeID         string     `json:"change_id"`
	Author           string     `json:"author"`
	Digest           string     `json:"digest"` // of the result, lower-case hex
	Customers        []Customer `json:"customers,omitempty"`
	Services         []Service  `json:"services,omitempty"`
	Rules            []Rule     `json:"rules,omitempty"`
	RemovedCustomers []string   `json:"removed_customers,omitempty"`
	RemovedServices  []string   `json:"removed_services,omitempty"`
	RemovedRules     []Rule     `json:"removed_rules,omitempty"`
}

// NewDelta returns the delta from old to next, which are normalized.
func NewDelta(old, next *Config) (*Delta, error) {
	digest, err := Digest(next)
	if err != nil {
		return nil, err
	}
	d := &Delta{
		Base: old.Version, Version: next.Version, ChangeID: next.ChangeID, Author: next.Author,
		Digest: hex.EncodeToString(digest[:]),
	}
	customerID := func(c Customer) string { return c.ID }
	serviceID := func(s Service) string { return s.ID }
	d.Customers, d.RemovedCustomers = difference(old.Customers, next.Customers, customerID)
	d.Services, d.RemovedServices = difference(old.Services, next.Services, serviceID)
	var removed []ruleKey
	d.Rules, removed = difference(old.Rules, next.Rules, keyOf)
	for _, k := range removed {
		d.RemovedRules = append(d.RemovedRules, Rule{Customer: k.customer, Service: k.service, Host: k.host, FailureDomain: k.failureDomain})
	}
	return d, nil
}

// difference returns the rows of next that are new or changed, and the keys of
// the rows of old that are gone.
func difference[T any, K comparable](old, next []T, key func(T) K) (changed []T, removed []K) {
	before := make(map[K]T, len(old))
	for _, row := range old {
		before[key(row)] = row
	}
	for _, row := range next {
		if last, ok := before[key(row)]; !ok || !reflect.DeepEqual(last, row) {
			changed = append(changed, row)
		}
		delete(before, key(row))
	}
	for _, row := range old {
		if _, gone := before[key(row)]; gone {
			removed = append(removed, key(row))
		}
	}
	return changed, removed
}

// Apply returns the configuration that the delta leads to from old, or
// ErrDelta if the result is not the one the delta was made for.
func (d *Delta) Apply(old *Config) (*Config, error) {
	if old.Version != d.Base || d.Version <= d.Base {
		return nil, errors.Wrapf(ErrDelta, "from %d to %d, applied to %d", d.Base, d.Version, old.Version)
	}
	removedRules := make([]ruleKey, 0, len(d.RemovedRules))
	for _, r := range d.RemovedRules {
		removedRules = append(removedRules, keyOf(r))
	}
	cfg := &Config{
		Version: d.Version, ChangeID: d.ChangeID, Author: d.Author,
		Customers: merge(old.Customers, d.Customers, d.RemovedCustomers, func(c Customer) string { return c.ID }),
		Services:  merge(old.Services, d.Services, d.RemovedServices, func(s Service) string { return s.ID }),
		Rules:     merge(old.Rules, d.Rules, removedRules, keyOf),
	}
	Normalize(cfg)
	digest, err := Digest(cfg)
	if err != nil {
		return nil, err
	}
	if hex.EncodeToString(digest[:]) != d.Digest {
		return nil, errors.Wrapf(ErrDelta, "from %d to %d: digest differs", d.Base, d.Version)
	}
	if findings := Validate(cfg); len(findings) != 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return cfg, nil
}

func merge[T any, K comparable](old, changed []T, removed []K, key func(T) K) []T {
	skip := make(map[K]bool, len(changed)+len(removed))
	for _, k := range removed {
		skip[k] = true
	}
	for _, row := range changed {
		skip[key(row)] = true
	}
	var rows []T
	for _, row := range old {
		if !skip[key(row)] {
			rows = append(rows, row)
		}
	}
	return append(rows, changed...)
}

// EncodeDelta returns the JSON of d, compressed where that is smaller.
func EncodeDelta(d *Delta) ([]byte, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "config: encode delta")
	}
	return Compress(raw)
}

// DecodeDelta returns the delta that EncodeDelta wrote.
func DecodeDelta(encoded []byte) (*Delta, error) {
	raw, err := Decompress(encoded)
	if err != nil {
		return nil, err
	}
	d := &Delta{}
	return d, DecodeJSON(raw, d)
}
