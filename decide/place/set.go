package place

const wordBits = 64

// Set is a set of candidate indices. As Query.Allowed, a nil Set means all
// candidates.
type Set []uint64

// NewSet returns an empty set for n candidates.
func NewSet(n int) Set { return make(Set, (n+wordBits-1)/wordBits) }

// Add adds i to the set.
func (s Set) Add(i int) { s[i/wordBits] |= 1 << (i % wordBits) }

// Has reports whether i is in the set.
func (s Set) Has(i int) bool {
	w := i / wordBits
	return w < len(s) && s[w]&(1<<(i%wordBits)) != 0
}
