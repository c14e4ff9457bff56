package place

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func replicasWith(loads ...float64) []Replica {
	out := make([]Replica, len(loads))
	for i, load := range loads {
		out[i] = Replica{Seed: Key(fmt.Sprint("replica-", i)), Load: load, Weight: 1, Local: true}
	}
	return out
}

var testOptions = PromptOptions{Multiple: 1.6, Slack: 4, Ceiling: 2, CeilingSlack: 2}

// Many callers ask for one document at once. Its requests stay at the replica that
// has it cached until that replica is full, then overflow to the next one in the
// hash order.
func TestHotPromptOverflowsToNextReplicaInHashOrder(t *testing.T) {
	replicas := replicasWith(0, 0, 0, 0, 0, 0)
	document := Prompt{Key: Key("document"), Parts: 2}
	home := ChoosePrompt(testOptions, document, replicas).Index
	replicas[home].CachedParts = 2
	must.Eq(t, home, ChoosePrompt(testOptions, document, replicas).Index)
	used := map[int]int{}
	for range 40 { // no request ends meanwhile
		choice := ChoosePrompt(testOptions, document, replicas)
		replicas[choice.Index].CachedParts = 2
		replicas[choice.Index].Load++
		used[choice.Index]++
	}
	total := 0.0
	for _, r := range replicas {
		total += r.Load
	}
	mean := total / float64(len(replicas))
	for i, r := range replicas {
		must.LessEq(t, testOptions.Ceiling*mean+3, r.Load, must.Sprintf("replica %d", i))
	}
	must.Greater(t, 1, len(used))
	must.Greater(t, 1, used[home])
}

// More than half of the replicas are ejected at once for failures. They are idle but
// still part of the pool: no replica is loaded beyond the ceiling while another one
// is below it.
func TestEjectedReplicasCountTowardCeiling(t *testing.T) {
	replicas := replicasWith(12, 11, 7, 6, 0, 0, 1, 0, 1, 0)
	for i := 4; i < len(replicas); i++ {
		replicas[i].Weight = 0
	}
	for i := range 50 {
		choice := ChoosePrompt(testOptions, Prompt{Key: Key(fmt.Sprint("document-", i)), Parts: 1}, replicas)
		must.False(t, choice.Full)
		must.True(t, choice.Index == 2 || choice.Index == 3, must.Sprintf("replica %d", choice.Index))
	}
}

// Many replicas are ejected because some of their answers were lost. The ejected
// replicas that are reachable take work before the others are loaded beyond the
// ceiling.
func TestSuspectReplicasTakeWorkBeforeOthersAreOverloaded(t *testing.T) {
	replicas := replicasWith(14, 13, 13, 1, 0, 2, 0, 0)
	for i := 3; i < len(replicas); i++ {
		replicas[i].Weight = 0
	}
	document := Prompt{Key: 7, Parts: 1}
	must.Eq(t, PromptChoice{Index: 1, Full: true}, ChoosePrompt(testOptions, document, replicas)) // the ejected replicas are unreachable
	replicas[3].Suspect, replicas[5].Suspect = true, true
	must.Eq(t, PromptChoice{Index: 3}, ChoosePrompt(testOptions, document, replicas))
	replicas[0].Load = 3 // below the limit
	must.Eq(t, PromptChoice{Index: 0}, ChoosePrompt(testOptions, document, replicas))
}

// When a replica is replaced, only the prompts whose home it was move.
func TestReplacedReplicaMovesOnlyItsPrompts(t *testing.T) {
	before := replicasWith(0, 0, 0, 0, 0, 0, 0, 0)
	after := replicasWith(0, 0, 0, 0, 0, 0, 0, 0)
	const replaced = 3
	after[replaced].Draining = true
	moved := 0
	for i := range 200 {
		document := Prompt{Key: Key(fmt.Sprint("document-", i)), Parts: 1}
		was, is := ChoosePrompt(testOptions, document, before).Index, ChoosePrompt(testOptions, document, after).Index
		must.NotEq(t, replaced, is)
		if was != is {
			must.Eq(t, replaced, was)
			moved++
		}
	}
	must.Between(t, 10, moved, 40)
}

