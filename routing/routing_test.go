package routing

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Shares: []Share{{Service: name, Weight: 1}}}
}

func TestRoute(t *testing.T) {
	table := NewTable(&Configuration{Routes: []Route{
		route("root", "a.example", "/"),
		route("x", "a.example", "/x/"),
		route("xy", "a.example", "/x/y/"),
		route("other", "b.example", "/x/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/1", "x"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/y/z/1", "xy"},
		{"A.Example:8080", "/x/y/z", "xy"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "//x/", "root"},
		{"a.example", "/x%2f", "root"},
		{"a.example", "/x/../x/y/", "x"},
		{"a.example", "x/", ""},
		{"a.exampl", "e/x/", ""},
		{"", "/", ""},
		{"a.example", "*", ""},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprintf("%s%s", c.host, c.path))
	}
}

func FuzzRoute(f *testing.F) {
	f.Add("a.example", "/x/y")
	f.Add("[::1]:80", "/")
	f.Add("", "")
	table := NewTable(&Configuration{Routes: []Route{route("x", "a.example", "/x/")}})
	f.Fuzz(func(t *testing.T, host, path string) {
		if r := table.Route(host, path); r != nil && (len(path) < len("/x/") || path[:len("/x/")] != "/x/") {
			t.Fatalf("path %q matched the route prefix %s", path, r.PathPrefix)
		}
	})
}

func TestServiceFollowsWeights(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := make(map[string]int)
	const n = 10000
	for i := range n {
		key := fmt.Sprint("request-", i)
		counts[r.Service(key)]++
		must.Eq(t, r.Service(key), r.Service(key))
	}
	must.Between(t, n*88/100, counts["a"], n*92/100)
	must.Eq(t, 0, counts["none"])
	must.Eq(t, n, counts["a"]+counts["b"])
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Repeat: RepeatNever}, false},
		{Route{Repeat: RepeatNever, Resumable: true}, false},
		{Route{Repeat: RepeatIdempotent}, true},
		{Route{Repeat: RepeatStream}, false},
		{Route{Repeat: RepeatStream, Resumable: true}, true},
	} {
		must.Eq(t, c.want, c.route.Repeatable())
	}
}
