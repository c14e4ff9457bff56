package soak

import (
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"github.com/shoenig/test/must"
)

// A router that goes on sending to an upstream that asked for a pause must be reported,
// but not what was under way, two later requests, or what comes after the pause.
func TestRequestsInAPauseAreReported(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		wait  time.Duration
		after []time.Duration // of further arrivals, after the answer that asks for a pause
		want  int
	}{
		{"three in the pause", 2 * time.Second, []time.Duration{600e6, 700e6, 1900e6}, 1},
		{"two in the pause", 2 * time.Second, []time.Duration{100e6, 600e6, 1900e6}, 0},
		{"under way", 2 * time.Second, []time.Duration{100e6, 200e6, 300e6, 400e6}, 0},
		{"after the pause", 2 * time.Second, []time.Duration{2001e6, 2002e6, 2003e6}, 0},
		{"no pause", 0, []time.Duration{600e6, 700e6, 800e6}, 0},
	} {
		arrivals := []replica.Arrival{{Attempt: "a", At: now, Wait: c.wait}}
		for _, after := range c.after {
			arrivals = append(arrivals, replica.Arrival{At: now.Add(after)})
		}
		s := &Soak{}
		s.checkPauses(0, &upstream{id: "i"}, arrivals)
		must.Len(t, c.want, s.violations, must.Sprint(c.name))
	}
}
