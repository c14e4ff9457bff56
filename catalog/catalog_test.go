package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newUpstream(id, address string) Upstream {
	return Upstream{ID: id, Service: "s", Address: address, State: StateReady}
}

func ids(upstreams []Upstream) []string {
	var out []string
	for _, u := range upstreams {
		out = append(out, u.ID)
	}
	return out
}

func TestMissingEntries(t *testing.T) {
	const gracePeriod = 2 * time.Second
	a, b, c := newUpstream("a", "10.0.0.1:1"), newUpstream("b", "10.0.0.2:1"), newUpstream("c", "10.0.0.3:1")
	for _, test := range []struct {
		name        string
		sinceReturn time.Duration
		listed      []Upstream
		want        []string
		retained    int
	}{
		{"store available: missing entry is dropped at once", time.Hour, []Upstream{a}, []string{"a"}, 0},
		{"store just returned: missing entry is retained", 0, []Upstream{a}, []string{"a", "b"}, 1},
		{"grace period over", gracePeriod, []Upstream{a}, []string{"a"}, 0},
		{"address reused by another upstream", 0, []Upstream{a, newUpstream("d", "10.0.0.2:1")}, []string{"a", "d"}, 1},
		{"no missing entry", 0, []Upstream{a, b, c}, []string{"a", "b", "c"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &MissingEntries{GracePeriod: gracePeriod}
			m.Merge([]Upstream{a, b}, time.Hour)
			must.Eq(t, test.want, ids(m.Merge(test.listed, test.sinceReturn)))
			must.Eq(t, test.retained, m.Retained())
		})
	}
}

func TestMissingEntryIsDroppedAfterGracePeriod(t *testing.T) {
	m := &MissingEntries{GracePeriod: time.Second}
	a, b := newUpstream("a", "10.0.0.1:1"), newUpstream("b", "10.0.0.2:1")
	m.Merge([]Upstream{a, b}, time.Hour)
	must.Len(t, 2, m.Merge([]Upstream{a}, 0))
	must.Len(t, 2, m.Merge([]Upstream{a}, time.Second/2))
	must.Len(t, 1, m.Merge([]Upstream{a}, time.Second))
	must.Len(t, 2, m.Merge([]Upstream{a, b}, time.Second))
}

func TestCatalogKeyDistinguishesRestarts(t *testing.T) {
	old, restarted := newUpstream("a", "10.0.0.1:1"), newUpstream("a", "10.0.0.1:1")
	old.Born, restarted.Born = 1, 2
	must.NotEq(t, old.Key(), restarted.Key())
	c := New(7, []Upstream{newUpstream("z", "10.0.0.9:1"), restarted})
	must.Eq(t, 2, c.Find("a").Born)
	must.Nil(t, c.Find("b"))
	must.Eq(t, "a", c.Service("s")[0].ID)
}
