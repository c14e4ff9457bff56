package ticket

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const replayMaxRecords = 8

// replay applies the transitions of a trace of spec/outcomes.pml to two ledgers.
type replay struct {
	ledgers [2]*Ledger
	tickets map[int]Ticket
	starts  map[string]int
	notRun  map[string]bool
}

func newReplay() *replay {
	r := &replay{tickets: map[int]Ticket{}, starts: map[string]int{}, notRun: map[string]bool{}}
	for k := range r.ledgers {
		r.ledgers[k] = NewLedger(Options{Incarnation: fmt.Sprint(k), Windows: 1, MaxRecords: replayMaxRecords})
	}
	r.tickets[0] = Ticket{Incarnation: "0", Window: 1, Nonce: "0"} // the ticket that the caller already has
	return r
}

var decisionNames = map[Decision]string{
	DecisionAccepted: "Hold", DecisionKnown: "Known", DecisionDigestMismatch: "DigestMismatch",
	DecisionMayHaveRun: "MayHaveRun", DecisionNotRun: "NotRun", DecisionFull: "Full",
}

// step performs a transition and returns its result, "-" if it has none. k is the
// index of the ledger and t that of the ticket.
func (r *replay) step(name string, k, t int, body string) string {
	l, ticket := r.ledgers[k], r.tickets[t]
	switch name {
	case "Draw":
		r.tickets[t] = Ticket{Incarnation: fmt.Sprint(k), Window: l.Window(), Nonce: fmt.Sprint(t), Digest: body}
	case "Submit":
		return r.recordDecision(ticket, l.Submit(ticket, body))
	case "Revoke":
		return r.recordDecision(ticket, l.Revoke(ticket))
	case "Start":
		started := l.Start(ticket.Nonce)
		if started {
			r.starts[ticket.Nonce]++
		}
		return fmt.Sprint(started)
	case "Refuse":
		r.notRun[ticket.Nonce] = true
		return fmt.Sprint(l.Refuse(ticket.Nonce))
	case "Finish":
		l.Finish(ticket.Nonce, map[string]Outcome{"Answered": OutcomeAnswered, "Lost": OutcomeLost}[body])
	case "Advance":
		l.Advance()
	case "Fill":
		for i := range replayMaxRecords {
			l.Revoke(Ticket{Incarnation: fmt.Sprint(k), Window: l.Window(), Nonce: fmt.Sprint("filler", i, l.Window())})
		}
	case "Crash", "Evict":
	default:
		panic("unknown transition " + name)
	}
	return "-"
}

func (r *replay) recordDecision(t Ticket, d Decision) string {
	if d == DecisionNotRun || d == DecisionFull {
		r.notRun[t.Nonce] = true
	}
	return decisionNames[d]
}

// run replays a trace and returns the first line whose result differs between the
// ledger and the model; empty if there is none.
func (r *replay) run(t *testing.T, file string) (difference string) {
	raw, err := os.ReadFile(file)
	must.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		var name, body, want string
		var k, n int
		_, err := fmt.Sscan(line, &name, &k, &n, &body, &want)
		must.NoError(t, err)
		if name == "Finish" {
			body, want = want, "-"
		}
		got := r.step(name, k, n, body)
		if got != want && difference == "" {
			difference = fmt.Sprintf("%s: got %s", strings.TrimSpace(line), got)
		}
	}
	for nonce, n := range r.starts {
		must.Eq(t, 1, n, must.Sprint("starts of ", nonce))
		must.False(t, r.notRun[nonce], must.Sprint("started and not run: ", nonce))
	}
	return difference
}

// ledgerGuards are the guards of the model that the ledger implements. The others
// are implemented by the router, the agent's HTTP client or the key claims; removing
// one of those from the model does not change how the ledger must behave.
const ledgerGuards = " NO_INCARNATION NO_WINDOW EVICT NO_TOMBSTONE REVOKE_HELD REVOKE_UNKNOWN START_TWICE NO_SEAL NO_DIGEST "

func TestLedgerFollowsModel(t *testing.T) {
	files, err := filepath.Glob("../../spec/traces/*.txt")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	guards := 0
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			difference := newReplay().run(t, file)
			if !strings.Contains(ledgerGuards, " "+strings.TrimPrefix(name, "ticket-")+" ") {
				must.Eq(t, "", difference)
				return
			}
			guards++
			must.NotEq(t, "", difference, must.Sprint("the ledger behaves like the model without the guard"))
		})
	}
	must.Eq(t, len(strings.Fields(ledgerGuards)), guards)
}
