package eject

import (
	"math"
	"time"
)

// failureCountHalfLife is the half-life of the counts: at a few answers per second
// they cover about ten answers, and a fault that has ended is forgotten within
// seconds.
const failureCountHalfLife = 3 * time.Second

// AnswerCounts counts the answers of a host and the failures among them, with
// exponential decay. The zero AnswerCounts is empty. It is not safe for concurrent
// use.
type AnswerCounts struct {
	answers, failures float64
	at                time.Duration
}

// Add counts an answer at now.
func (c *AnswerCounts) Add(now time.Duration, failed bool) {
	c.answers, c.failures = c.At(now)
	c.at = now
	c.answers++
	if failed {
		c.failures++
	}
}

// At returns the counts at now.
func (c *AnswerCounts) At(now time.Duration) (answers, failures float64) {
	decay := math.Exp2(-float64(max(0, now-c.at)) / float64(failureCountHalfLife))
	return c.answers * decay, c.failures * decay
}

// priorAnswers is the number of answers at the pool's failure rate that is added to
// the counts of each host, so that a few answers do not decide its rate.
const priorAnswers = 2

// Excess returns by how much the failure rate of each host exceeds that of its
// pool, or 0 if it does not. Hosts without answers have no excess.
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
		out[i] = max(0, (failures[i]+priorAnswers*pool)/(answers[i]+priorAnswers)-pool)
	}
	return out
}
