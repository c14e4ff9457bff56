package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// Guards against the name of a customer that ends the head of its requests: they ran without their
// body, or for another customer. They must be refused at once, and those of other customers and of
// public routes be served. A later configuration with a sound name must serve them.
func TestCustomerWithABadNameIsRefused(t *testing.T) {
	names := []string{" c", "c ", "c\r\nDandelionrill-Tenant: other"}
	for b := range 128 {
		if c := string([]byte{byte(b)}); b < 32 || b == 127 {
			names = append(names, c+"cd", "cd"+c)
			if b != '\t' {
				names = append(names, "c"+c+"d")
			}
		}
	}
	sound := newReplica(t, "i-1", answering("data: ok\n\n"))
	f := newFixture(t, sound)
	configure := func(version uint64, name string) {
		must.True(t, f.gateway.SetTable(routing.NewTable(&routing.Configuration{
			Version: version, Routes: defaultRoutes(),
			Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}, {Name: name, Keys: []string{"bad"}}},
		})))
	}
	call := func(path, key string) *http.Response {
		r := f.newRequest(t, http.MethodPost, path, "{}")
		r.Header.Set("Authorization", "Bearer "+key)
		response, _ := f.do(t, r)
		return response
	}
	served := int64(0)
	for i, name := range names {
		configure(uint64(i+2), name)
		for _, path := range []string{"/once/", "/safe/", "/stream/"} {
			response := call(path, "bad")
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode, must.Sprintf("%q", name))
			must.NotEq(t, "", response.Header.Get("Retry-After"))
			must.Eq(t, http.StatusOK, call(path, "key").StatusCode)
			served++
		}
		must.Eq(t, http.StatusOK, call("/public/", "bad").StatusCode)
		served++
		must.Eq(t, served, sound.runs.Load())
	}
	for i, name := range []string{"c d", "c\td", "Zürich", "a,b"} {
		configure(uint64(len(names)+i+2), name)
		must.Eq(t, http.StatusOK, call("/once/", "bad").StatusCode)
		requests := sound.requests()
		must.Eq(t, []string{name}, requests[len(requests)-1].Header["Dandelionrill-Tenant"], must.Sprint(fmt.Sprint(name)))
	}
}
