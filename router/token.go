package router

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/ticket"
)

// tokenService marks a sealed value as a chat token. It is not a valid service
// name, so no agent accepts the value as a ticket.
const tokenService = "\x00chat"

// tokenWindow fills the ticket's window field, which chat tokens do not use. A
// ticket with window 0 cannot be sealed.
const tokenWindow = 1

// errInvalidToken reports a chat token that this fleet did not issue.
var errInvalidToken = errors.New("router: invalid chat token")

// sealToken returns the chat token for the answer of h. The token carries the
// engine's host as a routing hint for the chat's next request, and all that is
// needed to resume an interrupted answer.
func (r *Router) sealToken(h handle) (string, error) {
	return r.opts.Signer.Seal(ticket.Ticket{
		Service:     tokenService,
		Host:        h.host,
		Address:     h.address,
		Incarnation: h.incarnation,
		Window:      tokenWindow,
		Nonce:       h.request,
		Customer:    h.customer,
	})
}

// openToken decodes a chat token into its handle.
func (r *Router) openToken(encoded string) (handle, error) {
	t, err := r.opts.Signer.Open(encoded)
	if err != nil || t.Service != tokenService {
		return handle{}, errInvalidToken
	}
	return handle{
		address:     t.Address,
		host:        t.Host,
		incarnation: t.Incarnation,
		request:     t.Nonce,
		customer:    t.Customer,
	}, nil
}

// eventID returns the identifier of a stream event: the request and the offset
// of the byte after the event.
func eventID(request string, offset int64) string {
	return request + "." + strconv.FormatInt(offset, 10)
}

// parseEventID splits a Last-Event-ID value into request and offset.
func parseEventID(id string) (request string, offset int64, err error) {
	request, number, found := strings.Cut(id, ".")
	if !found {
		return "", 0, errors.New("router: Last-Event-ID has no offset")
	}
	offset, err = strconv.ParseInt(number, 10, 64)
	if err != nil || offset < 0 {
		return "", 0, errors.New("router: Last-Event-ID has an invalid offset")
	}
	return request, offset, nil
}
