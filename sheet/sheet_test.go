package sheet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"dandelionrill.example/fleet/config"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func hashOf(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func TestWriteAndReadRoundTrip(t *testing.T) {
	cfg := &config.Config{
		Version:   9,
		Customers: []config.Customer{{ID: "rice", KeyHashes: []string{hashOf("a"), hashOf("b")}, Weight: 3, MaxInFlight: 4, MaxQueued: 5}},
		Services: []config.Service{
			{ID: "ledger", Kind: config.KindPlain, LoadMultiple: 1.5, Idempotent: []config.Call{{Method: "GET", PathPrefix: "/holdings, old"}, {Method: "HEAD", PathPrefix: "/"}}, TimeoutSeconds: 3},
			{ID: "llm", Kind: config.KindModel, LoadMultiple: 2, Models: []string{"m1", "m\"2"}, Resumes: true, ChecksFencing: true},
		},
		Rules: []config.Rule{{Customer: "rice", Service: "llm", Host: "*", FailureDomain: "*", Priority: -2}},
	}
	config.Normalize(cfg)
	var buf bytes.Buffer
	must.NoError(t, Write(&buf, cfg))
	s, err := Read(strings.NewReader("\xef\xbb\xbf" + strings.ReplaceAll(buf.String(), "\n", "\r\n") + ",,\r\n"))
	must.NoError(t, err)
	must.Eq(t, 9, s.Base)
	cfg.Version = 0
	must.Eq(t, cfg, s.Config)
}

func TestFindingsReportRowAndColumn(t *testing.T) {
	const header = "id,kind,weight,key_hashes,service_kind,load_multiple,models,resumes,customer,service,host,failure_domain,priority\n"
	good := "rice,customer,1," + hashOf("k") + ",,,,,,,,,\nllm,service,,,model,1.5,m,yes,,,,,\n"
	for name, tc := range map[string]struct {
		text string
		want []string // row, column
	}{
		"empty":          {"", []string{"1 "}},
		"no kind":        {"id,colour\nx,y\n", []string{"1 colour", "1 kind", "2 kind"}},
		"twice":          {"kind,id,id\n", []string{"1 id"}},
		"quotes":         {header + "a\"b,customer\n", []string{"2 "}},
		"unknown kind":   {header + "x,region\n", []string{"2 kind"}},
		"other's column": {header + good + ",rule,7,,,,,,*,*,*,*,1\n", []string{"4 weight"}},
		"beyond":         {header + good + ",rule,,,,,,,*,*,*,*,1,,x\n", []string{"4 "}},
		"base":           {header + "0,base\n", []string{"2 id"}},
		"all together": {header + good + "\nrice,customer,many,zz\nx,service,,,plain,=1/0,m,maybe\n,rule,,,,,,,nobody,llm,,*,1E+03\n",
			[]string{"5 weight", "5 id", "5 key_hashes", "6 load_multiple", "6 resumes", "6 models", "7 priority", "7 customer", "7 host"}},
	} {
		_, err := Read(strings.NewReader(tc.text))
		var invalid *InvalidError
		must.True(t, errors.As(err, &invalid), must.Sprint(name))
		var got []string
		for _, f := range invalid.Findings {
			place := strings.SplitN(strings.TrimPrefix(f.String(), "row "), ": ", 2)[0]
			got = append(got, strings.ReplaceAll(strings.TrimSuffix(place+" ", " "), ", column", ""))
		}
		for i := range got {
			if !strings.Contains(got[i], " ") {
				got[i] += " "
			}
		}
		must.Eq(t, tc.want, got, must.Sprint(name))
	}
}
