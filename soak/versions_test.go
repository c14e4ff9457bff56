package soak

import (
	"strings"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"github.com/shoenig/test/must"
)

// A stream that ends early, has an event twice or goes on at another version must be
// reported, also if it is taken up in another attempt.
func TestReadStreamFindsViolations(t *testing.T) {
	text := func(version string, from, to int) string {
		var b strings.Builder
		for n := from; n <= to; n++ {
			b.WriteString(replica.Event("a", version, n))
		}
		return b.String()
	}
	last := replica.Events("a")
	for _, c := range []struct {
		name     string
		received int // in earlier attempts, of version v1
		body     string
		want     int
	}{
		{"whole", 0, text("v1", 1, last), 0},
		{"taken up", 2, text("v1", 3, last), 0},
		{"ends early", 0, text("v1", 1, last-1), 1},
		{"ends within an event", 0, strings.TrimSuffix(text("v1", 1, last), "\n"), 1},
		{"an event too many", 0, text("v1", 1, last+1), 1},
		{"an event again", 2, text("v1", 2, last), 1},
		{"two versions", 0, text("v1", 1, 2) + text("v2", 3, last), 1},
		{"taken up at another version", 2, text("v2", 3, last), 1},
	} {
		s := &Soak{}
		o := &outcome{attempt: "b", first: "a", received: c.received, version: "v1"}
		must.NoError(t, (&caller{soak: s}).readStream(o, strings.NewReader(c.body)), must.Sprint(c.name))
		must.Len(t, c.want, s.violations, must.Sprint(c.name))
	}
}

// Streams that are taken up must go on about as often as new ones are served: a router
// that refuses them keeps ORDER, but not this.
func TestTakenUpStreamsMustGoOn(t *testing.T) {
	now := time.Now()
	phase := takingPhase{period{now.Add(-time.Minute), now.Add(time.Minute)}, map[string]int{"v1": 2, "v2": 1}}
	for _, c := range []struct {
		version string
		status  int // of the streams taken up
		count   int
		want    int
	}{{"v1", 200, minTakenUp, 0}, {"v1", 503, minTakenUp, 1}, {"v1", 503, minTakenUp - 1, 0}, {"v2", 503, minTakenUp, 0}} {
		outcomes := []outcome{{attempt: "a", first: "a", route: "/resume/", status: 200, started: now, finished: now}}
		for range c.count {
			outcomes = append(outcomes, outcome{attempt: "b", first: "a", route: "/resume/", status: c.status, version: c.version, started: now, finished: now})
		}
		s := &Soak{opts: Options{Log: t.Output()}}
		s.checkTakenUp(phase, outcomes)
		must.Len(t, c.want, s.violations)
	}
}
