package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// binaryDir is where routerBinary builds; empty if no test needed it.
var binaryDir string

// routerBinary builds the router once for all tests.
var routerBinary = sync.OnceValues(func() (binary string, err error) {
	if binaryDir, err = os.MkdirTemp("", "soak-stop"); err != nil {
		return "", err
	}
	return Build(binaryDir, func(name string, args ...string) error {
		cmd := exec.Command(name, args...)
		cmd.Dir = ".."
		return cmd.Run()
	})
})

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(binaryDir) // does nothing if it is empty
	os.Exit(code)
}

// stopFixture is a router process with two upstreams.
type stopFixture struct {
	*fleet
	router *router
	client http.Client // one connection at a time, kept open
}

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	binary, err := routerBinary()
	must.NoError(t, err)
	f, err := newFleet(binary, t.TempDir(), 1, 2, func(int) string { return "" }, nil)
	must.NoError(t, err)
	s := &stopFixture{fleet: f, router: f.routers[0]}
	t.Cleanup(func() { must.NoError(t, f.close()) })
	s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	for i := 0; ; i++ {
		response, err := s.send("ready", "/safe/x", 10*time.Second)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			if response.StatusCode == http.StatusOK {
				return s
			}
		}
		must.Less(t, 500, i)
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *stopFixture) send(attempt, path string, deadline time.Duration) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.router.callerAddress+path, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	r.GetBody, r.Host = nil, host
	wire.SetRequestHeaders(r.Header, attempt, apiKey, deadline)
	return s.client.Do(r)
}

// silence stops all bytes from and to the upstreams.
func (s *stopFixture) silence() {
	for _, u := range s.upstreams {
		u.proxy.SetMode(ModeSilence)
	}
}

// log returns what the router has written.
func (s *stopFixture) log(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(s.dir, s.router.name+".log"))
	must.NoError(t, err)
	return string(text)
}

// longAttempt returns an attempt whose slow stream takes two seconds.
func longAttempt() string { return longAttemptOf("long") }

// longAttemptOf is longAttempt with a prefix.
func longAttemptOf(attempt string) string {
	for replica.Events(attempt) < 20 {
		attempt += "-"
	}
	return attempt
}

// The platform repeats the SIGTERM of a router that is draining. The stream in progress
// must be delivered whole: if the second signal ends the process, it is lost.
func TestRepeatedSIGTERMDoesNotEndTheDrain(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	attempt := longAttempt()
	response, err := s.send(attempt, "/stream/slow", 10*time.Second)
	must.NoError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	for n := 1; n <= replica.Events(attempt); n++ {
		event, err := readEvent(reader)
		must.NoError(t, err, must.Sprintf("event %d", n))
		must.Eq(t, replica.Event(attempt, "", n), event)
		if n == 3 || n == 5 || n == 6 {
			s.router.signal(syscall.SIGTERM)
		}
	}
	_, err = readEvent(reader)
	must.ErrorIs(t, err, io.EOF)
}

// An operator interrupts a router that is draining. It must end at once, instead of serving
// until its time limit.
func TestSIGINTEndsTheDrain(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	s.router.mu.Lock()
	s.router.closing = true // no restart
	exited := s.router.exited
	s.router.mu.Unlock()
	s.router.signal(syscall.SIGTERM)
	for !strings.Contains(s.log(t), `"message":"router draining"`) {
		time.Sleep(time.Millisecond)
	}
	s.router.signal(syscall.SIGINT)
	<-exited
	must.StrNotContains(t, s.log(t), `"message":"router stopped"`)
}

// A router that has drained for longer than callers need to find another one gets a request
// on a kept connection, and its upstream takes longer than the rest of the drain. The router
// must refuse the request: once it is passed on, it is lost with the process.
func TestDrainingRouterRefusesWhatMayNotEndInTime(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	ended := make(chan struct{})
	go func() { // keeps the router from stopping as soon as it is quiet
		defer close(ended)
		if response, err := (&stopFixture{fleet: s.fleet, router: s.router}).send("first", "/once/x", 10*time.Second); err == nil {
			_ = response.Body.Close()
		}
	}()
	s.silence()
	s.router.signal(syscall.SIGTERM)
	time.Sleep(3800 * time.Millisecond)
	for _, path := range []string{"/once/x", "/safe/x"} {
		response, err := s.send("late"+path, path, 10*time.Second)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NoError(t, response.Body.Close())
	}
	<-ended
}

// A request is still arriving when a drained router would exit. The router must read the
// rest and answer: a connection that is closed because no handler runs yet loses the
// request.
func TestRequestThatArrivesAtTheEndOfTheDrainIsAnswered(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	c, err := net.Dial("tcp", s.router.callerAddress)
	must.NoError(t, err)
	defer c.Close()
	s.router.signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	_, err = fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", host, apiKey)
	must.NoError(t, err)
	for i := range 12 { // until after the router would exit
		time.Sleep(200 * time.Millisecond)
		_, err = fmt.Fprintf(c, "X-Part: %d\r\n", i)
		must.NoError(t, err)
	}
	_, err = fmt.Fprintf(c, "%s: arriving\r\n\r\n", wire.HeaderAttempt)
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode) // it may not end in time
}

// The upstream of a request is still at work when the time of the drain is over. The caller
// must get an answer, and the request a line in the log, instead of a closed connection.
func TestRequestInProgressAtTheEndOfTheDrainIsAnswered(t *testing.T) {
	t.Parallel()
	s := newStopFixture(t)
	s.silence()
	go func() {
		time.Sleep(200 * time.Millisecond)
		s.router.signal(syscall.SIGTERM)
	}()
	response, err := s.send("unfinished", "/once/x", 10*time.Second)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.NoError(t, response.Body.Close())
	for i := 0; !strings.Contains(s.log(t), `"message":"router stopped"`); i++ {
		must.Less(t, 200, i)
		time.Sleep(20 * time.Millisecond)
	}
	must.StrContains(t, s.log(t), `"id":"unfinished"`)
}
