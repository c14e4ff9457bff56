// Package loadunit compares what an agent may count as load: requests, tokens
// held, or requests weighted by the prompt left to prefill. Engines prefill one
// prompt at a time, which slows decoding of all others.
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

// Unit is what counts as load.
type Unit uint8

// The units.
const (
	UnitRequests Unit = iota // requests in progress
	UnitTokens               // prompt and answer tokens held, in thousands
	UnitWeighted             // requests, and one more for each weightTokens left to prefill
	UnitLight                // the same for each lightTokens
	UnitChoice               // agents count requests, routers compare weighted loads
)

// Names of the units.
func (u Unit) String() string {
	return [...]string{"requests", "tokens held / 1000", "requests + prefill left / 500", "requests + prefill left / 2000", "requests; routers compare + prefill left / 500"}[u]
}

// The engines and their requests; times in seconds, sizes in tokens.
const (
	engines       = 12
	step          = 0.01
	duration      = 900.0
	measuredFrom  = 120.0
	prefillRate   = 5000.0 // tokens a second
	decodeBase    = 0.018  // seconds of one token, and more for each request in progress
	decodePerLoad = 0.0006
	interference  = 0.5 // share of the decoding speed left while a prompt is prefilled
	answerTokens  = 209
	answerSigma   = 0.6
	weightTokens  = 500
	lightTokens   = 2000
	tokensUnit    = 1000
	perEngine     = 2.2 // requests a second at load 1
	multiple      = 1.25
	floor         = 4
	attempts      = 3
)

type request struct {
	born, first     float64
	prompt, prefill float64
	answer, decoded float64
}

type engine struct {
	running []*request
	bound   *admit.Bound
	busy    bool
}

// Result is what callers met.
type Result struct {
	FirstP50, FirstP99 float64 // seconds to the first token
	TokenP95           float64 // seconds between tokens, the mean of each answer
	Refused            float64 // share
	Attempts           float64 // per request
	SkewRequests       float64 // p99 over seconds of max over mean
	SkewWeighted       float64
}

func (e *engine) load(u Unit) float64 {
	sum := 0.0
	for _, r := range e.running {
		switch u {
		case UnitRequests, UnitChoice:
			sum++
		case UnitLight:
			sum += 1 + r.prefill/lightTokens
		case UnitTokens:
			sum += (r.prompt + r.decoded) / tokensUnit
		case UnitWeighted:
			sum += 1 + r.prefill/weightTokens
		}
	}
	return sum
}

func (r *request) load(u Unit) float64 {
	return (&engine{running: []*request{r}}).load(u)
}

// advance runs one step and returns the requests that ended.
func (e *engine) advance(now float64) (ended []*request) {
	budget := prefillRate * step
	speed := step / (decodeBase + decodePerLoad*float64(len(e.running)))
	if e.busy {
		speed *= interference
	}
	e.busy = false
	left := e.running[:0]
	for _, r := range e.running {
		switch {
		case r.prefill > 0:
			e.busy = true
			done := math.Min(budget, r.prefill)
			r.prefill -= done
			budget -= done
		default:
			if r.first == 0 {
				r.first = now
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

// Run replays one seeded run.
func Run(u Unit, load float64, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 5))
	var pool []*engine
	for range engines {
		pool = append(pool, &engine{bound: admit.NewBound(admit.Options{Multiple: multiple, Floor: floor})})
	}
	var s samples
	picker := refresh(pool, u, 0)
	next := 0.0
	for tick := 0; float64(tick)*step < duration; tick++ {
		now := float64(tick) * step
		if tick%int(1/step) == 0 {
			picker = refresh(pool, u, now)
			s.skew(pool, now)
		}
		for ; next <= now; next += rng.ExpFloat64() / (load * perEngine * engines) {
			s.submit(pool, picker, newRequest(rng, now), u, now, rng)
		}
		for _, e := range pool {
			for _, r := range e.advance(now) {
				s.end(r, now)
			}
		}
	}
	return s.result()
}

// newRequest draws the prompt left to prefill: most chats are cached, some
// return without their cache, a few are long drafts.
func newRequest(rng *rand.Rand, now float64) *request {
	prefill := 150.0
	switch x := rng.Float64(); {
	case x < 0.05:
		prefill = 6000
	case x < 0.15:
		prefill = 1500
	}
	answer := answerTokens * math.Exp(answerSigma*rng.NormFloat64()-answerSigma*answerSigma/2)
	return &request{born: now, prompt: 1000 + prefill, prefill: prefill, answer: math.Max(8, answer)}
}

// refresh gives the agents the mean and the routers a snapshot.
func refresh(pool []*engine, u Unit, now float64) *place.Picker {
	var candidates []place.Candidate
	sum := 0.0
	for i, e := range pool {
		l := e.load(u)
		sum += l
		if u == UnitChoice {
			l = e.load(UnitWeighted)
		}
		candidates = append(candidates, place.Candidate{Host: fmt.Sprint(i), Load: l, Weight: 1})
	}
	for _, e := range pool {
		e.bound.ObserveMean(sum/engines, engines, time.Duration(now*float64(time.Second)))
	}
	return place.NewPicker(place.Options{LoadMultiple: multiple, Settings: place.DefaultSettings()}, candidates)
}

type samples struct {
	firsts, tokens, requests, weighted []float64
	all, refused, tries                int
}

func (s *samples) submit(pool []*engine, p *place.Picker, r *request, u Unit, now float64, rng *rand.Rand) {
	measured := now >= measuredFrom
	if measured {
		s.all++
	}
	var tried []int
	key := rng.Uint64()
	for range attempts {
		i, ok := p.Pick(place.Query{Key: key, Tried: tried, Rand: rng.Uint64()})
		if !ok {
			break
		}
		if measured {
			s.tries++
		}
		e := pool[i]
		// Work that is heavier than the limit alone must run somewhere.
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

func (s *samples) skew(pool []*engine, now float64) {
	if now < measuredFrom {
		return
	}
	over := func(u Unit) float64 {
		top, sum := 0.0, 0.0
		for _, e := range pool {
			l := e.load(u)
			sum += l
			top = max(top, l)
		}
		return top / math.Max(1, sum/engines)
	}
	s.requests = append(s.requests, over(UnitRequests))
	s.weighted = append(s.weighted, over(UnitWeighted))
}

func (s *samples) end(r *request, now float64) {
	if r.born < measuredFrom {
		return
	}
	s.firsts = append(s.firsts, r.first-r.born)
	s.tokens = append(s.tokens, (now-r.first)/r.answer)
}

func (s *samples) result() Result {
	at := func(values []float64, share float64) float64 {
		slices.Sort(values)
		return values[int(float64(len(values))*share)]
	}
	return Result{
		FirstP50: at(s.firsts, 0.5), FirstP99: at(s.firsts, 0.99), TokenP95: at(s.tokens, 0.95),
		Refused: float64(s.refused) / float64(s.all), Attempts: float64(s.tries) / float64(s.all),
		SkewRequests: at(s.requests, 0.99), SkewWeighted: at(s.weighted, 0.99),
	}
}
