package prompts

import (
	"math"
	"math/rand/v2"
)

// class describes a kind of request.
type class struct {
	name            string
	perSecond       float64
	documents       int     // number of documents that requests refer to
	documentTokens  float64 // mean tokens per document
	ownTokens       float64 // mean tokens that only this request has
	ownSpread       float64 // standard deviation of the logarithm of ownTokens
	answerEvents    float64 // mean events per answer
	eventsSpread    float64 // standard deviation of the logarithm of answerEvents
	maxFirstSeconds float64 // longest time to the first event of an answer that is on time
	leadingParts    int     // number of short leading parts; each document starts with one of them
}

// maxPauseSeconds is the longest pause between two events of an answer that is on time.
const maxPauseSeconds = 0.4

// classes are the request classes of the users' share registry.
var classes = []class{
	{name: "annual-statement", perSecond: 15.9, documents: 36, documentTokens: 10000, ownTokens: 1300, ownSpread: 1, answerEvents: 76, eventsSpread: 0.4, maxFirstSeconds: 1, leadingParts: 3},
	{name: "counter-answer", perSecond: 31.2, documents: 106, documentTokens: 580, ownTokens: 130, ownSpread: 0.8, answerEvents: 58, eventsSpread: 0.6, maxFirstSeconds: 0.5, leadingParts: 40},
	{name: "transfer-triage", perSecond: 27.4, documents: 93, documentTokens: 1700, ownTokens: 360, ownSpread: 1, answerEvents: 4.5, eventsSpread: 1, maxFirstSeconds: 0.6, leadingParts: 40},
}

// part is a prompt part that several requests share.
type part struct {
	key    uint64
	tokens float64
}

// arrival is one request.
type arrival struct {
	at           float64 // seconds
	class        int
	router       int
	shared       []part
	ownTokens    float64
	answerTokens int
}

// logNormal returns a log-normally distributed value with the given mean; spread is the
// standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// popularityExponent is the exponent with which the popularity of documents falls.
const popularityExponent = 0.3

// drawDocument draws one of n documents; lower indexes are drawn more often.
func drawDocument(random *rand.Rand, n int) int {
	// The inverse of the distribution function of a density that falls with
	// x^-popularityExponent.
	return min(n-1, int(float64(n)*math.Pow(random.Float64(), 1/(1-popularityExponent))))
}

// meanBurst is the mean number of requests that arrive at the same time.
const meanBurst = 3

// newTrace returns the arrivals of the given number of seconds at a multiple of the usual
// traffic.
func newTrace(seed uint64, seconds, traffic float64, routers int) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	documents := make([][][]part, len(classes))
	for c, k := range classes {
		for d := range k.documents {
			first := part{key: uint64(c)<<32 | uint64(d%k.leadingParts)<<16 | 1, tokens: k.documentTokens / 20}
			document := part{key: uint64(c)<<32 | uint64(d)<<16 | 2, tokens: logNormal(random, k.documentTokens, 0.6)}
			documents[c] = append(documents[c], []part{first, document})
		}
	}
	total := 0.0
	for _, k := range classes {
		total += k.perSecond
	}
	var out []arrival
	for at := 0.0; at < seconds; at += random.ExpFloat64() * meanBurst / (total * traffic) {
		for range 1 + random.IntN(2*meanBurst-1) {
			c := drawClass(random, total)
			k := classes[c]
			out = append(out, arrival{
				at: at, class: c, router: random.IntN(routers),
				shared:       documents[c][drawDocument(random, k.documents)],
				ownTokens:    logNormal(random, k.ownTokens, k.ownSpread),
				answerTokens: tokensPerEvent * max(1, int(logNormal(random, k.answerEvents, k.eventsSpread))),
			})
		}
	}
	return out
}

func drawClass(random *rand.Rand, total float64) int {
	left := random.Float64() * total
	for c, k := range classes {
		if left -= k.perSecond; left < 0 {
			return c
		}
	}
	return len(classes) - 1
}
