package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// oddCaller writes requests in its own way around the SIGTERM of its router, which is sent when it
// calls stop. It returns what became of each of its attempts.
type oddCaller func(c net.Conn, stop func()) map[string]string

// headOf returns the head of a request with a body of 10 bytes.
func headOf(path, attempt, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: 10\r\n%s\r\n",
		path, host, apiKey, wire.HeaderAttempt, attempt, more)
}

const oddBody = "0123456789"

// expectContinue sends its body once it is asked for it, and after the stop has begun.
func expectContinue(c net.Conn, stop func()) map[string]string {
	_, _ = io.WriteString(c, headOf("/once/x", "continue", "Expect: 100-continue\r\n"))
	reader := bufio.NewReader(c)
	if _, err := reader.ReadString('\n'); err != nil {
		return map[string]string{"continue": "no answer"}
	}
	_, _ = reader.ReadString('\n')
	stop()
	time.Sleep(time.Second)
	_, _ = io.WriteString(c, oddBody)
	return map[string]string{"continue": readOutcome(reader, "continue", false)}
}

// bytesBehind sends bytes behind its request that are no request.
func bytesBehind(c net.Conn, stop func()) map[string]string {
	attempt := longAttemptOf("behind")
	_, _ = io.WriteString(c, headOf("/stream/slow", attempt, "")+oddBody+"garbage\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	stop()
	return map[string]string{attempt: readOutcome(bufio.NewReader(c), attempt, true)}
}

// pipelining sends a second request while the first one is served, before the stop.
func pipelining(c net.Conn, stop func()) map[string]string {
	attempt := longAttemptOf("first")
	_, _ = io.WriteString(c, headOf("/stream/slow", attempt, "")+oddBody+headOf("/once/x", "second", "")+oddBody)
	time.Sleep(200 * time.Millisecond)
	stop()
	reader := bufio.NewReader(c)
	return map[string]string{attempt: readOutcome(reader, attempt, true), "second": readOutcome(reader, "second", false)}
}

// readingLate reads its stream only when the router would have stopped.
func readingLate(c net.Conn, stop func()) map[string]string {
	attempt := longAttemptOf("late")
	_, _ = io.WriteString(c, headOf("/stream/slow", attempt, "")+oddBody)
	time.Sleep(200 * time.Millisecond)
	stop()
	time.Sleep(shutdownTimeout)
	return map[string]string{attempt: readOutcome(bufio.NewReader(c), attempt, true)}
}

// writingInPieces sends its request byte by byte over the beginning of the stop.
func writingInPieces(c net.Conn, stop func()) map[string]string {
	text := headOf("/once/x", "pieces", "") + oddBody
	for i := range text {
		_, _ = io.WriteString(c, text[i:i+1])
		time.Sleep(10 * time.Millisecond)
		if i == len(text)/2 {
			stop()
		}
	}
	return map[string]string{"pieces": readOutcome(bufio.NewReader(c), "pieces", false)}
}

// Guards against requests that end without an answer in a planned stop since their callers write or
// read in an unusual way.
func TestOddCallersAcrossAStopAreAnswered(t *testing.T) {
	for name, caller := range map[string]oddCaller{
		"expect-continue": expectContinue, "bytes-behind": bytesBehind, "pipelining": pipelining, "reading-late": readingLate, "pieces": writingInPieces,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopFixture(t)
			c, err := net.Dial("tcp", s.router.callerAddress)
			must.NoError(t, err)
			defer c.Close()
			stop := sync.OnceFunc(func() { s.router.signal(syscall.SIGTERM) })
			outcomes := caller(c, stop)
			runs := s.runs()
			for attempt, outcome := range outcomes {
				t.Logf("%s: %s, run: %v", attempt, outcome, runs[attempt])
				if runs[attempt] {
					must.Eq(t, outcomeServed, outcome)
				} else {
					must.Eq(t, outcomeRefused, outcome)
				}
			}
		})
	}
}

// readOutcome reads the answer to an attempt, and returns what became of it.
func readOutcome(reader *bufio.Reader, attempt string, stream bool) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(response.Body)
	want := replica.Body(attempt)
	if stream {
		want = ""
		for n := 1; n <= replica.Events(attempt); n++ {
			want += replica.Event(attempt, "", n)
		}
	}
	switch {
	case err != nil:
		return "cut"
	case response.StatusCode == http.StatusOK && string(body) == want:
		return outcomeServed
	case response.StatusCode == http.StatusOK:
		return "not the whole answer"
	}
	return fmt.Sprint(response.StatusCode)
}
