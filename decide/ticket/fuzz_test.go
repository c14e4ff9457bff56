package ticket

import "testing"

// FuzzOpen checks that Open, which decodes input from callers, accepts only encodings
// produced by Seal. Its seeds run with every test.
func FuzzOpen(f *testing.F) {
	s, err := NewSigner(testKey)
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := s.Seal(testTicket("n"))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", sealed, sealed[1:], sealed + "A", sealed + "=", "\n" + sealed, sealed[:40], "%%%"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, encoded string) {
		opened, err := s.Open(encoded)
		if err != nil {
			return
		}
		if again, err := s.Seal(opened); err != nil || again != encoded {
			t.Fatalf("Open accepted %q, which Seal encodes as %q (error %v)", encoded, again, err)
		}
	})
}

// FuzzPayload seals arbitrary fields and checks that Open returns them unchanged,
// unless Seal rejects them.
func FuzzPayload(f *testing.F) {
	s, err := NewSigner(testKey)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("ledger", "i", "n", "c", "d", uint64(1))
	f.Add("\x00chat", "\xff", "<&>\u2028", "", "", uint64(1)<<63)
	f.Fuzz(func(t *testing.T, service, incarnation, nonce, customer, digest string, window uint64) {
		want := Ticket{Service: service, Incarnation: incarnation, Nonce: nonce, Customer: customer, Digest: digest, Window: window}
		sealed, err := s.Seal(want)
		if err != nil {
			return
		}
		if got, err := s.Open(sealed); err != nil || got != want {
			t.Fatalf("got %+v, error %v, want %+v", got, err, want)
		}
	})
}
