package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dandelionrill.example/fleet/decide/admit"
)

// engine models an upstream and its agent: the requests in progress, a prefix cache and
// the load bound.
type engine struct {
	host        string
	domain      string
	up          bool
	load        int
	incarnation int // incremented when the engine fails and loses its requests in progress
	cache       *lruCache
	bound       *admit.Bound
	history     []float64 // load at the end of each second
}

// completion is the end of a request.
type completion struct {
	at          float64
	engine      int
	incarnation int
	turn        turn
}

// completionHeap is a heap with the earliest end first.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

func (h *completionHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}

// stateChange is the failure or the return of an engine.
type stateChange struct {
	at     float64
	engine int
	up     bool
}

// Parameters of churn. Intervals hold for 12 engines (churnBaseEngines) and shrink
// in proportion to the number of engines.
const (
	replaceIntervalSeconds = 900.0 // between replacements of an engine, which lose the engine's cache
	replaceDurationSeconds = 60.0
	flapIntervalSeconds    = 2400.0 // between engines that flap for a while
	flapsPerEngine         = 6
	flapDownSeconds        = 4.0
	flapUpSeconds          = 25.0
	churnBaseEngines       = 12.0
)

// newChurn returns the state changes caused by replaced and by flapping engines, ordered
// by time.
func newChurn(seed uint64, engines int, spanSeconds float64) []stateChange {
	rng := rand.New(rand.NewPCG(seed, 2))
	var changes stateChangeHeap
	scale := churnBaseEngines / float64(engines)
	for at := replaceIntervalSeconds * scale; at < spanSeconds; at += replaceIntervalSeconds * scale * (0.5 + rng.Float64()) {
		e := rng.IntN(engines)
		heap.Push(&changes, stateChange{at, e, false})
		heap.Push(&changes, stateChange{at + replaceDurationSeconds, e, true})
	}
	for at := flapIntervalSeconds * scale; at < spanSeconds; at += flapIntervalSeconds * scale * (0.5 + rng.Float64()) {
		e := rng.IntN(engines)
		for i := range flapsPerEngine {
			start := at + float64(i)*(flapDownSeconds+flapUpSeconds)
			heap.Push(&changes, stateChange{start, e, false})
			heap.Push(&changes, stateChange{start + flapDownSeconds, e, true})
		}
	}
	sorted := make([]stateChange, 0, len(changes))
	for len(changes) > 0 {
		sorted = append(sorted, heap.Pop(&changes).(stateChange))
	}
	return sorted
}

type stateChangeHeap []stateChange

func (h stateChangeHeap) Len() int           { return len(h) }
func (h stateChangeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h stateChangeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *stateChangeHeap) Push(x any) { *h = append(*h, x.(stateChange)) }

func (h *stateChangeHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// duration converts a time of the trace, in seconds.
func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
