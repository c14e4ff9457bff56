package router

import (
	"bytes"
	"testing"

	"dandelionrill.example/fleet/decide/ticket"
)

// FuzzToken checks that no caller's bytes but a sealed chat token open as one,
// and that no ticket does.
func FuzzToken(f *testing.F) {
	signer, err := ticket.NewSigner(bytes.Repeat([]byte{7}, ticket.MinKeyBytes))
	if err != nil {
		f.Fatal(err)
	}
	r := &Router{opts: Options{Signer: signer}}
	token, err := r.sealToken(handle{host: "h", address: "127.0.0.1:1", holder: "i", request: "r", customer: "c"})
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := signer.Seal(ticket.Ticket{Service: "ledger", Incarnation: "i", Window: 1, Nonce: "n"})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", token, sealed, token[2:], token + "\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, encoded string) {
		h, err := r.openToken(encoded)
		if err != nil {
			return
		}
		if again, err := r.sealToken(h); err != nil || again != encoded {
			t.Fatalf("opened %q, which is sealed as %q (%v)", encoded, again, err)
		}
	})
}

// FuzzEventID parses a caller's Last-Event-ID.
func FuzzEventID(f *testing.F) {
	for _, seed := range []string{"", "r.0", "r.-1", "r.1.2", ".", "r.9223372036854775808"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		if request, offset, err := parseEventID(id); err == nil {
			if r, o, err := parseEventID(eventID(request, offset)); err != nil || r != request || o != offset {
				t.Fatalf("%q: %q.%d became %q.%d, %v", id, request, offset, r, o, err)
			}
		}
	})
}
