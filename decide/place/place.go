// Package place chooses the upstream for a request. A Picker is an immutable
// snapshot of the candidates of one service: a chat goes to the host that its
// token names, else to the first candidate of its highest-random-weight order
// that is not known to be loaded beyond a multiple of the mean.
//
// The package is pure. A choice takes no lock and allocates nothing.
package place

import "math"

// Order ranks candidates for a request that has no home, or whose home is
// ruled out or loaded.
type Order uint8

// The orders.
const (
	OrderHash        Order = iota // first of the chat's hash order below the limit
	OrderHashPair                 // less loaded of the first two of the hash order below the limit
	OrderTwoChoices               // less loaded of two random candidates
	OrderLeastLoaded              // least loaded candidate known
)

// Settings is the policy of a service: reuse of caches against skew of load.
type Settings struct {
	// HomeMultiple is the load, as a multiple of the mean, from which a router
	// leads a chat away from its home. 0 leaves it to the home's agent to
	// refuse: it knows its load, and routers only know how it was.
	HomeMultiple float64
	// FreshMultiple is the load, as a multiple of the mean, from which the hash
	// order skips a candidate for a request without a usable token. Below the
	// load multiple it keeps room for chats that return with their token, at
	// the cost of those that return without. 0 means the load multiple.
	FreshMultiple float64
	// RemoteCost is added to the load of candidates in other failure domains
	// where loads are compared, as a multiple of the mean.
	RemoteCost float64
	Fresh      Order // for requests without a usable token
	Displaced  Order // for requests whose home is loaded, tried or ruled out
}

// DefaultSettings returns the policy that the experiments favour: a chat stays
// with its home until the home's agent refuses it, then goes to the less loaded
// of the first two of its hash order.
func DefaultSettings() Settings {
	return Settings{Fresh: OrderHash, Displaced: OrderHashPair}
}

// Options configures a Picker.
type Options struct {
	LoadMultiple  float64 // bound that the agents hold, as a multiple of the mean
	FailureDomain string  // of the router
	Settings      Settings
}

// Candidate is an upstream that serves the service.
type Candidate struct {
	Host          string
	Address       string
	FailureDomain string
	Load          float64 // last known; negative if unknown
	Weight        float64 // 1 normal, between 0 and 1 while it returns gradually, 0 ejected
}

// Query asks for a candidate.
type Query struct {
	Key     uint64 // of the chat, from Key
	Prefer  string // host from the chat token, a hint; empty if none
	Second  string // host that the chat left last, a hint for when Prefer cannot be had; empty if none
	Tried   []int  // candidates not to choose again
	Allowed Set    // candidates that the rules allow; nil allows all
	Rand    uint64 // random bits for this query
}

// Picker chooses among a fixed list of candidates. It is immutable; any number
// of goroutines may use it.
type Picker struct {
	settings   Settings
	candidates []Candidate
	index      map[string]int
	seeds      []uint64  // hash of each host
	loads      []float64 // load for the home limit, unknown taken as the mean
	costs      []float64 // load for comparisons: with RemoteCost, over weight
	open       []uint64  // share of the keys, out of 2^64-1, that a candidate takes; 0 ejected
	homeLimit  float64   // loads at or above it lead a chat away from its home
	freshLimit float64   // loads at or above it are skipped for a request without a home
	boundLimit float64   // loads at or above it are skipped for a request led away from its home
}

// idleLoad is the floor of the limits: in an almost idle pool a single request
// in progress does not lead chats away.
const idleLoad = 2

// NewPicker returns a snapshot of candidates. It keeps the slice, which the
// caller must not change afterwards.
func NewPicker(opts Options, candidates []Candidate) *Picker {
	p := &Picker{
		settings:   opts.Settings,
		candidates: candidates,
		index:      make(map[string]int, len(candidates)),
		seeds:      make([]uint64, len(candidates)),
		loads:      make([]float64, len(candidates)),
		costs:      make([]float64, len(candidates)),
		open:       make([]uint64, len(candidates)),
	}
	mean := meanLoad(candidates)
	p.homeLimit = loadLimit(opts.Settings.HomeMultiple, math.Inf(1), mean)
	p.freshLimit = loadLimit(opts.Settings.FreshMultiple, opts.LoadMultiple, mean)
	p.boundLimit = loadLimit(opts.LoadMultiple, math.Inf(1), mean)
	for i, c := range candidates {
		p.index[c.Host] = i
		p.seeds[i] = Key(c.Host)
		p.open[i] = keyShare(c.Weight)
		p.loads[i] = c.Load
		if c.Load < 0 {
			p.loads[i] = mean
		}
		p.costs[i] = p.loads[i]
		if c.FailureDomain != opts.FailureDomain {
			p.costs[i] += opts.Settings.RemoteCost * mean
		}
	}
	return p
}

// loadLimit returns multiple, or fallback if it is 0, times the mean.
func loadLimit(multiple, fallback, mean float64) float64 {
	if multiple == 0 {
		multiple = fallback
	}
	if math.IsInf(multiple, 1) {
		return multiple
	}
	return math.Max(idleLoad, multiple*mean)
}

