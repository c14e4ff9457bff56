package fair

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "292") }

func TestQueueBoundsAndOrder(t *testing.T) {
	q := NewQueue[int](Options{PerCustomer: 2, Total: 4})
	must.NoError(t, q.Push("a", 1, 0, 1, 0, 1))
	must.NoError(t, q.Push("a", 1, 5, 1, 0, 2))
	must.ErrorIs(t, q.Push("a", 1, 9, 1, 0, 3), ErrFull)
	must.NoError(t, q.Push("b", 1, 0, 1, 3, 4))
	must.NoError(t, q.Push("b", 1, 0, 1, 3, 5))
	must.ErrorIs(t, q.Push("b", 1, 0, 1, 3, 6), ErrFull) // Options.Total is reached
	must.Eq(t, 2, q.LenOf("b"))
	notA := func(c string) bool { return c != "a" }
	got, ok := q.PopWhere(notA)
	must.True(t, ok)
	must.Eq(t, 4, got)
	must.Eq(t, 1, q.Remove(func(i int) bool { return i == 5 }))
	_, ok = q.PopWhere(notA)
	must.False(t, ok)
	for _, want := range []int{2, 1} {
		got, _ = q.Pop()
		must.Eq(t, want, got)
	}
	_, ok = q.Pop()
	must.False(t, ok)
	must.Zero(t, q.Len())
	must.MapEmpty(t, q.customers)
}

// TestQueueFairness checks the fairness bound of start-time fair queueing: while two
// customers stay backlogged, the cost served to them per weight differs by at most
// one largest work item of each, whatever other customers do.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 9
		q := NewQueue[[2]int](Options{PerCustomer: 1000})
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 3, 3).Draw(t, "weights")
		push := func(c int) {
			cost := rapid.IntRange(1, largest).Draw(t, "cost")
			must.NoError(t, q.Push(fmt.Sprint(c), weights[c], 0, cost, 0, [2]int{c, cost}))
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			push(2)
			if rapid.Bool().Draw(t, "pop") {
				q.Pop()
			}
		}
		for range 60 {
			push(0)
			push(1)
		}
		served := make([]float64, 3)
		for range rapid.IntRange(1, 60).Draw(t, "pops") {
			if rapid.Bool().Draw(t, "third") {
				push(2)
			}
			got, ok := q.Pop()
			must.True(t, ok)
			served[got[0]] += float64(got[1]) / float64(weights[got[0]])
			bound := largest/float64(weights[0]) + largest/float64(weights[1]) + 1e-9
			if diff := served[0] - served[1]; diff > bound || -diff > bound {
				t.Fatalf("served per weight %v, bound %v", served, bound)
			}
		}
	})
}

// A customer that had no queued work gets no extra share for that time when it
// returns.
func TestQueueReturningCustomerDoesNotCatchUp(t *testing.T) {
	q := NewQueue[string](Options{})
	for range 40 {
		must.NoError(t, q.Push("a", 1, 0, 1, 0, "a"))
	}
	for range 20 {
		q.Pop()
	}
	for range 20 {
		must.NoError(t, q.Push("b", 1, 0, 1, 0, "b"))
	}
	served := map[string]int{}
	for range 10 {
		c, _ := q.Pop()
		served[c]++
	}
	must.Eq(t, 5, served["a"])
}
