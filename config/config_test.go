package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func hashOf(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func sampleConfig() *Config {
	return &Config{
		Version: 7, ChangeID: "c1", Author: "planner",
		Customers: []Customer{
			{ID: "rubber", KeyHashes: []string{hashOf("k2")}, Weight: 2},
			{ID: "rice", KeyHashes: []string{hashOf("k1"), hashOf("k0")}, Weight: 1, MaxInFlight: 5},
		},
		Services: []Service{
			{ID: "ledger", Kind: KindPlain, LoadMultiple: 2, Idempotent: []Call{{"GET", "/holdings"}}},
			{ID: "llm", Kind: KindModel, LoadMultiple: 1.25, Models: []string{"m2", "m1"}, Resumes: true},
		},
		Rules: []Rule{
			{"rice", Any, Any, Any, 1}, {"rice", "llm", Any, Any, 2}, {Any, "llm", "e1", Any, 3}, {Any, Any, "e1", "bkk-a", 4},
		},
	}
}

func TestValidateReportsAllFindingsTogether(t *testing.T) {
	must.SliceEmpty(t, Validate(sampleConfig()))
	cfg := sampleConfig()
	cfg.Customers[0] = Customer{ID: "rice", KeyHashes: []string{"XY", hashOf("k1")}, Weight: 0, MaxInFlight: -1, MaxQueued: MaxLimit + 1}
	cfg.Services[0] = Service{ID: "Llm", Kind: KindPlain, LoadMultiple: 1, Models: []string{"m1"}, Resumes: true, TimeoutSeconds: -1,
		Idempotent: []Call{{"FETCH", "holdings"}, {"GET", "/a/../b"}}}
	cfg.Services[1].Models = []string{" m", "m1", "m1"}
	cfg.Services = append(cfg.Services, Service{ID: "x", Kind: "other", LoadMultiple: 2}, Service{ID: "y", Kind: KindModel, LoadMultiple: 2, Idempotent: []Call{{"GET", "/"}}})
	cfg.Rules = append(cfg.Rules, Rule{"nobody", "nothing", "", "A", 101}, cfg.Rules[0])
	var places []string
	for _, f := range Validate(cfg) {
		places = append(places, f.Place)
	}
	must.Eq(t, []string{
		"customers[0].key_hashes[0]", "customers[0].weight", "customers[0].max_in_flight", "customers[0].max_queued",
		"customers[1].id", "customers[1].key_hashes[0]",
		"services[0].id", "services[0].load_multiple", "services[0].timeout_seconds", "services[0].models", "services[0].resumes",
		"services[0].idempotent[0].method", "services[0].idempotent[0].path_prefix", "services[0].idempotent[1].path_prefix",
		"services[1].models[0]", "services[1].models[2]", "services[2].kind", "services[3].models", "services[3].idempotent",
		"rules[4].customer", "rules[4].service", "rules[4].host", "rules[4].failure_domain", "rules[4].priority", "rules[5]",
	}, places)
}

func TestEncodeIsCanonicalAndDecodeIsStrict(t *testing.T) {
	a, b := sampleConfig(), sampleConfig()
	slices.Reverse(b.Customers)
	slices.Reverse(b.Rules)
	ea, err := Encode(a)
	must.NoError(t, err)
	eb, err := Encode(b)
	must.NoError(t, err)
	must.Eq(t, ea, eb)
	got, err := Decode(ea)
	must.NoError(t, err)
	Normalize(a)
	must.Eq(t, a, got)
	for name, bad := range map[string]string{
		"unknown field": `{"version":1,"colour":"red"}`, "trailing": `{} {}`, "type": `{"version":"x"}`, "gzip": "\x1f\x8bxx",
	} {
		_, err := Decode([]byte(bad))
		must.Error(t, err, must.Sprint(name))
	}
	_, err = Decode([]byte(`{"customers":[{"id":""}]}`))
	var invalid *InvalidError
	must.True(t, errors.As(err, &invalid))
	must.Len(t, 3, invalid.Findings)
	oversized, err := Compress([]byte(strings.Repeat(" ", MaxDecodedBytes+1)))
	must.NoError(t, err)
	_, err = Decode(oversized)
	must.ErrorContains(t, err, "decompressed data is larger than")
}

func TestIndexLookups(t *testing.T) {
	x := NewIndex(sampleConfig())
	c, ok := x.CustomerByKey("k0")
	must.True(t, ok)
	must.Eq(t, "rice", c.ID)
	_, ok = x.CustomerByKey(hashOf("k0"))
	must.False(t, ok)
	s, ok := x.ServiceForModel("m1")
	must.True(t, ok)
	must.Eq(t, "llm", s.ID)
	for _, tc := range []struct {
		customer, service, host, domain string
		priority                        int
		ok                              bool
	}{
		{"rice", "llm", "e1", "bkk-a", 2, true}, {"rice", "ledger", "e1", "bkk-a", 1, true}, {"rubber", "llm", "e1", "bkk-a", 3, true},
		{"rubber", "ledger", "e1", "bkk-a", 4, true}, {"rubber", "llm", "e2", "bkk-a", 0, false}, {"nobody", "llm", "e1", "x", 3, true},
	} {
		p, ok := x.Allowed(tc.customer, tc.service, tc.host, tc.domain)
		must.Eq(t, tc.priority, p, must.Sprint(tc))
		must.Eq(t, tc.ok, ok, must.Sprint(tc))
	}
	for call, want := range map[[3]string]bool{
		{"llm", "POST", "/v1/chat/completions"}: true, {"ledger", "GET", "/holdings"}: true, {"ledger", "GET", "/holdings/7"}: true,
		{"ledger", "POST", "/holdings"}: false, {"ledger", "GET", "/holdings-transfer"}: false, {"ledger", "GET", "/transfers"}: false,
		{"ledger", "GET", "/holdings/../transfers"}: false, {"ledger", "GET", "/holdings/%2e%2e/transfers"}: false,
		{"ledger", "GET", "/holdings//x"}: false, {"none", "GET", "/holdings"}: false,
	} {
		must.Eq(t, want, x.IsIdempotent(call[0], call[1], call[2]), must.Sprint(call))
	}
}

// drawConfig draws a valid, normalized configuration.
func drawConfig(t *rapid.T, version uint64) *Config {
	cfg := &Config{Version: version, ChangeID: rapid.StringMatching(`[a-z]{4}`).Draw(t, "change"), Author: "p"}
	for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 20), 1, 10, rapid.ID).Draw(t, "customers") {
		name := "c" + string(rune('a'+id))
		cfg.Customers = append(cfg.Customers, Customer{ID: name, KeyHashes: []string{hashOf(name)}, Weight: rapid.IntRange(1, 3).Draw(t, "w")})
		cfg.Rules = append(cfg.Rules, Rule{name, Any, Any, Any, rapid.IntRange(0, 2).Draw(t, "p")})
	}
	if rapid.Bool().Draw(t, "service") {
		cfg.Services = []Service{{ID: "s", Kind: KindPlain, LoadMultiple: 2, TimeoutSeconds: rapid.IntRange(0, 2).Draw(t, "t")}}
	}
	Normalize(cfg)
	return cfg
}

func TestDeltaRebuildsTheNextVersionOrFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next, other := drawConfig(t, 4), drawConfig(t, 9), drawConfig(t, 5)
		delta, err := NewDelta(old, next)
		must.NoError(t, err)
		encoded, err := EncodeDelta(delta)
		must.NoError(t, err)
		delta, err = DecodeDelta(encoded)
		must.NoError(t, err)
		got, err := delta.Apply(old)
		must.NoError(t, err)
		must.Eq(t, next, got)
		_, err = delta.Apply(other)
		must.ErrorIs(t, err, ErrDeltaMismatch)
		other.Version = old.Version
		if got, err = delta.Apply(other); err == nil {
			must.Eq(t, next, got)
		}
	})
}
