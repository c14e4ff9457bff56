package agent

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/timeline"
)

// A submission that saw the agent before it was leaving, and whose answer is
// not kept yet, holds up the stop like an open answer.
func TestDrainWaitsForSubmissionsUnderWay(t *testing.T) {
	a := &Agent{gate: &gate{started: time.Now()}, answers: newAnswers(1<<20, 1<<20), opts: Options{
		Board: board.New(), Timeline: timeline.New(timeline.Options{}), Log: &log.Logger{Handler: discard.New()}, DrainTimeout: 20 * time.Millisecond,
	}}
	before := counters.Get("drain_timeouts")
	a.drain()
	must.Eq(t, before, counters.Get("drain_timeouts"))
	a.opts.DrainQuiet, a.opts.DrainTimeout = 30*time.Millisecond, time.Minute
	began := time.Now()
	a.drain()
	must.GreaterEq(t, a.opts.DrainQuiet, time.Since(began))
	a.opts.DrainQuiet, a.opts.DrainTimeout = 0, 20*time.Millisecond
	a.admitting.Add(1)
	a.drain()
	must.NotNil(t, counters.Get("drain_timeouts"))
	must.Eq(t, board.DrainDraining, a.opts.Board.Drain().Value)
}
