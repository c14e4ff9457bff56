// Package placement runs seeded traces of returning chats through the placement
// decisions of the fleet and measures cache reuse, skew of load and refusals.
// It replays decisions over simple models of engines; it is no simulator of the
// fleet's processes.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Shape of the traces. Sizes are in tokens, times in seconds.
const (
	meanTurns       = 6
	firstContext    = 400
	meanQuestion    = 150
	meanAnswer      = 209
	maxContext      = 8000
	tokenSeconds    = 0.031  // between tokens
	prefillSeconds  = 0.0001 // per uncached prompt token
	minGap          = 15
	minutesMedian   = 100
	minutesSigma    = 0.9
	hoursMedian     = 2 * 3600
	hoursSigma      = 0.6
	hoursShare      = 0.12 // of the gaps
	answerSigma     = 0.6
	earlierHours    = 1.0 // trace before the measured part
	requestsPerSec  = 3.0 // per engine on average
	cacheTokens     = 1.5e6
	secondsPerHour  = 3600
	kvBytesPerToken = 128 << 10
)

// turn is one request of a chat.
type turn struct {
	at     float64
	chat   int32
	next   float64 // time of the chat's next turn; infinite if none
	prompt int32   // tokens, with the context so far
	answer int32   // tokens
}

// loadShape gives the load over time as a factor of the average.
type loadShape func(share float64) float64

func steady(float64) float64 { return 1 }

// statementSeason doubles the load for a fifth of the time.
func statementSeason(share float64) float64 {
	if share > 0.5 && share < 0.7 {
		return 1.8
	}
	return 0.8
}

// contestEve crowds the demand into the second half.
func contestEve(share float64) float64 {
	switch {
	case share < 0.4:
		return 0.4
	case share < 0.6:
		return 0.4 + 10*(share-0.4)
	case share < 0.85:
		return 2.4
	default:
		return 0.6
	}
}

// newTrace returns the turns of the given hours in order of time.
func newTrace(seed uint64, engines int, hours float64, shape loadShape) []turn {
	rng := rand.New(rand.NewPCG(seed, 1))
	span := hours * secondsPerHour
	rate := requestsPerSec * float64(engines) / meanTurns
	peak := 2.4
	var turns []turn
	chat := int32(0)
	for at := 0.0; at < span; at += rng.ExpFloat64() / (rate * peak) {
		if rng.Float64()*peak < shape(at/span) {
			turns = appendChat(turns, rng, chat, at, span)
			chat++
		}
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return cmp.Compare(a.at, b.at) })
	return turns
}

func appendChat(turns []turn, rng *rand.Rand, chat int32, at, span float64) []turn {
	context := firstContext + logNormal(rng, meanQuestion, answerSigma)
	for {
		answer := math.Max(8, logNormal(rng, meanAnswer, answerSigma))
		t := turn{at: at, chat: chat, prompt: int32(context), answer: int32(answer), next: math.Inf(1)}
		context = math.Min(maxContext, context+answer+logNormal(rng, meanQuestion, answerSigma))
		at += minGap + gap(rng)
		if rng.Float64() < 1.0/meanTurns || at >= span {
			return append(turns, t)
		}
		t.next = at
		turns = append(turns, t)
	}
}

func gap(rng *rand.Rand) float64 {
	if rng.Float64() < hoursShare {
		return hoursMedian * math.Exp(hoursSigma*rng.NormFloat64())
	}
	return minutesMedian * math.Exp(minutesSigma*rng.NormFloat64())
}

// logNormal draws with the given mean.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}
