package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// bodyCaller sends the body of one request in two halves, on a connection of its own.
type bodyCaller struct {
	net.Conn
	attempt string
	stream  bool
	rest    string // of the body, with its framing
}

// newBodyCaller sends the head of a request and the first half of its body. It returns nil if
// the router takes no connections any more.
func newBodyCaller(s *stopFixture, path, attempt string, chunked bool) *bodyCaller {
	c, err := net.Dial("tcp", s.router.callerAddress)
	if err != nil {
		return nil
	}
	framing, half, rest := "Content-Length: 10", "01234", "56789"
	if chunked {
		framing, half, rest = "Transfer-Encoding: chunked", "5\r\n01234\r\n", "5\r\n56789\r\n0\r\n\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s\r\n\r\n%s",
		path, host, apiKey, wire.HeaderAttempt, attempt, framing, half)
	if err != nil {
		return nil
	}
	return &bodyCaller{Conn: c, attempt: attempt, stream: strings.HasPrefix(path, "/stream/"), rest: rest}
}

// answer sends the rest of the body after a time, unless the answer comes before, and returns
// what became of the request.
func (c *bodyCaller) answer(after time.Duration) string {
	outcome := make(chan string, 1)
	go func() { outcome <- readOutcome(bufio.NewReader(c), c.attempt, c.stream) }()
	select {
	case early := <-outcome:
		return early
	case <-time.After(after):
	}
	_, err := io.WriteString(c, c.rest)
	sent := time.Now()
	if result := <-outcome; result != outcomeNone || err != nil || time.Since(sent) <= lossSlack {
		return result
	}
	return "no answer to a whole request"
}

// lossSlack is how long after its last byte a request that is not run may cross the close of its
// connection.
const lossSlack = 200 * time.Millisecond

// What became of a request that met a stop as it should.
const (
	outcomeServed  = "served"
	outcomeRefused = "503"
)

// outcomeNone is that of a request whose connection was closed without an answer.
const outcomeNone = "no answer"

// runs returns the attempts that the upstreams have run.
func (s *stopFixture) runs() map[string]bool {
	runs := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, r := range u.replica.Runs() {
			runs[r.Attempt] = true
		}
	}
	return runs
}

// Guards against answers that are cut at the end of a planned stop: callers send the heads of
// their requests before the SIGTERM, and the ends of the bodies some time after it.
func TestBodiesAcrossAStopAreServedOrRefused(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 4400 * time.Millisecond, 5400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			s := newStopFixture(t)
			var callers []*bodyCaller
			for i, path := range []string{"/stream/slow", "/once/x", "/stream/slow", "/once/x"} {
				callers = append(callers, newBodyCaller(s, path, longAttemptOf(fmt.Sprint("caller", i)), i > 1))
			}
			time.Sleep(100 * time.Millisecond)
			s.router.signal(syscall.SIGTERM)
			outcomes := make([]string, len(callers))
			var all sync.WaitGroup
			for i, c := range callers {
				all.Go(func() { outcomes[i] = c.answer(after) })
			}
			all.Wait()
			runs := s.runs()
			for i, c := range callers {
				t.Logf("%s: %s, run: %v", c.attempt, outcomes[i], runs[c.attempt])
				if runs[c.attempt] {
					must.Eq(t, outcomeServed, outcomes[i])
				} else {
					must.Eq(t, outcomeRefused, outcomes[i])
				}
				must.True(t, after > time.Second || runs[c.attempt], must.Sprint("bodies that end early in the stop are served"))
			}
		})
	}
}

// stopCallers is the number of callers of each kind across a stop.
const stopCallers = 96

// Guards against requests that are cut, or run and are refused, when a router stops among
// callers that come all the while, some of whose bodies take seconds to arrive.
func TestStopAmongSlowBodiesCutsNothing(t *testing.T) {
	seed := uint64(fromEnvironment("SOAK_SEED", 1))
	for _, slowBodies := range []bool{true, false} {
		t.Run(fmt.Sprintf("seed %d slow=%v", seed, slowBodies), func(t *testing.T) {
			t.Parallel()
			s := newStopFixture(t)
			s.router.mu.Lock()
			s.router.closing = true // no restart
			s.router.mu.Unlock()
			random := rand.New(rand.NewPCG(seed, 3))
			begin := time.Now().Add(2500 * time.Millisecond) // of the stop
			time.AfterFunc(time.Until(begin), func() { s.router.signal(syscall.SIGTERM) })
			outcomes, attempts := make([]string, stopCallers), make([]string, stopCallers)
			var all sync.WaitGroup
			for i := range stopCallers {
				at := begin.Add(time.Duration(random.IntN(7000)-2500) * time.Millisecond)
				body := time.Duration(random.IntN(6000)) * time.Millisecond
				if !slowBodies {
					body = 0
				}
				path := []string{"/stream/slow", "/stream/x", "/once/x", "/safe/x"}[i%4]
				attempts[i] = longAttemptOf(fmt.Sprint("caller", i))
				all.Go(func() {
					time.Sleep(time.Until(at))
					if c := newBodyCaller(s, path, attempts[i], i%8 > 3); c != nil {
						outcomes[i] = c.answer(body)
						_ = c.Close()
					} else {
						outcomes[i] = "not accepted"
					}
				})
			}
			all.Wait()
			counts := make(map[string]int)
			runs := s.runs()
			for i, outcome := range outcomes {
				if runs[attempts[i]] && outcome != outcomeServed {
					outcome += ", but run"
				}
				counts[outcome]++
			}
			t.Logf("%v", counts)
			for outcome := range counts {
				must.SliceContains(t, []string{outcomeServed, outcomeRefused, "not accepted", outcomeNone}, outcome)
			}
		})
	}
}
