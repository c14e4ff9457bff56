package admin

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// baseVersion accepts a version only in the form that etag writes.
func FuzzPrecondition(f *testing.F) {
	for _, seed := range []string{`"1"`, `W/"1"`, `*`, `"0"`, `"01"`, `"18446744073709551616"`, `"`, ``, `"1", "2"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		version, ok := baseVersion(http.Header{"If-Match": {value}})
		if ok {
			must.Eq(t, value, etag(version))
		}
	})
}

// decodeConfig does not panic on any body, and returns either a configuration or
// an error.
func FuzzConfiguration(f *testing.F) {
	for _, seed := range []string{`{"version":1}`, `{}{}`, `null`, `[]`, `{"customers":[{"id":"\ud800"}]}`, "\xff", `{"version":-1}`, strings.Repeat("[", 10001)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		cfg, err := decodeConfig(strings.NewReader(body))
		must.True(t, (cfg == nil) == (err != nil))
	})
}
