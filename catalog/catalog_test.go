package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func up(id, address string) Upstream {
	return Upstream{ID: id, Service: "s", Address: address, State: StateReady}
}

func ids(upstreams []Upstream) []string {
	var out []string
	for _, u := range upstreams {
		out = append(out, u.ID)
	}
	return out
}

func TestLapse(t *testing.T) {
	const window = 2 * time.Second
	a, b, c := up("a", "10.0.0.1:1"), up("b", "10.0.0.2:1"), up("c", "10.0.0.3:1")
	for _, test := range []struct {
		name     string
		regained time.Duration
		listed   []Upstream
		want     []string
		kept     int
	}{
		{"steady store: gone at once", time.Hour, []Upstream{a}, []string{"a"}, 0},
		{"store just back: may return", 0, []Upstream{a}, []string{"a", "b"}, 1},
		{"window over", window, []Upstream{a}, []string{"a"}, 0},
		{"address given to another upstream", 0, []Upstream{a, up("d", "10.0.0.2:1")}, []string{"a", "d"}, 1},
		{"nothing missing", 0, []Upstream{a, b, c}, []string{"a", "b", "c"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &Lapse{Return: window}
			l.Merge([]Upstream{a, b}, time.Hour)
			must.Eq(t, test.want, ids(l.Merge(test.listed, test.regained)))
			must.Eq(t, test.kept, l.Kept())
		})
	}
}

func TestLapsedEntryEndsWithItsWindow(t *testing.T) {
	l := &Lapse{Return: time.Second}
	a, b := up("a", "10.0.0.1:1"), up("b", "10.0.0.2:1")
	l.Merge([]Upstream{a, b}, time.Hour)
	must.Len(t, 2, l.Merge([]Upstream{a}, 0))
	must.Len(t, 2, l.Merge([]Upstream{a}, time.Second/2))
	must.Len(t, 1, l.Merge([]Upstream{a}, time.Second))
	must.Len(t, 2, l.Merge([]Upstream{a, b}, time.Second))
}

func TestCatalogKeepsStartsApart(t *testing.T) {
	old, reborn := up("a", "10.0.0.1:1"), up("a", "10.0.0.1:1")
	old.Born, reborn.Born = 1, 2
	must.NotEq(t, old.Key(), reborn.Key())
	c := New(7, []Upstream{up("z", "10.0.0.9:1"), reborn})
	must.Eq(t, 2, c.Find("a").Born)
	must.Nil(t, c.Find("b"))
	must.Eq(t, "a", c.Service("s")[0].ID)
}
