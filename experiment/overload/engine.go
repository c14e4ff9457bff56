// Package overload measures goodput, attempts and fairness of admission, queueing and
// retries beyond saturation. It drives the fleet's decision code with callers that retry,
// against engine models that slow down when more requests run than they have slots.
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
	ends    float64 // end in the engine's virtual time
	index   int     // position in the running heap; -1 when not running
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

// engine models an upstream and its agent. Running requests share the engine's slots
// equally.
type engine struct {
	index      int
	running    jobs
	workDone   float64 // virtual time: seconds of work done on each running request so far
	at         float64
	bound      *admit.Bound
	queue      *fair.Queue[*job]
	inProgress map[string]int
	done       retry.Meter
	refused    retry.Meter
}

// rate returns the speed of each running request, 1 at most.
func (e *engine) rate() float64 {
	return math.Min(1, slots/float64(max(1, len(e.running))))
}

func (e *engine) advance(now float64) {
	e.workDone += (now - e.at) * e.rate()
	e.at = now
}

// nextCompletion returns when the next running request ends.
func (e *engine) nextCompletion() float64 {
	if len(e.running) == 0 {
		return math.Inf(1)
	}
	return e.at + math.Max(0, e.running[0].ends-e.workDone)/e.rate()
}

func (e *engine) start(j *job, now float64) {
	e.advance(now)
	j.ends = e.workDone + j.request.workSeconds
	heap.Push(&e.running, j)
	if j.request.firstToken == 0 {
		j.request.firstToken = now - j.request.createdAt
	}
}

// remove removes an attempt, whether it runs or waits.
func (e *engine) remove(j *job, now float64) {
	e.advance(now)
	if j.index >= 0 {
		heap.Remove(&e.running, j.index)
		j.index = -1
	} else if j.queued {
		e.queue.Remove(func(other *job) bool { return other == j })
	}
	j.queued = false
	e.inProgress[j.request.customer]--
}
