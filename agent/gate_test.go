package agent

import (
	"testing"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/wire"
	"github.com/shoenig/test/must"
)

func newTestGate(multiple float64) *gate {
	bound := admit.NewBound(admit.Options{Multiple: multiple})
	return newGate(bound, fair.NewQueue[*waiter](fair.Options{}), DefaultMaxRunning, DefaultMaxQueued)
}

func TestGateHoldsBoundAndSharesQueueByWeight(t *testing.T) {
	g := newTestGate(1.5)
	must.Eq(t, -1, g.load().Mean)
	g.observeMean(2, 4, 0)
	a, b := &config.Customer{ID: "a", Weight: 1}, &config.Customer{ID: "b", Weight: 2, MaxQueued: 5}
	var running []*waiter
	for range 3 {
		w, reason := g.enter(a, &wire.SubmitArgs{})
		must.Eq(t, "", reason)
		running = append(running, w)
	}
	_, reason := g.enter(a, &wire.SubmitArgs{})
	must.Eq(t, wire.ReasonOverload, reason)
	for i := range DefaultMaxQueued + 1 {
		_, reason := g.enter(a, &wire.SubmitArgs{MayQueue: true})
		must.Eq(t, i == DefaultMaxQueued, reason == wire.ReasonQueueFull)
	}
	for range 4 {
		_, reason := g.enter(b, &wire.SubmitArgs{MayQueue: true})
		must.Eq(t, "", reason) // the surge of a fills only its own queue
	}
	for _, w := range running {
		g.leave(w)
	}
	must.Eq(t, 3, g.load().InFlight)
	must.Eq(t, DefaultMaxQueued-1, g.queue.LenOf("a")) // one of a for two of b
	must.Eq(t, 2, g.queue.LenOf("b"))
	g.setMultiple(3)
	g.observeMean(2, 4, 0)
	must.Eq(t, 6, g.load().InFlight)
	must.Eq(t, 2, g.load().Mean)
	must.Between(t, retry.MinRetryAfter, g.refuse("c", 0), retry.MinRetryAfter)
	must.Greater(t, retry.MinRetryAfter, g.refuse("a", 0))
}
