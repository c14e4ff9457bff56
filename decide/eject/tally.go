package eject

import (
	"math"
	"time"
)

// tallyForget is the time in which half of a tally is forgotten: at a few answers
// a second it holds some ten of them, and a fault that is over is forgotten in
// seconds.
const tallyForget = 3 * time.Second

// Tally counts the answers of a host and the failures among them; what is old
// counts less. The zero Tally holds nothing. It is not safe for concurrent use.
type Tally struct {
	answers, failures float64
	at                time.Duration
}

// Add counts an answer at now.
func (t *Tally) Add(now time.Duration, failed bool) {
	t.answers, t.failures = t.At(now)
	t.at = now
	t.answers++
	if failed {
		t.failures++
	}
}

// At returns the counts at now.
func (t *Tally) At(now time.Duration) (answers, failures float64) {
	left := math.Exp2(-float64(max(0, now-t.at)) / float64(tallyForget))
	return t.answers * left, t.failures * left
}

// tallyPrior is the number of answers at the pool's own rate that each host is
// taken to have given beside those counted.
const tallyPrior = 2

// Excess returns by how much the share of failures of each host is above that of
// its pool, 0 if it is not. Hosts without answers have none.
func Excess(answers, failures []float64) []float64 {
	total, failed := 0.0, 0.0
	for i := range answers {
		total += answers[i]
		failed += failures[i]
	}
	out := make([]float64, len(answers))
	if failed == 0 {
		return out
	}
	pool := failed / total
	for i := range out {
		out[i] = max(0, (failures[i]+tallyPrior*pool)/(answers[i]+tallyPrior)-pool)
	}
	return out
}
