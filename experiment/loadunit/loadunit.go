// Package loadunit compares units in which an agent may count its load: requests, tokens
// in memory, or requests weighted by the prompt tokens left to prefill. Engines
// prefill one prompt at a time, which slows the decoding of all other requests.
package loadunit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/place"
)

// Unit is a unit of load.
type Unit uint8

// The compared units.
const (
	UnitRequests       Unit = iota // requests in progress
	UnitTokens                     // prompt and answer tokens in memory, in thousands
	UnitWeighted                   // requests, plus one for each weightTokens left to prefill
	UnitLightWeighted              // requests, plus one for each lightTokens left to prefill
	UnitWeightedChoice             // agents count requests, routers compare loads in UnitWeighted
)

// String returns the name of the unit.
func (u Unit) String() string {
	return [...]string{"requests", "tokens held / 1000", "requests + prefill left / 500", "requests + prefill left / 2000", "requests; routers compare + prefill left / 500"}[u]
}

// Parameters of the engines and their requests; times are in seconds, sizes in tokens.
const (
	engines                 = 12
	stepSeconds             = 0.01
	durationSeconds         = 900.0
	warmUpSeconds           = 120.0
	prefillTokensPerSecond  = 5000.0
	decodeBaseSeconds       = 0.018  // time per answer token, without the share of decodeSecondsPerRequest
	decodeSecondsPerRequest = 0.0006 // added per request in progress
	speedWhilePrefilling    = 0.5    // share of the decoding speed that is left while a prompt is prefilled
	meanAnswerTokens        = 209
	answerSigma             = 0.6
	weightTokens            = 500
	lightTokens             = 2000
	tokensPerLoadUnit       = 1000
	requestsPerEngine       = 2.2 // requests per second at load 1
	loadMultiple            = 1.25
	boundFloor              = 4
	maxAttempts             = 3
)

type request struct {
	createdAt, firstTokenAt float64
	prompt, prefillLeft     float64
	answer, decoded         float64
}

type engine struct {
	running    []*request
	bound      *admit.Bound
	prefilling bool
}

// Result holds the measurements of one run.
type Result struct {
	FirstP50, FirstP99 float64 // seconds to the first token
	TokenP95           float64 // mean seconds between tokens of an answer
	Refused            float64 // share of requests
	Attempts           float64 // per request
	SkewRequests       float64 // 99th percentile of max load / mean load, sampled each second
	SkewWeighted       float64
}

func (e *engine) load(u Unit) float64 {
	sum := 0.0
	for _, r := range e.running {
		switch u {
		case UnitRequests, UnitWeightedChoice:
			sum++
		case UnitLightWeighted:
			sum += 1 + r.prefillLeft/lightTokens
		case UnitTokens:
			sum += (r.prompt + r.decoded) / tokensPerLoadUnit
		case UnitWeighted:
			sum += 1 + r.prefillLeft/weightTokens
		}
	}
	return sum
}

func (r *request) load(u Unit) float64 {
	return (&engine{running: []*request{r}}).load(u)
}

// advance simulates one step and returns the requests that ended.
func (e *engine) advance(now float64) (ended []*request) {
	budget := prefillTokensPerSecond * stepSeconds
	speed := stepSeconds / (decodeBaseSeconds + decodeSecondsPerRequest*float64(len(e.running)))
	if e.prefilling {
		speed *= speedWhilePrefilling
	}
	e.prefilling = false
	left := e.running[:0]
	for _, r := range e.running {
		switch {
		case r.prefillLeft > 0:
			e.prefilling = true
			done := math.Min(budget, r.prefillLeft)
			r.prefillLeft -= done
			budget -= done
		default:
			if r.firstTokenAt == 0 {
				r.firstTokenAt = now
			}
			r.decoded += speed
		}
		if r.decoded >= r.answer {
			ended = append(ended, r)
		} else {
			left = append(left, r)
		}
	}
	e.running = left
	return ended
}

