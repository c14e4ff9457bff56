package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/decide/admit"
)

// engine models one upstream with its agent: requests in progress, a prefix
// cache, and the load bound.
type engine struct {
	host    string
	domain  string
	up      bool
	load    int
	life    int // incremented when it fails: its requests in progress are gone
	cache   *lru
	bound   *admit.Bound
	history []float64 // load at each second
}

// finish is the end of a request.
type finish struct {
	at     float64
	engine int
	life   int
	turn   turn
}

// finishes is a heap with the earliest end first.
type finishes []finish

func (h finishes) Len() int           { return len(h) }
func (h finishes) Less(i, j int) bool { return h[i].at < h[j].at }
func (h finishes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *finishes) Push(x any) { *h = append(*h, x.(finish)) }

func (h *finishes) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}

// change is a change of an engine's state.
type change struct {
	at     float64
	engine int
	up     bool
}

// Churn, in seconds.
const (
	replaceEvery  = 900.0 // per 12 engines: one is replaced, its cache lost
	replaceTakes  = 60.0
	flapEvery     = 2400.0 // per 12 engines: one flaps for a while
	flapTimes     = 6
	flapDown      = 4.0
	flapUp        = 25.0
	churnPerCount = 12.0
)

// newChurn returns the changes of state in order of time: replacements and
// engines that flap.
func newChurn(seed uint64, engines int, span float64) []change {
	rng := rand.New(rand.NewPCG(seed, 2))
	var changes changeHeap
	scale := churnPerCount / float64(engines)
	for at := replaceEvery * scale; at < span; at += replaceEvery * scale * (0.5 + rng.Float64()) {
		e := rng.IntN(engines)
		heap.Push(&changes, change{at, e, false})
		heap.Push(&changes, change{at + replaceTakes, e, true})
	}
	for at := flapEvery * scale; at < span; at += flapEvery * scale * (0.5 + rng.Float64()) {
		e := rng.IntN(engines)
		for i := range flapTimes {
			start := at + float64(i)*(flapDown+flapUp)
			heap.Push(&changes, change{start, e, false})
			heap.Push(&changes, change{start + flapDown, e, true})
		}
	}
	sorted := make([]change, 0, len(changes))
	for len(changes) > 0 {
		sorted = append(sorted, heap.Pop(&changes).(change))
	}
	return sorted
}

type changeHeap []change

func (h changeHeap) Len() int           { return len(h) }
func (h changeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h changeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *changeHeap) Push(x any) { *h = append(*h, x.(change)) }

func (h *changeHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// seconds converts a time of the trace.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
