package prompts

import (
	"testing"

	"github.com/shoenig/test/must"
)

func scenario(traffic float64) Scenario {
	return Scenario{Engines: 12, Routers: 5, Seconds: 20, Traffic: traffic, Seeds: []uint64{7}}
}

func TestRunsRepeatAndCompleteEveryRequest(t *testing.T) {
	s := scenario(1)
	once, again := Run(s, bounded(1.05, 8)), Run(s, bounded(1.05, 8))
	must.Eq(t, once, again)
	must.Eq(t, len(newTrace(7, s.Seconds, s.Traffic, s.Routers)), once.Requests)
	must.Len(t, once.Requests, once.First)
}

// A prompt alone at an engine is read at the engine's rate, and its answer comes
// a step a token.
func TestEngineReadsThenAnswers(t *testing.T) {
	e := &engine{cached: make(map[uint64]float64)}
	shared := []part{{key: 1, tokens: 64200}}
	send := func(at, unread float64) *running {
		r := &running{arrival: &arrival{at: at, tokens: 2 * eventTokens}, unread: unread, parts: shared}
		e.queue = append(e.queue, r)
		e.admit(at)
		return r
	}
	first := send(0, 64200)
	other := send(0, 0) // its events wait for the chunks of the first
	var ended float64
	for e.stepEnd > 0 {
		ended = e.stepEnd
		e.endStep()
	}
	must.Between(t, 1, first.first, 1.2)
	must.Between(t, eventTokens*chunk/readPerSecond, other.first, pauseAim)
	must.Greater(t, first.first, ended)
	must.Eq(t, 1, e.held(shared, ended))
	must.Eq(t, 0, e.held(shared, 0.5)) // it was still being read
}

// Pattern: four times the usual crowd. A bound far above the mean fills the slots
// of some engines.
func TestTightBoundServesACrowdInTime(t *testing.T) {
	wide, tight := Run(scenario(4), bounded(1.6, 4)), Run(scenario(4), bounded(1.05, 8))
	must.Less(t, wide.Late(), tight.Late())
	must.Less(t, wide.FirstP99(), tight.FirstP99())
}
