package router

import (
	"net/http"
	"net/textproto"
	"strings"

	"dandelionrill.example/fleet/config"
)

// matches tells whether a rule's field covers value.
func matches(field, value string) bool {
	return field == config.Any || field == value
}

// hopHeaders are the headers of one connection only (RFC 9110, section 7.6.1),
// and those that the router sets itself.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Authorization":       true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
}

const ownHeaderPrefix = "Dandelionrill-"

// passed returns the headers that go on to the next hop.
func passed(in http.Header) map[string][]string {
	named := make(map[string]bool)
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(map[string][]string, len(in))
	for name, values := range in {
		if hopHeaders[name] || named[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}

// copyHeader adds the headers of an upstream's answer to the caller's.
func copyHeader(to http.Header, from map[string][]string) {
	for name, values := range passed(from) {
		to[name] = values
	}
}
