// Package overload measures goodput, attempts and fairness of admission,
// queueing and retries past saturation. It drives the decision code of the
// fleet with callers that come back, over engines that slow down when more
// requests run than they have slots.
package overload

import (
	"container/heap"
	"math"

	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/retry"
)

// job is one attempt of a request at an engine.
type job struct {
	request *request
	ends    float64 // in the engine's virtual time
	index   int     // in the running heap; -1 when not running
	queued  bool
	engine  *engine
}

type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h jobs) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *jobs) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	j.index = -1
	return j
}

// engine shares its slots' work among all running requests.
type engine struct {
	index   int
	running jobs
	virtual float64 // work done on each running request so far, seconds
	at      float64
	bound   *admit.Bound
	queue   *fair.Queue[*job]
	held    map[string]int
	done    retry.Meter
	refused retry.Meter
}

// rate is the speed of each running request.
func (e *engine) rate() float64 {
	return math.Min(1, slots/float64(max(1, len(e.running))))
}

func (e *engine) advance(now float64) {
	e.virtual += (now - e.at) * e.rate()
	e.at = now
}

// next returns when the next running request ends.
func (e *engine) next() float64 {
	if len(e.running) == 0 {
		return math.Inf(1)
	}
	return e.at + math.Max(0, e.running[0].ends-e.virtual)/e.rate()
}

func (e *engine) start(j *job, now float64) {
	e.advance(now)
	j.ends = e.virtual + j.request.work
	heap.Push(&e.running, j)
	if j.request.firstToken == 0 {
		j.request.firstToken = now - j.request.born
	}
}

// remove takes an attempt out, whether it runs or waits.
func (e *engine) remove(j *job, now float64) {
	e.advance(now)
	if j.index >= 0 {
		heap.Remove(&e.running, j.index)
		j.index = -1
	} else if j.queued {
		e.queue.Remove(func(other *job) bool { return other == j })
	}
	j.queued = false
	e.held[j.request.customer]--
}
