package ticket

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var testKey = bytes.Repeat([]byte{7}, MinKeyBytes)

func testTicket(nonce string) Ticket {
	return Ticket{Service: "ledger", Host: "h1", Address: "127.0.0.1:1", Incarnation: "a", Window: 1, Nonce: nonce, Customer: "c"}
}

func TestSealOpen(t *testing.T) {
	s, err := NewSigner(testKey)
	must.NoError(t, err)
	sealed, err := s.Seal(testTicket("n"))
	must.NoError(t, err)
	got, err := s.Open(sealed)
	must.NoError(t, err)
	must.Eq(t, testTicket("n"), got)
	for i := range len(sealed) {
		forged := []byte(sealed)
		forged[i] ^= 1
		_, err := s.Open(string(forged))
		must.ErrorIs(t, err, ErrInvalid)
	}
	_, err = s.Seal(Ticket{Nonce: "n"})
	must.ErrorIs(t, err, ErrInvalid)
	_, err = NewSigner(testKey[1:])
	must.Error(t, err)
}

func TestBodyDigestSeparatesParts(t *testing.T) {
	must.NotEq(t, BodyDigest("POST", "/a", "b", nil), BodyDigest("POST", "/ab", "", nil))
	must.NotEq(t, BodyDigest("POST", "/a", "", []byte("x")), BodyDigest("POST", "/a", "x", nil))
}

func TestLedger(t *testing.T) {
	l := NewLedger(Options{Incarnation: "a", Windows: 2, MaxRecords: 3})
	n1, n2 := testTicket("n1"), testTicket("n2")
	must.Eq(t, DecisionAccepted, l.Submit(n1, "d"))
	must.Eq(t, DecisionKnown, l.Submit(n1, "d"))
	must.Eq(t, DecisionDigestMismatch, l.Submit(n1, "other"))
	must.True(t, l.Start("n1"))
	must.False(t, l.Start("n1"))
	must.Eq(t, DecisionKnown, l.Revoke(n1))
	must.Eq(t, DecisionNotRun, l.Revoke(n2))
	must.Eq(t, DecisionNotRun, l.Submit(n2, "d"))
	must.False(t, l.Start("n2"))
	must.Eq(t, DecisionAccepted, l.Submit(testTicket("n3"), "d"))
	must.True(t, l.Refuse("n3"))
	must.False(t, l.Start("n3"))

	must.Eq(t, DecisionFull, l.Submit(testTicket("n4"), "d"))
	l.Advance()
	must.Eq(t, DecisionFull, l.Submit(testTicket("n4"), "d"))
	l.Advance()
	must.Eq(t, 0, l.Records())
	must.Eq(t, DecisionMayHaveRun, l.Submit(n1, "d"))
	must.Eq(t, DecisionMayHaveRun, l.Revoke(testTicket("n4")))

	other, future := testTicket("n5"), testTicket("n6")
	other.Incarnation, future.Window = "b", 4
	must.Eq(t, DecisionMayHaveRun, l.Submit(other, "d"))
	must.Eq(t, DecisionInvalid, l.Submit(future, "d"))
}

// BenchmarkLedger submits, starts and finishes tickets, and reports the memory
// of one record.
func BenchmarkLedger(b *testing.B) {
	l := NewLedger(Options{Incarnation: "a", MaxRecords: b.N})
	nonces := make([]string, b.N)
	for i := range nonces {
		nonces[i] = fmt.Sprintf("%032x", i)
	}
	digest := BodyDigest("POST", "/", "", nil)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for _, nonce := range nonces {
		l.Submit(testTicket(nonce), strings.Clone(digest))
		l.Start(nonce)
		l.Finish(nonce, OutcomeAnswered)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/record")
	runtime.KeepAlive(l)
}

func BenchmarkOpen(b *testing.B) {
	s, err := NewSigner(testKey)
	must.NoError(b, err)
	sealed, err := s.Seal(testTicket("n"))
	must.NoError(b, err)
	for b.Loop() {
		_, _ = s.Open(sealed)
	}
}
