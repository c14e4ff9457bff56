package place

// gamma is the increment of the splitmix64 generator.
const gamma = 0x9e3779b97f4a7c15

// FNV-1a constants for 64 bits.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// Key hashes a chat identifier. The result is the same on every router and in
// every release.
func Key(chat string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(chat) {
		h = (h ^ uint64(chat[i])) * fnvPrime
	}
	return mix(h)
}

// mix is the finalizer of splitmix64: every input bit affects every output bit.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Owner returns the index of the host that owns key by highest random weight;
// -1 if there are no hosts. Losing another host does not change the owner.
func Owner(key uint64, hosts []string) int {
	best, bestScore := -1, uint64(0)
	for i, host := range hosts {
		if score := Weight(key, Key(host)); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Weight returns the weight of a host for key, by the key of the host. The hosts with the highest
// weights are the same on every router; losing another host does not change them.
func Weight(key, host uint64) uint64 { return mix(key ^ host) }
