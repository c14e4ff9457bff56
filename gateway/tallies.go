package gateway

import (
	"time"

	"dandelionrill.example/fleet/catalog"
)

// Tally counts the recent answers of an upstream and how many of them were
// failures. Older answers count less.
type Tally struct{ Answers, Failures float32 }

func (t *Tally) add(counts Tally) {
	t.Answers += counts.Answers
	t.Failures += counts.Failures
}

// answerCountsAt returns the decayed counts at now.
func (u *upstreamState) answerCountsAt(now time.Duration) Tally {
	answers, failures := u.answerCounts.At(now)
	return Tally{Answers: float32(answers), Failures: float32(failures)}
}

// Tally returns the counts of an upstream's answers to all routers, as last
// reported.
func (b *Board) Tally(key catalog.Key) Tally {
	sum := b.peers.answerCounts(key)
	b.read(key, func(u *upstreamState, now time.Duration) { sum.add(u.answerCountsAt(now)) })
	return sum
}

// Tallies maps the short hash of an upstream's key to its counts.
type Tallies map[uint32]Tally

// minReportedAnswers is the count of answers below which an upstream's counts are
// not reported to other routers.
const minReportedAnswers = 0.5

// OwnTallies returns the counts of this router's own requests.
func (b *Board) OwnTallies() Tallies {
	out := make(Tallies)
	now := b.now()
	b.each(func(_ *boardShard, key catalog.Key, u *upstreamState) {
		if t := u.answerCountsAt(now); t.Answers >= minReportedAnswers {
			out[key.Sum()] = t
		}
	})
	return out
}

// Answered records an answer of the upstream, and whether it is a failure.
func (b *Board) Answered(key catalog.Key, failed bool) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.answerCounts.Add(now, failed) })
}
