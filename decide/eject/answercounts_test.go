package eject

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFailureCountsDecay(t *testing.T) {
	var counts AnswerCounts
	counts.Add(10*s, true)
	counts.Add(10*s, false)
	answers, failures := counts.At(10*s + failureCountHalfLife)
	must.Eq(t, 1, answers)
	must.Eq(t, 0.5, failures)
	answers, failures = counts.At(9 * s) // a clock reading older than the last answer
	must.Eq(t, 2, answers)
	must.Eq(t, 1, failures)
	answers, _ = counts.At(10*s + time.Hour)
	must.Less(t, 0.001, answers)
}

func TestExcessOfFailures(t *testing.T) {
	for _, c := range []struct {
		name              string
		answers, failures []float64
		want              []float64
		tolerance         float64
	}{
		{"none failed", []float64{5, 0}, []float64{0, 0}, []float64{0, 0}, 0},
		{"equal failure rates", []float64{10, 10}, []float64{2, 2}, []float64{0, 0}, 1e-9},
		{"one host fails more often", []float64{20, 20, 20, 20}, []float64{10, 1, 1, 0}, []float64{0.318, 0, 0, 0}, 0.001},
		{"few answers have little weight", []float64{1, 60}, []float64{1, 3}, []float64{0.31, 0}, 0.01},
		{"no answers yet", []float64{0, 20}, []float64{0, 10}, []float64{0, 0}, 1e-9},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Excess(c.answers, c.failures)
			for i := range got {
				must.InDelta(t, c.want[i], got[i], c.tolerance+1e-12)
			}
		})
	}
}
