package forward

import (
	"net/http"
	"strconv"

	"dandelionrill.example/fleet/internal/headtext"
	"github.com/cockroachdb/errors"
)

// ErrHead means that a part of a request cannot be written into the head of a message: the method,
// the target, the host, or a field. An upstream would read another request, or more than one.
var ErrHead = errors.New("forward: request has a part that cannot be written into a head")

// framingFields are the fields that encodeHead writes itself, or that contradict them.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// checkHead returns ErrHead with the name of the part that cannot be written; nil if all can.
func (r *Request) checkHead() error {
	switch {
	case !headtext.IsName(r.Method):
		return errors.Wrap(ErrHead, "method")
	case !headtext.IsTarget(r.Target):
		return errors.Wrap(ErrHead, "target")
	case !headtext.IsHost(r.Host):
		return errors.Wrap(ErrHead, "host")
	}
	for name, values := range r.Header {
		if !headtext.IsName(name) || framingFields[http.CanonicalHeaderKey(name)] {
			return errors.Wrapf(ErrHead, "field name %.50q", name)
		}
		for _, value := range values {
			if !headtext.IsValue(value) {
				return errors.Wrapf(ErrHead, "value of field %s", name)
			}
		}
	}
	return nil
}

// encodeHead returns the encoded request line and fields.
func (r *Request) encodeHead() ([]byte, error) {
	if err := r.checkHead(); err != nil {
		return nil, err
	}
	out := make([]byte, 0, 512)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...), nil
}
