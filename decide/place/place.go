// Package place chooses the upstream for a request. A Picker is an immutable
// snapshot of the candidates of one service: a chat goes to the host named in its
// token, otherwise to the first candidate in its highest-random-weight order whose
// known load is below a multiple of the mean.
//
// The package performs no I/O and keeps no global state. A choice takes no lock
// and does not allocate.
package place

import "math"

// Order is how a candidate is chosen for a request that has no home, or whose home
// is excluded or overloaded.
type Order uint8

// Possible orders.
const (
	OrderHash        Order = iota // first in the chat's hash order below the load limit
	OrderHashPair                 // less loaded of the first two in the hash order below the load limit
	OrderTwoChoices               // less loaded of two random candidates
	OrderLeastLoaded              // least loaded candidate
)

// Settings is the placement policy of a service, which trades cache reuse against
// load balance.
type Settings struct {
	// HomeLoadMultiple is the load, as a multiple of the mean, from which a router
	// avoids a chat's home. 0 leaves it to the agent of the home to refuse: the
	// agent knows the current load, routers only an earlier one.
	HomeLoadMultiple float64
	// NewChatLoadMultiple is the load, as a multiple of the mean, from which the
	// hash order skips a candidate for a request without a usable token. A value
	// below Options.LoadMultiple reserves capacity for chats that return with their
	// token, at the expense of those that return without one. 0 means
	// Options.LoadMultiple.
	NewChatLoadMultiple float64
	// RemoteLoadMultiple is added, as a multiple of the mean, to the load of
	// candidates in other failure domains when loads are compared.
	RemoteLoadMultiple float64
	NewChatOrder       Order // for requests without a usable token
	FallbackOrder      Order // for requests whose home is overloaded, tried or excluded
}

// DefaultSettings returns the default policy: a chat stays at its home until the
// agent of the home refuses it, then goes to the less loaded of the first two
// candidates in its hash order.
func DefaultSettings() Settings {
	return Settings{NewChatOrder: OrderHash, FallbackOrder: OrderHashPair}
}

// Options configures a Picker.
type Options struct {
	LoadMultiple  float64 // load limit that the agents enforce, as a multiple of the mean
	FailureDomain string  // of the router
	Settings      Settings
}

// Candidate is an upstream that serves the service.
type Candidate struct {
	Host          string
	Address       string
	FailureDomain string
	Load          float64 // last known; negative if unknown
	Weight        float64 // 1 normal, between 0 and 1 while ramping up after an ejection, 0 ejected
}

// Query describes the request for which a candidate is chosen.
type Query struct {
	Key           uint64 // hash of the chat identifier, from Key
	PreferredHost string // host from the chat token, a hint; empty if none
	PreviousHost  string // host that served the chat before PreferredHost, a hint used if PreferredHost cannot be chosen; empty if none
	Tried         []int  // candidates that must not be chosen again
	Allowed       Set    // candidates that the rules allow; nil allows all
	Rand          uint64 // random bits for this query
}

// Picker chooses among a fixed list of candidates. It is immutable and safe for
// concurrent use.
type Picker struct {
	settings   Settings
	candidates []Candidate
	index      map[string]int
	seeds      []uint64  // hash of each host
	loads      []float64 // loads checked against the limits; the mean where unknown
	costs      []float64 // loads used for comparisons, with RemoteLoadMultiple added
	keyShares  []uint64  // share of the keys that each candidate accepts, scaled to 2^64-1; 0 if ejected
	homeLimit  float64   // a home with this load or more is avoided
	freshLimit float64   // candidates with this load or more are skipped for a request without a home
	boundLimit float64   // candidates with this load or more are skipped for a request that avoids its home
}

// minLoadLimit is the lower bound of the load limits: in an almost idle pool a
// single request in progress must not make chats avoid a candidate.
const minLoadLimit = 2

