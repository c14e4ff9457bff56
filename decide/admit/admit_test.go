package admit

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimit(t *testing.T) {
	const s = time.Second
	type mean struct {
		mean     float64
		replicas int
		at       time.Duration
	}
	for _, tc := range []struct {
		name  string
		opts  Options
		means []mean
		now   time.Duration
		want  int
		state State
	}{
		{"no mean", Options{Multiple: 1.5}, nil, s, 1, StateUnknown},
		{"no mean, with floor", Options{Multiple: 1.5, Floor: 4}, nil, s, 4, StateUnknown},
		{"fresh", Options{Multiple: 1.5}, []mean{{5, 12, 0}}, s, 8, StateFresh},
		{"idle", Options{Multiple: 1.5, Floor: 3}, []mean{{0.1, 12, 0}}, s, 3, StateFresh},
		{"mean too old", Options{Multiple: 1.5, FreshFor: s}, []mean{{5, 12, 3 * s}, {50, 12, s}}, 3 * s, 8, StateFresh},
		{"older mean within FreshFor", Options{Multiple: 1.5, FreshFor: s}, []mean{{50, 12, 3 * s}, {5, 12, 2 * s}}, 3 * s, 8, StateFresh},
		{"limit falls", Options{Multiple: 1.5}, []mean{{50, 12, 0}, {2, 12, s}}, s, 3, StateFresh},
		{"stale", Options{Multiple: 1.5, FreshFor: 3 * s}, []mean{{5, 12, 0}}, 4 * s, 8, StateStale},
		{"one replica", Options{Multiple: 1.5}, []mean{{5, 1, 0}}, s, 1, StateUnknown},
		{"one replica after a pool", Options{Multiple: 1.5}, []mean{{5, 3, 0}, {80, 1, s}}, s, 8, StateFresh},
		{"ceiling", Options{Multiple: 1.5, Ceiling: 30}, []mean{{50, 12, 0}}, s, 30, StateFresh},
		{"not a number", Options{Multiple: 1.5}, []mean{{math.NaN(), 12, 0}, {-1, 12, 0}}, s, 1, StateUnknown},
		{"huge", Options{Multiple: 1.5}, []mean{{math.Inf(1), 12, 0}}, s, math.MaxInt32, StateFresh},
	} {
		b := NewBound(tc.opts)
		for _, m := range tc.means {
			b.ObserveMean(m.mean, m.replicas, m.at)
		}
		must.Eq(t, tc.want, b.Limit(tc.now), must.Sprint(tc.name))
		must.Eq(t, tc.state, b.State(tc.now), must.Sprint(tc.name))
	}
	b := NewBound(Options{Multiple: 1.5})
	b.ObserveMean(10, 3, 0)
	for _, tc := range []struct {
		multiple float64
		want     int
	}{{1.5, 15}, {1.1, 11}, {2, 20}, {3, 1}, {2, 1}} { // a mean over 3 replicas is not usable with a multiple of 3
		b.SetMultiple(tc.multiple)
		must.Eq(t, tc.want, b.Limit(s))
	}
	for _, tc := range []struct{ pool, want int }{{2, math.MaxInt32}, {3, 1}, {0, 1}} {
		b.SetPool(tc.pool)
		must.Eq(t, tc.want, b.Limit(s))
	}
}