// Run simulates one seeded run at a load that is a multiple of requestsPerEngine.
func Run(u Unit, load float64, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 5))
	var pool []*engine
	for range engines {
		pool = append(pool, &engine{bound: admit.NewBound(admit.Options{Multiple: loadMultiple, Floor: boundFloor})})
	}
	var s samples
	picker := refresh(pool, u, 0)
	next := 0.0
	for tick := 0; float64(tick)*stepSeconds < durationSeconds; tick++ {
		now := float64(tick) * stepSeconds
		if tick%int(1/stepSeconds) == 0 {
			picker = refresh(pool, u, now)
			s.recordSkew(pool, now)
		}
		for ; next <= now; next += rng.ExpFloat64() / (load * requestsPerEngine * engines) {
			s.submit(pool, picker, newRequest(rng, now), u, now, rng)
		}
		for _, e := range pool {
			for _, r := range e.advance(now) {
				s.recordEnd(r, now)
			}
		}
	}
	return s.result()
}

// newRequest returns a request with a random number of prompt tokens left to prefill: few
// for most chats, which are cached, more for 10 % that return to a cold cache, and many for
// 5 % that are long drafts.
func newRequest(rng *rand.Rand, now float64) *request {
	prefill := 150.0
	switch x := rng.Float64(); {
	case x < 0.05:
		prefill = 6000
	case x < 0.15:
		prefill = 1500
	}
	answer := meanAnswerTokens * math.Exp(answerSigma*rng.NormFloat64()-answerSigma*answerSigma/2)
	return &request{createdAt: now, prompt: 1000 + prefill, prefillLeft: prefill, answer: math.Max(8, answer)}
}

// refresh gives the agents the mean and returns a picker with the current loads.
func refresh(pool []*engine, u Unit, now float64) *place.Picker {
	var candidates []place.Candidate
	sum := 0.0
	for i, e := range pool {
		l := e.load(u)
		sum += l
		if u == UnitWeightedChoice {
			l = e.load(UnitWeighted)
		}
		candidates = append(candidates, place.Candidate{Host: fmt.Sprint(i), Load: l, Weight: 1})
	}
	for _, e := range pool {
		e.bound.ObserveMean(sum/engines, engines, time.Duration(now*float64(time.Second)))
	}
	return place.NewPicker(place.Options{LoadMultiple: loadMultiple, Settings: place.DefaultSettings()}, candidates)
}

type samples struct {
	firstTokens, tokenIntervals, requestSkews, weightedSkews []float64
	all, refused, attempts                                   int
}

func (s *samples) submit(pool []*engine, p *place.Picker, r *request, u Unit, now float64, rng *rand.Rand) {
	measured := now >= warmUpSeconds
	if measured {
		s.all++
	}
	var tried []int
	key := rng.Uint64()
	for range maxAttempts {
		i, ok := p.Pick(place.Query{Key: key, Tried: tried, Rand: rng.Uint64()})
		if !ok {
			break
		}
		if measured {
			s.attempts++
		}
		e := pool[i]
		// An idle engine takes any request, since one that exceeds the limit on its own must run
		// somewhere.
		if l := e.load(u); l == 0 || l+r.load(u) <= float64(e.bound.Limit(time.Duration(now*float64(time.Second)))) {
			e.running = append(e.running, r)
			return
		}
		tried = append(tried, i)
	}
	if measured {
		s.refused++
	}
}

func (s *samples) recordSkew(pool []*engine, now float64) {
	if now < warmUpSeconds {
		return
	}
	skewOf := func(u Unit) float64 {
		top, sum := 0.0, 0.0
		for _, e := range pool {
			l := e.load(u)
			sum += l
			top = max(top, l)
		}
		return top / math.Max(1, sum/engines)
	}
	s.requestSkews = append(s.requestSkews, skewOf(UnitRequests))
	s.weightedSkews = append(s.weightedSkews, skewOf(UnitWeighted))
}

func (s *samples) recordEnd(r *request, now float64) {
	if r.createdAt < warmUpSeconds {
		return
	}
	s.firstTokens = append(s.firstTokens, r.firstTokenAt-r.createdAt)
	s.tokenIntervals = append(s.tokenIntervals, (now-r.firstTokenAt)/r.answer)
}

func (s *samples) result() Result {
	at := func(values []float64, share float64) float64 {
		slices.Sort(values)
		return values[int(float64(len(values))*share)]
	}
	return Result{
		FirstP50: at(s.firstTokens, 0.5), FirstP99: at(s.firstTokens, 0.99), TokenP95: at(s.tokenIntervals, 0.95),
		Refused: float64(s.refused) / float64(s.all), Attempts: float64(s.attempts) / float64(s.all),
		SkewRequests: at(s.requestSkews, 0.99), SkewWeighted: at(s.weightedSkews, 0.99),
	}
}
