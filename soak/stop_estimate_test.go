package soak

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"github.com/shoenig/test/must"
)

// shortAttempt returns an attempt whose slow stream takes less than a third of a second.
func shortAttempt(prefix string) string {
	attempt := prefix
	for replica.Events(attempt) > 3 {
		attempt += "-"
	}
	return attempt
}

// Guards against answers that are cut at the end of a planned stop: the latest answers of a route
// were short, a body ends more than 3 s after the SIGTERM, and its answer takes longer.
func TestBodyThatEndsLateInAStopIsNotPassedOnAfterShortAnswers(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	for i := range 8 {
		response, err := s.send(shortAttempt(fmt.Sprint("short", i)), "/stream/slow", 10*time.Second)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}
	var callers []*bodyCaller
	for i, chunked := range []bool{false, true} {
		callers = append(callers, newBodyCaller(s, "/stream/slow", longAttemptOf(fmt.Sprint("caller", i)), chunked))
	}
	time.Sleep(100 * time.Millisecond)
	s.router.signal(syscall.SIGTERM)
	s.finishBodies(t, callers, 3800*time.Millisecond)
}
