package place

import "math"

// spreadFullLoad is the load, as a multiple of its slots, from which a replica is the last
// that ChooseSpread prefers among those with the same requests of the router.
const spreadFullLoad = 3

// ChooseSpread returns the replica that has the fewest requests of this router, and among
// several one at random, the more probably the more free room it has. own and slots are the
// requests in progress from this router and the slots of each replica. It is for services whose
// replicas are all in use: routers that choose the lowest of loads that are known late all
// choose the same replica, and leave slots of the others free. It returns -1 if all replicas are
// tried, draining or ejected.
func ChooseSpread(opts LeastOptions, replicas []Replica, own, slots []int, random uint64) int {
	best, bestCost := -1, math.Inf(1)
	state := random
	for i := range replicas {
		r := &replicas[i]
		state += gamma
		if r.Tried || r.Draining || r.Weight <= 0 {
			continue
		}
		// The least of exponential variables divided by weights is each with a probability in
		// proportion to its weight.
		room := max(1, spreadFullLoad*float64(slots[i])-r.Load)
		draw := -math.Log(1-float64(mix(state)>>11)/(1<<53)) / room
		cost := float64(own[i]+1)/r.Weight + opts.FailureCost*r.FailureExcess + draw/(1+draw)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