// meanLoad averages the known loads of candidates that are not ejected: an
// ejected candidate drains, and would make the others look loaded.
func meanLoad(candidates []Candidate) float64 {
	sum, n := 0.0, 0
	for _, c := range candidates {
		if c.Load >= 0 && c.Weight > 0 {
			sum += c.Load
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// keyShare converts a weight to a threshold on 64 hash bits.
func keyShare(weight float64) uint64 {
	switch {
	case weight <= 0:
		return 0
	case weight >= 1:
		return math.MaxUint64
	default:
		return uint64(weight * (1 << 63) * 2)
	}
}

// Len returns the number of candidates.
func (p *Picker) Len() int { return len(p.candidates) }

// Candidate returns candidate i.
func (p *Picker) Candidate(i int) Candidate { return p.candidates[i] }

// Allow returns the set of candidates that allowed accepts. Callers keep it per
// Picker and customer.
func (p *Picker) Allow(allowed func(Candidate) bool) Set {
	s := NewSet(len(p.candidates))
	for i, c := range p.candidates {
		if allowed(c) {
			s.Add(i)
		}
	}
	return s
}

// Pick returns the index of the candidate to try next, or false if every
// candidate is tried, ruled out or ejected.
func (p *Picker) Pick(q Query) (index int, ok bool) {
	home, known := p.index[q.Prefer]
	if !known && len(q.Tried) == 0 {
		return p.spread(p.settings.Fresh, p.freshLimit, &q)
	}
	if known && p.takesHome(home, &q) {
		return home, true
	}
	if second, ok := p.index[q.Second]; ok && p.takesHome(second, &q) {
		return second, true
	}
	return p.spread(p.settings.Displaced, p.boundLimit, &q)
}

// takesHome reports whether a chat that has a cache at candidate i may go there.
func (p *Picker) takesHome(i int, q *Query) bool {
	return p.usable(i, q) && p.loads[i] < p.homeLimit
}

func (p *Picker) spread(order Order, limit float64, q *Query) (int, bool) {
	best := -1
	switch order {
	case OrderHash, OrderHashPair:
		best = p.byHash(order, limit, q)
	case OrderTwoChoices:
		best = p.byTwoChoices(q)
	}
	if best < 0 {
		best = p.leastLoaded(q)
	}
	return best, best >= 0
}

// byHash scans for the first, or the less loaded of the first two, of the
// chat's hash order below the limit; -1 if there is none.
func (p *Picker) byHash(order Order, limit float64, q *Query) int {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i, seed := range p.seeds {
		score := mix(q.Key ^ seed)
		if score < secondScore || p.loads[i] >= limit || !p.usable(i, q) || !p.takes(i, q.Key) {
			continue
		}
		if score >= firstScore {
			second, secondScore = first, firstScore
			first, firstScore = i, score
		} else {
			second, secondScore = i, score
		}
	}
	if order == OrderHashPair && second >= 0 && p.costs[second] < p.costs[first] {
		return second
	}
	return first
}

// drawsPerChoice bounds the random draws for one of two choices.
const drawsPerChoice = 8

func (p *Picker) byTwoChoices(q *Query) int {
	state := q.Rand
	first := p.draw(&state, q, -1)
	if first < 0 {
		return -1
	}
	second := p.draw(&state, q, first)
	if second >= 0 && p.costs[second] < p.costs[first] {
		return second
	}
	return first
}

// draw returns a random usable candidate other than not; -1 if a few draws find none.
func (p *Picker) draw(state *uint64, q *Query, not int) int {
	n := uint64(len(p.candidates))
	if n == 0 {
		return -1
	}
	for range drawsPerChoice {
		*state += gamma
		i := int(mix(*state) >> 32 * n >> 32)
		if i != not && p.usable(i, q) && p.takes(i, *state) {
			return i
		}
	}
	return -1
}

// leastLoaded scans for the usable candidate of the lowest cost. The scan
// starts at a random place, so that routers which know the same loads do not
// all choose the same of several equal ones. Candidates that return gradually
// are taken only if no other is usable.
func (p *Picker) leastLoaded(q *Query) int {
	n := len(p.candidates)
	if n == 0 {
		return -1
	}
	best, bestTakes := -1, false
	i := int(mix(q.Rand) >> 32 * uint64(n) >> 32)
	for range n {
		if p.usable(i, q) {
			takes := p.takes(i, q.Rand)
			if best < 0 || takes && !bestTakes || takes == bestTakes && p.costs[i] < p.costs[best] {
				best, bestTakes = i, takes
			}
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}

func (p *Picker) usable(i int, q *Query) bool {
	if p.open[i] == 0 || q.Allowed != nil && !q.Allowed.Has(i) {
		return false
	}
	for _, t := range q.Tried {
		if t == i {
			return false
		}
	}
	return true
}

// takes reports whether candidate i takes the key at its weight. The keys it
// takes at a lower weight are a subset of those at a higher one.
func (p *Picker) takes(i int, key uint64) bool {
	return p.open[i] == math.MaxUint64 || mix(key+p.seeds[i]) < p.open[i]
}