func TestSource(t *testing.T) {
	replicas := replicasWith(5, 3, 4, 1)
	must.Eq(t, -1, Source(replicas, 0))
	replicas[1].CachedParts, replicas[2].CachedParts, replicas[3].CachedParts = 2, 2, 1
	must.Eq(t, 1, Source(replicas, 0)) // has the most cached parts, and a lower load than replica 2
	must.Eq(t, 1, Source(replicas, 3)) // the part that replica 3 has not cached
	must.Eq(t, -1, Source(replicas, 2))
	replicas[1].Draining = true // can still be a source
	must.Eq(t, 1, Source(replicas, 0))
	replicas[1].Weight = 0 // ejected replicas cannot
	must.Eq(t, 2, Source(replicas, 0))
	replicas[2].Weight = 0
	must.Eq(t, 3, Source(replicas, 0))
}

func TestChoosePromptInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "replicas")
		parts := rapid.IntRange(1, 3).Draw(t, "parts")
		replicas := replicasWith(make([]float64, n)...)
		usable := 0
		for i := range replicas {
			r := &replicas[i]
			r.Load = float64(rapid.IntRange(0, 40).Draw(t, "load"))
			r.Weight = rapid.SampledFrom([]float64{0, 0.1, 1, 1, 1}).Draw(t, "weight")
			r.Tried = rapid.Bool().Draw(t, "tried")
			r.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
			r.Suspect = r.Weight == 0 && rapid.Bool().Draw(t, "suspect")
			r.CachedParts = rapid.IntRange(0, parts).Draw(t, "held")
			if r.Weight > 0 && !r.Tried && !r.Draining {
				usable++
			}
		}
		limit := testOptions.loadLimit(replicas)
		for _, r := range replicas {
			if r.Suspect && !r.Tried && !r.Draining && r.Load < limit {
				usable++
			}
		}
		choice := ChoosePrompt(testOptions, Prompt{Key: rapid.Uint64().Draw(t, "key"), Parts: parts}, replicas)
		if usable == 0 {
			must.Eq(t, -1, choice.Index)
			return
		}
		chosen := replicas[choice.Index]
		must.True(t, (chosen.Weight > 0 || chosen.Suspect) && !chosen.Tried && !chosen.Draining)
		if !choice.Full {
			must.Less(t, limit, chosen.Load)
			total := 0.0
			for _, r := range replicas {
				total += r.Load
			}
			must.Less(t, testOptions.Ceiling*total/float64(n)+testOptions.CeilingSlack, chosen.Load)
		}
		for _, r := range replicas {
			if r.CachedParts == parts && r.Weight >= 1 && !r.Tried && !r.Draining && r.Load < limit {
				must.Eq(t, parts, chosen.CachedParts, must.Sprint("a replica with the prompt cached was below the limit"))
			}
			if r.Weight >= 1 && !r.Tried && !r.Draining && r.Load < limit {
				must.Greater(t, 0, chosen.Weight, must.Sprint("a replica that is not ejected was below the limit"))
			}
		}
	})
}

func TestChooseLeast(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func([]Replica)
		want   int
	}{
		{"least loaded", func([]Replica) {}, 2},
		{"tried", func(r []Replica) { r[2].Tried = true }, 1},
		{"draining", func(r []Replica) { r[2].Draining = true }, 1},
		{"ejected", func(r []Replica) { r[2].Weight = 0 }, 1},
		{"remote", func(r []Replica) { r[2].Local = false }, 1},
		{"failing more than others", func(r []Replica) { r[2].FailureExcess = 0.3 }, 1},
		{"failing slightly more", func(r []Replica) { r[2].FailureExcess = 0.04 }, 2},
		{"ramping up", func(r []Replica) { r[2].Weight = 0.1 }, 1},
		{"none", func(r []Replica) {
			for i := range r {
				r[i].Tried = true
			}
		}, -1},
	} {
		replicas := replicasWith(3, 1, 0)
		c.change(replicas)
		for random := range uint64(20) {
			must.Eq(t, c.want, ChooseLeast(LeastOptions{RemoteCost: 2, FailureCost: 20}, replicas, random), must.Sprint(c.name))
		}
	}
	must.Eq(t, -1, ChooseLeast(LeastOptions{}, nil, 0))
}
