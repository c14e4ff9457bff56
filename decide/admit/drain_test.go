package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A shutdown shorter than drainAcceptPeriod accepts only requests that can finish in it.
func TestFitsShortDrain(t *testing.T) {
	must.False(t, FitsDrain(Work{Timeout: 15 * time.Second}, time.Second, 2*time.Second))
	must.True(t, FitsDrain(Work{Timeout: 800 * time.Millisecond}, 500*time.Millisecond, 2*time.Second))
}

// Callers send requests to a draining router over kept-alive connections. Requests that
// end in time whatever they take are served; the others are refused at once, since one
// that takes longer than expected would be lost with the process.
func TestFitsDrain(t *testing.T) {
	const limit = 8 * time.Second
	for _, c := range []struct {
		name    string
		work    Work
		elapsed time.Duration
		want    bool
	}{
		{"short call, late", Work{Timeout: 800 * time.Millisecond}, 6600 * time.Millisecond, true},
		{"short call, too late", Work{Timeout: 800 * time.Millisecond}, 6700 * time.Millisecond, false},
		{"call without a timeout", Work{}, 3100 * time.Millisecond, false},
		{"call without a timeout, too late", Work{}, 6500 * time.Millisecond, false},
		{"short stream", Work{Timeout: 3 * time.Second}, 4400 * time.Millisecond, true},
		{"short stream, late", Work{Timeout: 3 * time.Second}, 4500 * time.Millisecond, false},
		{"usual stream, late", Work{Timeout: 15 * time.Second}, 3200 * time.Millisecond, false},
		{"usual stream, sent within three seconds of a signal that came late", Work{Timeout: 15 * time.Second}, 2800 * time.Millisecond, false},
		{"usual stream, while new callers come", Work{Timeout: 15 * time.Second}, 2700 * time.Millisecond, true},
		{"usual stream at the beginning", Work{Timeout: 15 * time.Second}, 0, true},
		{"slow stream, while new callers come", Work{Timeout: 15 * time.Second, Expected: 5 * time.Second}, 2400 * time.Millisecond, true},
		{"slow stream that cannot end in time", Work{Timeout: 15 * time.Second, Expected: 5 * time.Second}, 2500 * time.Millisecond, false},
		{"stream with a slow kind and a short timeout", Work{Timeout: 3 * time.Second, Expected: 5 * time.Second}, 2500 * time.Millisecond, true},
		{"request without a timeout, while new callers come", Work{}, 2 * time.Second, true},
	} {
		must.Eq(t, c.want, FitsDrain(c.work, c.elapsed, limit), must.Sprint(c.name))
	}
}

// Guards against requests that are accepted by their heads and passed on when they cannot end
// any more. A request whose end came in time may still wait; one that ends in time whatever it
// takes may do so until its deadline.
func TestLatestInDrain(t *testing.T) {
	const (
		limit = 8 * time.Second
		ms    = time.Millisecond
	)
	for _, c := range []struct {
		name          string
		work          Work
		elapsed       time.Duration
		arrival, send time.Duration
	}{
		{"unknown kind", Work{Timeout: 15 * time.Second}, 0, 2750 * ms, 6400 * ms},
		{"without a timeout", Work{}, 0, 2750 * ms, 6400 * ms},
		{"after some time", Work{Timeout: 15 * time.Second}, 2 * time.Second, 2750 * ms, 6400 * ms},
		{"short kind", Work{Timeout: 15 * time.Second, Expected: 20 * ms, Answers: 5}, 0, 6400 * ms, 6400 * ms},
		{"kind that is little known", Work{Timeout: 15 * time.Second, Expected: 20 * ms, Answers: 4}, 0, 2750 * ms, 6400 * ms},
		{"usual kind", Work{Timeout: 15 * time.Second, Expected: 1200 * ms, Answers: 5}, 0, 3800 * ms, 6200 * ms},
		{"short kind of streams", Work{Timeout: 15 * time.Second, Expected: 20 * ms, Answers: 500, Streams: true}, 0, 2750 * ms, 6400 * ms},
		{"slow kind", Work{Timeout: 15 * time.Second, Expected: 3 * time.Second, Answers: 5}, 0, 2750 * ms, 4400 * ms},
		{"slower kind", Work{Timeout: 15 * time.Second, Expected: 5 * time.Second, Answers: 5}, 0, 2400 * ms, 2400 * ms},
		{"kind that is too slow", Work{Timeout: 15 * time.Second, Expected: 9 * time.Second}, 0, -1600 * ms, -1600 * ms},
		{"timeout that fits", Work{Timeout: 3 * time.Second, Expected: 5 * time.Second}, 4 * time.Second, 7000 * ms, 7000 * ms},
		{"timeout that just fits", Work{Timeout: 3400 * ms}, 4 * time.Second, 7400 * ms, 7400 * ms},
		{"timeout that is over", Work{Timeout: -time.Second}, 2 * time.Second, 1000 * ms, 1000 * ms},
		{"timeout that does not fit", Work{Timeout: 3401 * ms}, 4 * time.Second, 2750 * ms, 6400 * ms},
	} {
		arrival, send := LatestInDrain(c.work, c.elapsed, limit)
		must.Eq(t, c.arrival, arrival, must.Sprint(c.name))
		must.Eq(t, c.send, send, must.Sprint(c.name))
	}
	_, send := LatestInDrain(Work{Timeout: 15 * time.Second}, 0, 2*time.Second)
	must.Eq(t, 400*ms, send)
}

// Guards against requests that are accepted and refused at once, and against some that are passed
// on with less time than requests of their kind take.
func TestLatestInDrainFollowsAcceptance(t *testing.T) {
	const limit, step = 8 * time.Second, 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < limit; elapsed += step {
		for timeout := time.Duration(0); timeout < 2*limit; timeout += step {
			for expected := time.Duration(0); expected < limit; expected += 500 * time.Millisecond {
				w := Work{Timeout: timeout, Expected: expected, Answers: int(expected / step), Streams: elapsed%(2*step) == 0}
				arrival, send := LatestInDrain(w, elapsed, limit)
				must.LessEq(t, send, arrival)
				if FitsDrain(w, elapsed, limit) {
					must.LessEq(t, arrival, elapsed, must.Sprintf("%+v at %v", w, elapsed))
				}
				if timeout == 0 || elapsed+timeout > limit-drainMargin {
					must.LessEq(t, limit-drainMargin, send+max(expected, drainMinTime))
				}
			}
		}
	}
}
