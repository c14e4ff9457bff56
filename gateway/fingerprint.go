package gateway

import (
	"github.com/cespare/xxhash/v2"
)

// fingerprintTag is in the lowest bits of every fingerprint, and tells it from the identifier
// of a prompt part. One part in 65,536 has them by chance: of two equal explanations of crashes
// that may be the one that is blamed.
const (
	fingerprintTag  = 0xf1f1
	fingerprintMask = 0xffff
)

// isFingerprint reports whether an identifier is that of a request, not of a prompt part.
func isFingerprint(id uint64) bool { return id&fingerprintMask == fingerprintTag }

// fingerprint returns a hash of what an upstream gets to see of a request, but for its
// identifier and its deadline: customer, method, host, path with query, and body. Requests with
// the same fingerprint are taken for the same one. With prompt parts it is that of a request
// with these parts only.
func (req *request) fingerprint(parts []PromptPart) uint64 {
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
	for _, part := range parts {
		_, _ = h.WriteString("\x00" + part.ID)
	}
	return h.Sum64()&^fingerprintMask | fingerprintTag
}

// workIDs returns the identifiers of what may crash upstreams: the request itself, also
// together with its prompt, since requests may differ by that alone, and the shared parts of
// the prompt.
func (req *request) workIDs() []uint64 {
	ids := append(partIDs(req.Parts), req.fingerprint(nil))
	if len(req.Parts) > 0 {
		ids = append(ids, req.fingerprint(req.Parts))
	}
	return ids
}
