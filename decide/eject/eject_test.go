package eject

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "292") }

const s = time.Second

func TestFlappingHostIsEjectedLongerAndReturnsGradually(t *testing.T) {
	var r Record
	weight := func(at time.Duration) float64 {
		return Weights(Options{MaxEjectedShare: 0.99}, at, []Record{r, {}, {}})[0]
	}
	must.Eq(t, 1, weight(0))
	r.Failure(Options{}, 10*s)
	r.Failure(Options{}, 11*s) // already in flight when the host was ejected: ignored
	must.Eq(t, 0, weight(12*s-1))
	must.Eq(t, initialWeight, weight(12*s))
	must.Between(t, 0.5, weight(14500*time.Millisecond), 0.6)
	must.Eq(t, 1, weight(17*s))
	last := time.Duration(0)
	for range 4 { // fails again each time it is back at full weight
		at := r.until + 20*s
		r.Failure(Options{}, at)
		must.Greater(t, last, r.until-at)
		last = r.until - at
	}
	must.False(t, r.CanDrop(Options{}, r.until))
	must.True(t, r.CanDrop(Options{}, r.until+10*time.Minute))
	for range 20 {
		r.Failure(Options{}, r.until)
	}
	must.Between(t, 15*s, r.until-r.at, DefaultMax)
	must.Eq(t, 0, Weights(Options{MaxEjectedShare: 0.99}, 5*s, []Record{Record{}.EjectedUntil(6 * s), {}, {}})[0])
	must.Eq(t, 1, Weights(Options{}, 5*s, []Record{Record{}.EjectedUntil(5 * s), {}, {}})[0])
}

func TestMaxEjectedShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "hosts")
		records := make([]Record, n)
		for range rapid.IntRange(0, 60).Draw(t, "failures") {
			at := time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * s
			records[rapid.IntRange(0, n-1).Draw(t, "host")].Failure(Options{}, at)
		}
		ejected := 0
		for i, w := range Weights(Options{}, 5*s, records) {
			must.Between(t, 0, w, 1)
			if w == 0 {
				ejected++
				must.Greater(t, 5*s, records[i].until)
			}
		}
		must.LessEq(t, n/2, ejected)
	})
}
