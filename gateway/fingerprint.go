package gateway

import (
	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of what an upstream gets to see of a request, but for its
// identifier, its deadline and its prompt: customer, method, host, path with query, and body.
// Requests with the same fingerprint are taken for the same one.
func (req *request) fingerprint() uint64 {
	h := xxhash.New()
	customer := ""
	if req.customer != nil {
		customer = req.customer.Name
	}
	for _, field := range []string{customer, req.http.Method, req.http.Host, req.http.RequestURI} {
		_, _ = h.WriteString(field) // cannot fail
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(req.body)
	return h.Sum64()
}