// NewPicker returns a picker for the candidates. It retains the slice, which the
// caller must not modify afterwards.
func NewPicker(opts Options, candidates []Candidate) *Picker {
	p := &Picker{
		settings:   opts.Settings,
		candidates: candidates,
		index:      make(map[string]int, len(candidates)),
		seeds:      make([]uint64, len(candidates)),
		loads:      make([]float64, len(candidates)),
		costs:      make([]float64, len(candidates)),
		keyShares:  make([]uint64, len(candidates)),
	}
	mean := meanLoad(candidates)
	p.homeLimit = loadLimit(opts.Settings.HomeLoadMultiple, math.Inf(1), mean)
	p.freshLimit = loadLimit(opts.Settings.NewChatLoadMultiple, opts.LoadMultiple, mean)
	p.boundLimit = loadLimit(opts.LoadMultiple, math.Inf(1), mean)
	for i, c := range candidates {
		p.index[c.Host] = i
		p.seeds[i] = Key(c.Host)
		p.keyShares[i] = keyShare(c.Weight)
		p.loads[i] = c.Load
		if c.Load < 0 {
			p.loads[i] = mean
		}
		p.costs[i] = p.loads[i]
		if c.FailureDomain != opts.FailureDomain {
			p.costs[i] += opts.Settings.RemoteLoadMultiple * mean
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
	return math.Max(minLoadLimit, multiple*mean)
}

// meanLoad averages the known loads of candidates that are not ejected. The load
// of an ejected candidate falls as its requests end, which would make the others
// look overloaded by comparison.
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

// keyShare converts a weight to a threshold on a 64-bit hash.
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

// Allow returns the set of candidates that allowed accepts. Callers cache it per
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
// candidate is tried, excluded or ejected. PreviousHost is ignored on the first
// attempt if PreferredHost is not a candidate.
func (p *Picker) Pick(q Query) (index int, ok bool) {
	home, known := p.index[q.PreferredHost]
	if !known && len(q.Tried) == 0 {
		return p.pickByOrder(p.settings.NewChatOrder, p.freshLimit, &q)
	}
	if known && p.acceptsCachedChat(home, &q) {
		return home, true
	}
	if previous, ok := p.index[q.PreviousHost]; ok && p.acceptsCachedChat(previous, &q) {
		return previous, true
	}
	return p.pickByOrder(p.settings.FallbackOrder, p.boundLimit, &q)
}

// acceptsCachedChat reports whether candidate i, which has the chat cached, is usable
// and below the load limit of a home.
func (p *Picker) acceptsCachedChat(i int, q *Query) bool {
	return p.usable(i, q) && p.loads[i] < p.homeLimit
}

func (p *Picker) pickByOrder(order Order, limit float64, q *Query) (int, bool) {
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

// byHash returns the first candidate in the chat's hash order below the limit, or
// with OrderHashPair the less loaded of the first two; -1 if there is none.
func (p *Picker) byHash(order Order, limit float64, q *Query) int {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i, seed := range p.seeds {
		score := mix(q.Key ^ seed)
		if score < secondScore || p.loads[i] >= limit || !p.usable(i, q) || !p.acceptsKey(i, q.Key) {
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

// maxDrawsPerChoice is the number of random draws made to find one candidate.
const maxDrawsPerChoice = 8

func (p *Picker) byTwoChoices(q *Query) int {
	state := q.Rand
	first := p.randomCandidate(&state, q, -1)
	if first < 0 {
		return -1
	}
	second := p.randomCandidate(&state, q, first)
	if second >= 0 && p.costs[second] < p.costs[first] {
		return second
	}
	return first
}

// randomCandidate returns a random usable candidate other than except; -1 if
// maxDrawsPerChoice draws find none.
func (p *Picker) randomCandidate(state *uint64, q *Query, except int) int {
	n := uint64(len(p.candidates))
	if n == 0 {
		return -1
	}
	for range maxDrawsPerChoice {
		*state += gamma
		i := int(mix(*state) >> 32 * n >> 32)
		if i != except && p.usable(i, q) && p.acceptsKey(i, *state) {
			return i
		}
	}
	return -1
}

// leastLoaded returns the usable candidate with the lowest cost; -1 if there is
// none. The scan starts at a random index, so that routers that know the same
// loads do not all choose the same of several equally loaded candidates. A
// candidate that does not accept the key at its weight is chosen only if no other
// is usable.
func (p *Picker) leastLoaded(q *Query) int {
	n := len(p.candidates)
	if n == 0 {
		return -1
	}
	best, bestAccepts := -1, false
	i := int(mix(q.Rand) >> 32 * uint64(n) >> 32)
	for range n {
		if p.usable(i, q) {
			accepts := p.acceptsKey(i, q.Rand)
			if best < 0 || accepts && !bestAccepts || accepts == bestAccepts && p.costs[i] < p.costs[best] {
				best, bestAccepts = i, accepts
			}
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}

func (p *Picker) usable(i int, q *Query) bool {
	if p.keyShares[i] == 0 || q.Allowed != nil && !q.Allowed.Has(i) {
		return false
	}
	for _, t := range q.Tried {
		if t == i {
			return false
		}
	}
	return true
}

// acceptsKey reports whether candidate i accepts the key at its weight. The keys
// accepted at a lower weight are a subset of those accepted at a higher one.
func (p *Picker) acceptsKey(i int, key uint64) bool {
	return p.keyShares[i] == math.MaxUint64 || mix(key+p.seeds[i]) < p.keyShares[i]
}
