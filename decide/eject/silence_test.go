package eject

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSilenceCountsFromLastByteWhileAnswersArePending(t *testing.T) {
	const ms = time.Millisecond
	var silence Silence
	must.Zero(t, silence.For(s)) // no answer is pending
	silence.Begin(s)
	silence.Begin(s + 300*ms) // another request does not restart the silence
	must.Eq(t, 500*ms, silence.For(s+500*ms))
	silence.RecordActivity(s + 600*ms) // a byte of any pending answer counts
	must.Eq(t, 100*ms, silence.For(s+700*ms))
	silence.End()
	must.Eq(t, 400*ms, silence.For(2*s))
	silence.End()
	must.Zero(t, silence.For(3*s))
	silence.Begin(4 * s)
	must.Zero(t, silence.For(4*s))
	must.Zero(t, silence.For(4*s-ms)) // a clock reading older than the last recorded event
}
