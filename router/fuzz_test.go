package router

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/decide/ticket"
)

// FuzzChat checks that an accepted body has a model and messages, and that the
// request for the engine is JSON with the rules' priority and every other
// field of the body.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a"}],"priority":99,"x":1}`, `{"model":"m","messages":[]}`,
		`{"model":1}`, `null`, `{"model":"m","model":"n","messages":[null]}`, "{\"model\":\"\xff\",\"messages\":[null]}", `{"stream":"yes"}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		body, err := parseChat([]byte(raw))
		if err != nil {
			return
		}
		must.True(t, utf8.ValidString(raw) && body.Model != "" && len(body.Messages) > 0)
		encoded, err := body.encode(7)
		must.NoError(t, err)
		var before, after map[string]json.RawMessage
		must.NoError(t, json.Unmarshal([]byte(raw), &before))
		must.NoError(t, json.Unmarshal(encoded, &after))
		must.Eq(t, "7", string(after["priority"]))
		for name := range before {
			must.MapContainsKey(t, after, name)
		}
	})
}

// FuzzEventID checks that an accepted event identifier has a non-negative
// offset and survives formatting and parsing again.
func FuzzEventID(f *testing.F) {
	for _, seed := range []string{eventID("a", 0), "a.-1", "a", ".5", "a.b.9", "a.9223372036854775808", "a.+1", "", "r.1.2", ".", "r.9223372036854775808"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		request, offset, err := parseEventID(id)
		if err != nil {
			return
		}
		must.GreaterEq(t, 0, offset)
		again, same, err := parseEventID(eventID(request, offset))
		must.NoError(t, err)
		must.Eq(t, request, again)
		must.Eq(t, offset, same)
	})
}

// FuzzChatToken checks that only chat tokens sealed by this fleet can be
// opened. Tickets and altered tokens must be rejected.
func FuzzChatToken(f *testing.F) {
	signer, err := ticket.NewSigner([]byte("a-ticket-key-of-thirty-two-bytes"))
	must.NoError(f, err)
	r := &Router{opts: Options{Signer: signer}}
	sealed, err := r.sealToken(handle{address: "127.0.0.1:1", host: "h", incarnation: "i", request: "q", customer: "c"})
	must.NoError(f, err)
	other, err := signer.Seal(ticket.Ticket{Service: "ledger", Incarnation: "i", Window: 1, Nonce: "n"})
	must.NoError(f, err)
	for _, seed := range []string{sealed, sealed[:len(sealed)-1], sealed[2:], sealed + "\n", other, ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		if _, err := r.openToken(value); err == nil {
			must.Eq(t, sealed, value)
		}
	})
}
