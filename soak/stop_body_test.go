package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
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

// newBodyCaller sends the head of a request and the first half of its body.
func newBodyCaller(t *testing.T, s *stopFixture, path, attempt string, chunked bool) *bodyCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.router.callerAddress)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	framing, half, rest := "Content-Length: 10", "01234", "56789"
	if chunked {
		framing, half, rest = "Transfer-Encoding: chunked", "5\r\n01234\r\n", "5\r\n56789\r\n0\r\n\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s\r\n\r\n%s",
		path, host, apiKey, wire.HeaderAttempt, attempt, framing, half)
	must.NoError(t, err)
	return &bodyCaller{Conn: c, attempt: attempt, stream: strings.HasPrefix(path, "/stream/"), rest: rest}
}

// answer sends the rest of the body, unless the router has closed the connection, and returns
// what became of the request.
func (c *bodyCaller) answer() string {
	_, _ = io.WriteString(c, c.rest)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	body, err := io.ReadAll(response.Body)
	want := replica.Body(c.attempt)
	if c.stream {
		want = ""
		for n := 1; n <= replica.Events(c.attempt); n++ {
			want += replica.Event(c.attempt, "", n)
		}
	}
	switch {
	case err != nil:
		return "cut: " + err.Error()
	case response.StatusCode == http.StatusOK && string(body) == want:
		return "served"
	case response.StatusCode == http.StatusOK:
		return "not the whole answer"
	}
	return http.StatusText(response.StatusCode)
}

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
				callers = append(callers, newBodyCaller(t, s, path, longAttemptOf(fmt.Sprint("caller", i)), i > 1))
			}
			time.Sleep(100 * time.Millisecond)
			s.router.signal(syscall.SIGTERM)
			time.Sleep(after)
			outcomes := make([]string, len(callers))
			var all sync.WaitGroup
			for i, c := range callers {
				all.Go(func() { outcomes[i] = c.answer() })
			}
			all.Wait()
			runs := s.runs()
			for i, c := range callers {
				t.Logf("%s: %s, run: %v", c.attempt, outcomes[i], runs[c.attempt])
				if runs[c.attempt] {
					must.Eq(t, "served", outcomes[i])
				} else {
					must.Eq(t, http.StatusText(http.StatusServiceUnavailable), outcomes[i])
				}
				must.True(t, after > time.Second || runs[c.attempt], must.Sprint("bodies that end early in the stop are served"))
			}
		})
	}
}
