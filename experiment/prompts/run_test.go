package prompts

import (
	"testing"

	"github.com/shoenig/test/must"
)

func scenario(traffic float64) Scenario {
	return Scenario{Engines: 12, Routers: 5, Seconds: 20, Traffic: traffic, Seeds: []uint64{7}}
}

func TestRunsAreDeterministicAndComplete(t *testing.T) {
	s := scenario(1)
	once, again := Run(s, bounded(1.05, 8)), Run(s, bounded(1.05, 8))
	must.Eq(t, once, again)
	must.Eq(t, len(newTrace(7, s.Seconds, s.Traffic, s.Routers)), once.Requests)
	must.Len(t, once.Requests, once.FirstEvents)
}

// A prompt alone at an engine is prefilled at the engine's rate, and its answer takes one
// step per token.
func TestEnginePrefillsThenAnswers(t *testing.T) {
	e := &engine{cached: make(map[uint64]float64)}
	shared := []part{{key: 1, tokens: 64200}}
	send := func(at, prefillLeft float64) *running {
		r := &running{arrival: &arrival{at: at, answerTokens: 2 * tokensPerEvent}, prefillLeft: prefillLeft, parts: shared}
		e.queue = append(e.queue, r)
		e.admit(at)
		return r
	}
	first := send(0, 64200)
	other := send(0, 0) // its events are delayed by the prefill chunks of the first request
	var ended float64
	for e.stepEnd > 0 {
		ended = e.stepEnd
		e.endStep()
	}
	must.Between(t, 1, first.firstAfter, 1.2)
	must.Between(t, tokensPerEvent*chunkTokens/prefillTokensPerSecond, other.firstAfter, maxPauseSeconds)
	must.Greater(t, first.firstAfter, ended)
	must.Eq(t, 1, e.cachedParts(shared, ended))
	must.Eq(t, 0, e.cachedParts(shared, 0.5)) // still being prefilled
}

// Guards against a loose bound at four times the usual traffic: with a bound far above the
// mean, the slots of some engines fill up.
func TestTightBoundReducesLateRequestsUnderHighTraffic(t *testing.T) {
	loose, tight := Run(scenario(4), bounded(1.6, 4)), Run(scenario(4), bounded(1.05, 8))
	must.Less(t, loose.LateShare(), tight.LateShare())
	must.Less(t, loose.FirstEventP99(), tight.FirstEventP99())
}
