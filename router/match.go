package router

import (
	"net/http"
	"net/textproto"
	"strings"

	"dandelionrill.example/fleet/config"
)

// ruleMatches reports whether a rule's field covers value.
func ruleMatches(field, value string) bool {
	return field == config.Any || field == value
}

// droppedHeaders are the headers that are not forwarded: those that apply to one
// connection only (RFC 9110, section 7.6.1), the caller's credentials, and those
// that each HTTP client and server sets itself.
var droppedHeaders = map[string]bool{
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

// endToEndHeaders returns the headers to forward to the next hop.
func endToEndHeaders(in http.Header) map[string][]string {
	connectionNamed := make(map[string]bool)
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			connectionNamed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(map[string][]string, len(in))
	for name, values := range in {
		if droppedHeaders[name] || connectionNamed[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}

// copyHeader sets the end-to-end headers of an upstream's answer on the
// response to the caller.
func copyHeader(to http.Header, from map[string][]string) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
}
