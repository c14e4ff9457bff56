package ticket

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the rapid seed unless one is given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// referenceModel records the complete history of all tickets, without the limits of a
// ledger.
type referenceModel struct {
	ledger  *Ledger
	opts    Options
	window  uint64
	tickets []Ticket
	digests map[string]string
	starts  map[string]int
	notRun  map[string]bool
}

func (r *referenceModel) restart() {
	r.opts.Incarnation += "i"
	r.ledger, r.window = NewLedger(r.opts), 1
}

// forgotten reports whether the ledger is expected to have no record of t.
func (r *referenceModel) forgotten(t Ticket) bool {
	return t.Incarnation != r.opts.Incarnation || t.Window+uint64(r.opts.Windows) <= r.window
}

func (r *referenceModel) pick(t *rapid.T) Ticket {
	if len(r.tickets) == 0 {
		t.Skip("no ticket issued yet")
	}
	return rapid.SampledFrom(r.tickets).Draw(t, "ticket")
}

func (r *referenceModel) issue(t *rapid.T) {
	r.tickets = append(r.tickets, Ticket{
		Incarnation: r.opts.Incarnation, Window: r.window, Nonce: fmt.Sprint(len(r.tickets)),
		Digest: rapid.SampledFrom([]string{"", "0"}).Draw(t, "bound"),
	})
}

func (r *referenceModel) submit(t *rapid.T) {
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
		want = DecisionAccepted
		if got == DecisionFull { // the ledger is full, or was full and sealed the window
			want = DecisionFull
		} else if before >= r.opts.MaxRecords {
			t.Fatalf("ticket accepted although the ledger is full")
		}
	}
	if got != want {
		t.Fatalf("Submit %+v: got %d, want %d", k, got, want)
	}
	switch got {
	case DecisionAccepted:
		r.digests[k.Nonce] = digest
	case DecisionFull, DecisionNotRun:
		r.notRun[k.Nonce] = true
	}
}

func (r *referenceModel) revoke(t *rapid.T) {
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

func (r *referenceModel) start(t *rapid.T) {
	k := r.pick(t)
	if !r.ledger.Start(k.Nonce) {
		return
	}
	if r.starts[k.Nonce]++; r.starts[k.Nonce] > 1 || r.notRun[k.Nonce] {
		t.Fatalf("ticket %+v started %d times, reported as not run: %v", k, r.starts[k.Nonce], r.notRun[k.Nonce])
	}
}

func (r *referenceModel) refuse(t *rapid.T) {
	if k := r.pick(t); r.ledger.Refuse(k.Nonce) {
		r.notRun[k.Nonce] = true
	}
}

func (r *referenceModel) finish(t *rapid.T) {
	r.ledger.Finish(r.pick(t).Nonce, rapid.SampledFrom([]Outcome{OutcomeAnswered, OutcomeLost}).Draw(t, "outcome"))
}

func (r *referenceModel) advance(*rapid.T) {
	r.window++
	r.ledger.Advance()
}

func TestLedgerAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &referenceModel{
			opts:    Options{Windows: rapid.IntRange(1, 3).Draw(t, "windows"), MaxRecords: rapid.IntRange(1, 6).Draw(t, "records")},
			digests: map[string]string{}, starts: map[string]int{}, notRun: map[string]bool{},
		}
		r.restart()
		t.Repeat(map[string]func(*rapid.T){
			"draw": r.issue, "submit": r.submit, "resubmit": r.submit, "start": r.start, "refuse": r.refuse,
			"revoke": r.revoke, "finish": r.finish, "advance": r.advance,
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					r.restart()
				}
			},
			"": func(t *rapid.T) {
				if r.ledger.Records() > r.opts.MaxRecords || r.ledger.Window() != r.window {
					t.Fatalf("ledger has %d records and window %d", r.ledger.Records(), r.ledger.Window())
				}
			},
		})
	})
}
