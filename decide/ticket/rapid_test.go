package ticket

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// reference keeps the whole history of all tickets, which no ledger may.
type reference struct {
	ledger  *Ledger
	opts    Options
	window  uint64
	tickets []Ticket
	digests map[string]string
	starts  map[string]int
	notRun  map[string]bool
}

func (r *reference) crash() {
	r.opts.Incarnation += "i"
	r.ledger, r.window = NewLedger(r.opts), 1
}

// forgotten tells whether the ledger may know nothing of t.
func (r *reference) forgotten(t Ticket) bool {
	return t.Incarnation != r.opts.Incarnation || t.Window+uint64(r.opts.Windows) <= r.window
}

func (r *reference) pick(t *rapid.T) Ticket {
	if len(r.tickets) == 0 {
		t.Skip("no ticket drawn")
	}
	return rapid.SampledFrom(r.tickets).Draw(t, "ticket")
}

func (r *reference) draw(t *rapid.T) {
	r.tickets = append(r.tickets, Ticket{
		Incarnation: r.opts.Incarnation, Window: r.window, Nonce: fmt.Sprint(len(r.tickets)),
		Digest: rapid.SampledFrom([]string{"", "0"}).Draw(t, "bound"),
	})
}

func (r *reference) submit(t *rapid.T) {
	k, digest := r.pick(t), rapid.SampledFrom([]string{"0", "0", "1"}).Draw(t, "digest")
	known, before := r.ledger.Phase(k.Nonce), r.ledger.Records()
	got := r.ledger.Submit(k, digest)
	want := DecisionKnown
	switch {
	case r.forgotten(k):
		want = DecisionMayHaveRun
	case k.Digest != "" && k.Digest != digest, r.digests[k.Nonce] != "" && r.digests[k.Nonce] != digest:
		want = DecisionDigestMismatch
	case r.notRun[k.Nonce] && known == PhaseUnknown:
		want = DecisionFull
	case r.notRun[k.Nonce]:
		want = DecisionNotRun
	case known == PhaseUnknown:
		want = DecisionHold
		if got == DecisionFull { // also where the window was sealed, which takes a full ledger
			want = DecisionFull
		} else if before >= r.opts.MaxRecords {
			t.Fatalf("held without a free record")
		}
	}
	if got != want {
		t.Fatalf("Submit %+v: got %d, want %d", k, got, want)
	}
	switch got {
	case DecisionHold:
		r.digests[k.Nonce] = digest
	case DecisionFull, DecisionNotRun:
		r.notRun[k.Nonce] = true
	}
}

func (r *reference) revoke(t *rapid.T) {
	k := r.pick(t)
	want := DecisionNotRun
	switch {
	case r.forgotten(k):
		want = DecisionMayHaveRun
	case r.starts[k.Nonce] > 0:
		want = DecisionKnown
	}
	if got := r.ledger.Revoke(k); got != want {
		t.Fatalf("Revoke %+v: got %d, want %d", k, got, want)
	}
	if want == DecisionNotRun {
		r.notRun[k.Nonce] = true
		if r.ledger.Phase(k.Nonce) == PhaseNotRun && r.digests[k.Nonce] == "" {
			r.digests[k.Nonce] = k.Digest
		}
	}
}

func (r *reference) start(t *rapid.T) {
	k := r.pick(t)
	if !r.ledger.Start(k.Nonce) {
		return
	}
	if r.starts[k.Nonce]++; r.starts[k.Nonce] > 1 || r.notRun[k.Nonce] {
		t.Fatalf("ticket %+v started %d times, said not run: %v", k, r.starts[k.Nonce], r.notRun[k.Nonce])
	}
}

func (r *reference) refuse(t *rapid.T) {
	if k := r.pick(t); r.ledger.Refuse(k.Nonce) {
		r.notRun[k.Nonce] = true
	}
}

func (r *reference) finish(t *rapid.T) {
	r.ledger.Finish(r.pick(t).Nonce, rapid.SampledFrom([]Outcome{OutcomeAnswered, OutcomeLost}).Draw(t, "outcome"))
}

func (r *reference) advance(*rapid.T) {
	r.window++
	r.ledger.Advance()
}

func TestLedgerAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reference{
			opts:    Options{Windows: rapid.IntRange(1, 3).Draw(t, "windows"), MaxRecords: rapid.IntRange(1, 6).Draw(t, "records")},
			digests: map[string]string{}, starts: map[string]int{}, notRun: map[string]bool{},
		}
		r.crash()
		t.Repeat(map[string]func(*rapid.T){
			"draw": r.draw, "submit": r.submit, "resubmit": r.submit, "start": r.start, "refuse": r.refuse,
			"revoke": r.revoke, "finish": r.finish, "advance": r.advance,
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					r.crash()
				}
			},
			"": func(t *rapid.T) {
				if r.ledger.Records() > r.opts.MaxRecords || r.ledger.Window() != r.window {
					t.Fatalf("%d records, window %d", r.ledger.Records(), r.ledger.Window())
				}
			},
		})
	})
}
