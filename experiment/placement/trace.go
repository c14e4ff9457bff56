// Package placement runs seeded traces of returning chats through the fleet's placement
// code and measures cache reuse, load skew and refusals. It replays placement decisions
// against simple engine models and does not simulate the fleet's processes.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Parameters of the traces and of the engines that serve them.
const (
	meanTurns             = 6
	firstContextTokens    = 400
	meanQuestionTokens    = 150
	meanAnswerTokens      = 209
	maxContextTokens      = 8000
	secondsPerAnswerToken = 0.031  // time per answer token
	secondsPerPromptToken = 0.0001 // time per uncached prompt token
	minGapSeconds         = 15
	shortGapMedianSeconds = 100
	shortGapSigma         = 0.9
	longGapMedianSeconds  = 2 * 3600
	longGapSigma          = 0.6
	longGapShare          = 0.12 // share of gaps between turns that take hours
	lengthSigma           = 0.6
	warmupHours           = 1.0 // part of the trace before the measured part
	requestsPerSecond     = 3.0 // average per engine
	cacheTokens           = 1.5e6
	secondsPerHour        = 3600
	kvBytesPerToken       = 128 << 10
)

// turn is one request of a chat, with times in seconds.
type turn struct {
	at     float64
	chat   int32
	next   float64 // time of the chat's next turn; infinite if none
	prompt int32   // tokens, including the context so far
	answer int32   // tokens
}

// demandCurve returns the demand, as a factor of the average, at a share of the trace's
// length.
type demandCurve func(share float64) float64

func steadyDemand(float64) float64 { return 1 }

// statementSeason is 0.8 times the average demand with a peak of 1.8 times for a fifth
// of the time.
func statementSeason(share float64) float64 {
	if share > 0.5 && share < 0.7 {
		return 1.8
	}
	return 0.8
}

// contestEve concentrates the demand in the second half, with a peak of 2.4 times the
// average.
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

// newTrace returns the turns of a trace of the given length, ordered by time.
func newTrace(seed uint64, engines int, hours float64, shape demandCurve) []turn {
	rng := rand.New(rand.NewPCG(seed, 1))
	span := hours * secondsPerHour
	rate := requestsPerSecond * float64(engines) / meanTurns
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
	context := firstContextTokens + logNormal(rng, meanQuestionTokens, lengthSigma)
	for {
		answer := math.Max(8, logNormal(rng, meanAnswerTokens, lengthSigma))
		t := turn{at: at, chat: chat, prompt: int32(context), answer: int32(answer), next: math.Inf(1)}
		context = math.Min(maxContextTokens, context+answer+logNormal(rng, meanQuestionTokens, lengthSigma))
		at += minGapSeconds + turnGap(rng)
		if rng.Float64() < 1.0/meanTurns || at >= span {
			return append(turns, t)
		}
		t.next = at
		turns = append(turns, t)
	}
}

func turnGap(rng *rand.Rand) float64 {
	if rng.Float64() < longGapShare {
		return longGapMedianSeconds * math.Exp(longGapSigma*rng.NormFloat64())
	}
	return shortGapMedianSeconds * math.Exp(shortGapSigma*rng.NormFloat64())
}

// logNormal returns a log-normally distributed value with the given mean.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}
