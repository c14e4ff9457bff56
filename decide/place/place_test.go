package place

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "292") }

func candidates(n int, load func(i int) float64) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Host: fmt.Sprintf("engine-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%4), Load: load(i), Weight: 1}
	}
	return cs
}

func equalLoad(int) float64 { return 10 }

func TestPickPrefersTokenHostUnlessLoadedOrExcluded(t *testing.T) {
	cs := candidates(12, equalLoad)
	cs[3].Load = 40
	cs[5].Weight = 0
	p := NewPicker(Options{LoadMultiple: 1.5, Settings: Settings{HomeLoadMultiple: 1.5}}, cs)
	others := p.Allow(func(c Candidate) bool { return c.Host != "engine-2" })
	for _, tc := range []struct {
		name  string
		query Query
		home  bool
	}{
		{"home", Query{PreferredHost: "engine-1"}, true},
		{"loaded", Query{PreferredHost: "engine-3"}, false},
		{"ejected", Query{PreferredHost: "engine-5"}, false},
		{"tried", Query{PreferredHost: "engine-1", Tried: []int{1}}, false},
		{"forbidden", Query{PreferredHost: "engine-2", Allowed: others}, false},
		{"unknown", Query{PreferredHost: "gone"}, false},
	} {
		for _, order := range []Order{OrderHash, OrderHashPair, OrderTwoChoices, OrderLeastLoaded} {
			p.settings.FallbackOrder, p.settings.NewChatOrder = order, order
			for key := range uint64(200) {
				tc.query.Key, tc.query.Rand = mix(key), mix(key+7)
				i, ok := p.Pick(tc.query)
				must.True(t, ok)
				must.Eq(t, tc.home, p.Candidate(i).Host == tc.query.PreferredHost, must.Sprint(tc.name, order))
				must.NotEq(t, 5, i)
				must.True(t, order == OrderTwoChoices || i != 3, must.Sprint(tc.name, order))
				must.True(t, tc.query.Allowed == nil || i != 2)
			}
		}
	}
}

// TestPickProperties checks that ejecting a candidate moves only its own chats, that
// a candidate at a low weight accepts a subset of the keys that it accepts at a
// higher one, and that a pick succeeds whatever the loads are.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "n")
		loads := rapid.SliceOfN(rapid.Float64Range(-1, 50), n, n).Draw(t, "loads")
		changed := rapid.IntRange(0, n-1).Draw(t, "gone")
		lowWeight := rapid.Float64Range(0, 1).Draw(t, "low")
		order := Order(rapid.IntRange(0, 3).Draw(t, "order"))
		q := Query{Key: rapid.Uint64().Draw(t, "key"), Rand: rapid.Uint64().Draw(t, "rand")}
		opts := Options{LoadMultiple: 1.25, Settings: Settings{NewChatOrder: order}}
		i, ok := NewPicker(opts, candidates(n, func(i int) float64 { return loads[i] })).Pick(q)
		must.True(t, ok)
		must.Less(t, n, i)

		equal := candidates(n, equalLoad)
		baseline, _ := NewPicker(Options{LoadMultiple: 2}, equal).Pick(q)
		weighted := func(w float64) int {
			cs := candidates(n, equalLoad)
			cs[changed].Weight = w
			i, ok := NewPicker(Options{LoadMultiple: 2}, cs).Pick(q)
			must.Eq(t, n > 1 || w > 0, ok)
			return i
		}
		if baseline != changed {
			must.Eq(t, baseline, weighted(0))
		}
		if n > 1 && weighted(lowWeight) == changed {
			must.Eq(t, changed, weighted(lowWeight+(1-lowWeight)/2))
		}
	})
}

func TestDefaultSettingsKeepChatAtLoadedHome(t *testing.T) {
	cs := candidates(12, equalLoad)
	cs[3].Load = 40
	p := NewPicker(Options{LoadMultiple: 1.5, Settings: DefaultSettings()}, cs)
	for key := range uint64(200) {
		home, _ := p.Pick(Query{Key: mix(key), PreferredHost: "engine-3"})
		must.Eq(t, 3, home)
		fresh, _ := p.Pick(Query{Key: mix(key)})
		must.NotEq(t, 3, fresh)
		previous, _ := p.Pick(Query{Key: mix(key), PreferredHost: "engine-3", PreviousHost: "engine-1", Tried: []int{3}})
		must.Eq(t, 1, previous)
	}
}

func TestPickTriesEveryCandidateOnce(t *testing.T) {
	for _, order := range []Order{OrderHash, OrderHashPair, OrderTwoChoices, OrderLeastLoaded} {
		p := NewPicker(Options{LoadMultiple: 1.25, Settings: Settings{FallbackOrder: order, NewChatOrder: order}}, candidates(9, equalLoad))
		var tried []int
		for range p.Len() {
			i, ok := p.Pick(Query{Key: 42, Rand: 42, Tried: tried})
			must.True(t, ok)
			must.SliceNotContains(t, tried, i)
			tried = append(tried, i)
		}
		_, ok := p.Pick(Query{Key: 42, Tried: tried})
		must.False(t, ok)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := NewPicker(Options{LoadMultiple: 1.25}, candidates(336, equalLoad))
	allowed := p.Allow(func(Candidate) bool { return true })
	tried := []int{1, 2}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		p.Pick(Query{Key: 1, PreferredHost: "engine-9", Tried: tried, Allowed: allowed})
		p.Pick(Query{Key: 1, PreviousHost: "engine-8", Tried: tried, Allowed: allowed})
	}))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 336, 3700} {
		p := NewPicker(Options{LoadMultiple: 1.25}, candidates(n, func(i int) float64 { return float64(i % 20) }))
		allowed := p.Allow(func(Candidate) bool { return true })
		for name, order := range map[string]Order{"hash": OrderHash, "pair": OrderHashPair, "two": OrderTwoChoices, "least": OrderLeastLoaded} {
			p.settings.NewChatOrder = order
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					p.Pick(Query{Key: uint64(i) * gamma, Rand: uint64(i), Allowed: allowed})
				}
			})
		}
		b.Run(fmt.Sprintf("token/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				p.Pick(Query{Key: uint64(i), PreferredHost: "engine-1", Allowed: allowed})
			}
		})
	}
}

// BenchmarkScan is the baseline for BenchmarkPick: a scan of a plain slice for the
// least loaded candidate.
func BenchmarkScan(b *testing.B) {
	for _, n := range []int{12, 336, 3700} {
		cs := candidates(n, func(i int) float64 { return float64(i % 20) })
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				best := 0
				for i := range cs {
					if cs[i].Weight > 0 && cs[i].Load < cs[best].Load {
						best = i
					}
				}
				_ = best
			}
		})
	}
}
