package gateway

import (
	"time"

	"dandelionrill.example/fleet/catalog"
)

// Tally counts the recent answers of an upstream and how many of them were
// failures. Older answers count less. Routers send it to each other with gob,
// which also sends the name of the type.
type Tally struct{ Answers, Failures float32 }

func (c *Tally) add(counts Tally) {
	c.Answers += counts.Answers
	c.Failures += counts.Failures
}

// answerCountsAt returns the decayed counts at now.
func (u *upstreamState) answerCountsAt(now time.Duration) Tally {
	answers, failures := u.answerCounts.At(now)
	return Tally{Answers: float32(answers), Failures: float32(failures)}
}

// AnswerCounts returns the counts of an upstream's answers to all routers, as last
// reported.
func (b *Board) AnswerCounts(key catalog.Key) Tally {
	sum := b.peers.answerCounts(key)
	b.read(key, func(u *upstreamState, now time.Duration) { sum.add(u.answerCountsAt(now)) })
	return sum
}

// AnswerCountsByUpstream maps the short hash of an upstream's key to its counts.
type AnswerCountsByUpstream map[uint32]Tally

// minReportedAnswers is the count of answers below which an upstream's counts are
// not reported to other routers.
const minReportedAnswers = 0.5

// OwnAnswerCounts returns the counts of this router's own requests.
func (b *Board) OwnAnswerCounts() AnswerCountsByUpstream {
	out := make(AnswerCountsByUpstream)
	now := b.now()
	b.each(func(_ *boardShard, key catalog.Key, u *upstreamState) {
		if counts := u.answerCountsAt(now); counts.Answers >= minReportedAnswers {
			out[key.Sum()] = counts
		}
	})
	return out
}

// RecordAnswer records an answer of the upstream, and whether it is a failure.
func (b *Board) RecordAnswer(key catalog.Key, failed bool) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.answerCounts.Add(now, failed) })
}
