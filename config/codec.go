package config

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDecodedBytes limits the size of the JSON of one configuration.
	MaxDecodedBytes = 16 << 20
	// minCompressBytes is the size below which Compress leaves JSON uncompressed.
	minCompressBytes = 1 << 10
)

// Normalize sorts cfg in place and replaces nil lists by empty ones, so that
// equal configurations have equal JSON.
func Normalize(cfg *Config) {
	cfg.Customers = sortedCopy(cfg.Customers, func(a, b Customer) int { return cmp.Compare(a.ID, b.ID) })
	cfg.Services = sortedCopy(cfg.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	cfg.Rules = sortedCopy(cfg.Rules, compareRules)
	for i := range cfg.Customers {
		cfg.Customers[i].KeyHashes = sortedCopy(cfg.Customers[i].KeyHashes, cmp.Compare[string])
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		s.Models = sortedCopy(s.Models, cmp.Compare[string])
		s.Idempotent = sortedCopy(s.Idempotent, compareCalls)
	}
}

func sortedCopy[T any](list []T, compare func(a, b T) int) []T {
	list = append([]T{}, list...)
	slices.SortStableFunc(list, compare)
	return list
}

func compareCalls(a, b Call) int {
	return cmp.Or(cmp.Compare(a.Method, b.Method), cmp.Compare(a.PathPrefix, b.PathPrefix))
}

func compareRules(a, b Rule) int {
	return cmp.Or(
		cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Host, b.Host), cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Priority, b.Priority))
}

// CanonicalJSON returns the JSON of cfg with every list sorted. It does not
// change cfg.
func CanonicalJSON(cfg *Config) ([]byte, error) {
	normalized := *cfg
	Normalize(&normalized)
	raw, err := json.Marshal(&normalized)
	return raw, errors.Wrap(err, "config: encode")
}

// Digest returns the SHA-256 of the canonical JSON of cfg.
func Digest(cfg *Config) ([sha256.Size]byte, error) {
	raw, err := CanonicalJSON(cfg)
	return sha256.Sum256(raw), err
}

// Encode returns the canonical JSON of cfg, compressed with gzip where that is
// smaller.
func Encode(cfg *Config) ([]byte, error) {
	raw, err := CanonicalJSON(cfg)
	if err != nil {
		return nil, err
	}
	return Compress(raw)
}

// Compress returns raw compressed with gzip. It returns raw unchanged if raw is
// shorter than minCompressBytes or if compression does not make it smaller.
func Compress(raw []byte) ([]byte, error) {
	if len(raw) < minCompressBytes {
		return raw, nil
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "config: compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "config: compress")
	}
	if buf.Len() >= len(raw) {
		return raw, nil
	}
	return buf.Bytes(), nil
}

// Decompress reverses Compress. It fails if the decompressed data is longer than
// MaxDecodedBytes.
func Decompress(encoded []byte) ([]byte, error) {
	if !bytes.HasPrefix(encoded, []byte{0x1f, 0x8b}) {
		return encoded, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "config: decompress")
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "config: decompress")
	}
	if len(raw) > MaxDecodedBytes {
		return nil, errors.Newf("config: decompressed data is larger than %d bytes", MaxDecodedBytes)
	}
	return raw, nil
}

// Decode returns the configuration that was encoded by Encode. It fails on
// unknown fields, and returns an *InvalidError if Validate reports findings.
func Decode(encoded []byte) (*Config, error) {
	raw, err := Decompress(encoded)
	if err != nil {
		return nil, err
	}
	cfg := &Config{}
	if err := DecodeJSON(raw, cfg); err != nil {
		return nil, err
	}
	Normalize(cfg)
	if findings := Validate(cfg); len(findings) != 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return cfg, nil
}

// DecodeJSON decodes a single JSON value into target. It fails on unknown fields
// and on any data after the value.
func DecodeJSON(raw []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return errors.Wrap(err, "config: decode")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("config: decode: unexpected data after the JSON value")
	}
	return nil
}
