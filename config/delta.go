package config

import (
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// ErrDeltaMismatch reports that a delta cannot be applied to a configuration: its
// base is another version, its version is not later than the base, or the result
// does not have the digest that the delta contains.
var ErrDeltaMismatch = errors.New("config: delta does not match the base configuration")

// Delta describes the changes from one version to a later one. It contains each
// changed row completely, and the digest of the result, by which Apply detects a
// wrong base.
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

// NewDelta returns the delta from old to next. Both must be normalized.
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
	d.Customers, d.RemovedCustomers = changedRows(old.Customers, next.Customers, customerID)
	d.Services, d.RemovedServices = changedRows(old.Services, next.Services, serviceID)
	var removed []ruleKey
	d.Rules, removed = changedRows(old.Rules, next.Rules, ruleKeyOf)
	for _, k := range removed {
		d.RemovedRules = append(d.RemovedRules, Rule{Customer: k.customer, Service: k.service, Host: k.host, FailureDomain: k.failureDomain})
	}
	return d, nil
}

// changedRows returns the rows of next that were added or changed, and the keys
// of the rows of old that were removed.
func changedRows[T any, K comparable](old, next []T, key func(T) K) (changed []T, removed []K) {
	oldByKey := make(map[K]T, len(old))
	for _, row := range old {
		oldByKey[key(row)] = row
	}
	for _, row := range next {
		if oldRow, ok := oldByKey[key(row)]; !ok || !reflect.DeepEqual(oldRow, row) {
			changed = append(changed, row)
		}
		delete(oldByKey, key(row))
	}
	for _, row := range old {
		if _, isRemoved := oldByKey[key(row)]; isRemoved {
			removed = append(removed, key(row))
		}
	}
	return changed, removed
}

// Apply returns the configuration that results from applying the delta to old.
// It returns ErrDeltaMismatch if the delta does not match old, and *InvalidError
// if the result is invalid.
func (d *Delta) Apply(old *Config) (*Config, error) {
	if old.Version != d.Base || d.Version <= d.Base {
		return nil, errors.Wrapf(ErrDeltaMismatch, "delta from version %d to %d, applied to version %d", d.Base, d.Version, old.Version)
	}
	removedRules := make([]ruleKey, 0, len(d.RemovedRules))
	for _, r := range d.RemovedRules {
		removedRules = append(removedRules, ruleKeyOf(r))
	}
	cfg := &Config{
		Version: d.Version, ChangeID: d.ChangeID, Author: d.Author,
		Customers: mergeRows(old.Customers, d.Customers, d.RemovedCustomers, func(c Customer) string { return c.ID }),
		Services:  mergeRows(old.Services, d.Services, d.RemovedServices, func(s Service) string { return s.ID }),
		Rules:     mergeRows(old.Rules, d.Rules, removedRules, ruleKeyOf),
	}
	Normalize(cfg)
	digest, err := Digest(cfg)
	if err != nil {
		return nil, err
	}
	if hex.EncodeToString(digest[:]) != d.Digest {
		return nil, errors.Wrapf(ErrDeltaMismatch, "delta from version %d to %d: digest of the result differs", d.Base, d.Version)
	}
	if findings := Validate(cfg); len(findings) != 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return cfg, nil
}

// mergeRows returns the rows of old without the removed ones, with changed rows
// replaced and new rows appended.
func mergeRows[T any, K comparable](old, changed []T, removed []K, key func(T) K) []T {
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

// EncodeDelta returns the JSON of d, compressed with gzip where that is smaller.
func EncodeDelta(d *Delta) ([]byte, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "config: encode delta")
	}
	return Compress(raw)
}

// DecodeDelta returns the delta that was encoded by EncodeDelta.
func DecodeDelta(encoded []byte) (*Delta, error) {
	raw, err := Decompress(encoded)
	if err != nil {
		return nil, err
	}
	d := &Delta{}
	return d, DecodeJSON(raw, d)
}
