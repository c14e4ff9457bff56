package router

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/ticket"
)

// tokenService marks a sealed value as a chat token, which no agent takes for
// a ticket: it is not the name of a service.
const tokenService = "\x00chat"

// tokenWindow stands where a ticket names its window.
const tokenWindow = 1

// errBadToken says that a chat token was not made by this fleet.
var errBadToken = errors.New("router: invalid chat token")

// sealToken returns the chat token for the answer named by h. It carries the
// engine's host as a hint for the chat's next request, and where a cut answer
// can be read on.
func (r *Router) sealToken(h handle) (string, error) {
	return r.opts.Signer.Seal(ticket.Ticket{
		Service:     tokenService,
		Host:        h.host,
		Address:     h.address,
		Incarnation: h.holder,
		Window:      tokenWindow,
		Nonce:       h.request,
		Customer:    h.customer,
	})
}

// openToken returns the handle that a chat token carries.
func (r *Router) openToken(encoded string) (handle, error) {
	t, err := r.opts.Signer.Open(encoded)
	if err != nil || t.Service != tokenService {
		return handle{}, errBadToken
	}
	return handle{
		address:  t.Address,
		host:     t.Host,
		holder:   t.Incarnation,
		request:  t.Nonce,
		customer: t.Customer,
	}, nil
}

// eventID identifies the byte behind an event of a stream.
func eventID(request string, offset int64) string {
	return request + "." + strconv.FormatInt(offset, 10)
}

// parseEventID splits a Last-Event-ID.
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
