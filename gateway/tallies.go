package gateway

import (
	"time"

	"dandelionrill.example/fleet/catalog"
)

// Tally is how many answers an upstream gave lately, and how many of them were
// failures; older ones count less.
type Tally struct{ Answers, Failures float32 }

func (t *Tally) add(other Tally) {
	t.Answers += other.Answers
	t.Failures += other.Failures
}

// tallyAt returns the counts at now.
func (u *upstreamState) tallyAt(now time.Duration) Tally {
	answers, failures := u.tally.At(now)
	return Tally{Answers: float32(answers), Failures: float32(failures)}
}

// Tally returns how many answers an upstream gave to all routers, as far as known.
func (b *Board) Tally(key catalog.Key) Tally {
	sum := b.peers.tally(key)
	b.read(key, func(u *upstreamState, now time.Duration) { sum.add(u.tallyAt(now)) })
	return sum
}

// Tallies are counts by the short hash of the upstream's key.
type Tallies map[uint32]Tally

// leastTally is the count of answers below which a tally is not told.
const leastTally = 0.5

// OwnTallies returns the counts of this router.
func (b *Board) OwnTallies() Tallies {
	out := make(Tallies)
	now := b.now()
	b.each(func(_ *boardShard, key catalog.Key, u *upstreamState) {
		if t := u.tallyAt(now); t.Answers >= leastTally {
			out[key.Sum()] = t
		}
	})
	return out
}

// Answered records an answer of the upstream, and whether it is a failure.
func (b *Board) Answered(key catalog.Key, failed bool) {
	b.update(key, func(u *upstreamState, now time.Duration) { u.tally.Add(now, failed) })
}
