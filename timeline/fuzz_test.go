package timeline

import (
	"net/url"
	"testing"

	"github.com/shoenig/test/must"
)

// A filter that was parsed from a query must stay the same when it is encoded as
// a query and parsed again.
func FuzzFilter(f *testing.F) {
	for _, seed := range []string{"limit=3&request=a", "limit=-1", "kind=ticket-run&customer=%00", "%zz", "limit=9223372036854775808"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, query string) {
		values, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		filter, err := ParseFilter(values)
		if err != nil {
			return
		}
		again, err := ParseFilter(filter.Query())
		must.NoError(t, err)
		must.Eq(t, filter, again)
	})
}
