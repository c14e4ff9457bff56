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

func newTestLimiter(multiple float64) *limiter {
	bound := admit.NewBound(admit.Options{Multiple: multiple})
	return newLimiter(bound, fair.NewQueue[*waiter](fair.Options{}), DefaultMaxRunning, DefaultMaxQueued)
}

func TestLimiterEnforcesBoundAndSharesQueueByWeight(t *testing.T) {
	l := newTestLimiter(1.5)
	must.Eq(t, -1, l.load().Mean)
	l.observeMean(2, 4, 0)
	a, b := &config.Customer{ID: "a", Weight: 1}, &config.Customer{ID: "b", Weight: 2, MaxQueued: 5}
	var running []*waiter
	for range 3 {
		w, reason := l.acquire(a, &wire.SubmitArgs{})
		must.Eq(t, "", reason)
		running = append(running, w)
	}
	_, reason := l.acquire(a, &wire.SubmitArgs{})
	must.Eq(t, wire.ReasonOverload, reason)
	for i := range DefaultMaxQueued + 1 {
		_, reason := l.acquire(a, &wire.SubmitArgs{MayQueue: true})
		must.Eq(t, i == DefaultMaxQueued, reason == wire.ReasonQueueFull)
	}
	for range 4 {
		_, reason := l.acquire(b, &wire.SubmitArgs{MayQueue: true})
		must.Eq(t, "", reason) // requests of customer a fill only a's queue
	}
	for _, w := range running {
		l.release(w)
	}
	must.Eq(t, 3, l.load().InFlight)
	must.Eq(t, DefaultMaxQueued-1, l.queue.LenOf("a")) // b has twice the weight: one request of a was admitted, and two of b
	must.Eq(t, 2, l.queue.LenOf("b"))
	l.setMultiple(3)
	l.observeMean(2, 4, 0)
	must.Eq(t, 6, l.load().InFlight)
	must.Eq(t, 2, l.load().Mean)
	must.Between(t, retry.MinRetryAfter, l.recordRefusal("c", 0), retry.MinRetryAfter)
	must.Greater(t, retry.MinRetryAfter, l.recordRefusal("a", 0))
}
