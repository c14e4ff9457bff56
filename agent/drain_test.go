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

// A submission that was checked before the drain began, and whose answer is not
// stored yet, must delay the shutdown in the same way as an unfinished answer. A
// drain also lasts at least DrainQuiet.
func TestDrainWaitsForSubmissionsInProgress(t *testing.T) {
	a := &Agent{limiter: &limiter{started: time.Now()}, answers: newAnswers(1<<20, 1<<20), opts: Options{
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
