package prompts

import (
	"math"
	"math/rand/v2"
)

// class is a kind of request.
type class struct {
	name       string
	perSecond  float64
	documents  int     // that requests are about
	document   float64 // mean tokens of a document
	own        float64 // mean tokens that belong to the request
	ownSpread  float64 // of the logarithm
	events     float64 // mean events of an answer
	spread     float64 // of the logarithm
	firstAim   float64 // seconds
	firstParts int     // short parts of which each document has one before it
}

// pauseAim is the longest pause between two events of an answer that is on time,
// in seconds.
const pauseAim = 0.4

// classes are those of the users' share registry.
var classes = []class{
	{name: "annual-statement", perSecond: 15.9, documents: 36, document: 10000, own: 1300, ownSpread: 1, events: 76, spread: 0.4, firstAim: 1, firstParts: 3},
	{name: "counter-answer", perSecond: 31.2, documents: 106, document: 580, own: 130, ownSpread: 0.8, events: 58, spread: 0.6, firstAim: 0.5, firstParts: 40},
	{name: "transfer-triage", perSecond: 27.4, documents: 93, document: 1700, own: 360, ownSpread: 1, events: 4.5, spread: 1, firstAim: 0.6, firstParts: 40},
}

// part is a shared part of a prompt.
type part struct {
	key    uint64
	tokens float64
}

// arrival is one request.
type arrival struct {
	at     float64 // seconds
	class  int
	router int
	shared []part
	own    float64 // tokens
	tokens int     // of the answer
}

// logNormal returns a draw with the mean; spread is that of the logarithm.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// skew is the exponent by which the popularity of documents falls.
const skew = 0.3

// popular draws one of n, the first ones more often.
func popular(random *rand.Rand, n int) int {
	// The inverse of the distribution function of a density that falls with x^-skew.
	return min(n-1, int(float64(n)*math.Pow(random.Float64(), 1/(1-skew))))
}

// clump is the number of requests that come together, on average.
const clump = 3

// newTrace returns the arrivals of a time in seconds, at a multiple of the usual
// traffic.
func newTrace(seed uint64, seconds, traffic float64, routers int) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	documents := make([][][]part, len(classes))
	for c, k := range classes {
		for d := range k.documents {
			first := part{key: uint64(c)<<32 | uint64(d%k.firstParts)<<16 | 1, tokens: k.document / 20}
			whole := part{key: uint64(c)<<32 | uint64(d)<<16 | 2, tokens: logNormal(random, k.document, 0.6)}
			documents[c] = append(documents[c], []part{first, whole})
		}
	}
	total := 0.0
	for _, k := range classes {
		total += k.perSecond
	}
	var out []arrival
	for at := 0.0; at < seconds; at += random.ExpFloat64() * clump / (total * traffic) {
		for range 1 + random.IntN(2*clump-1) {
			c := drawClass(random, total)
			k := classes[c]
			out = append(out, arrival{
				at: at, class: c, router: random.IntN(routers),
				shared: documents[c][popular(random, k.documents)],
				own:    logNormal(random, k.own, k.ownSpread),
				tokens: eventTokens * max(1, int(logNormal(random, k.events, k.spread))),
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
