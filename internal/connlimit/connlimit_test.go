package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

type server struct {
	*httptest.Server
	limiter *Limiter
	entered chan struct{} // one value for each request to /wait
	unblock chan struct{} // closed to answer them
}

func startServer(t *testing.T, limit int, makeRoom func() bool) *server {
	s := &server{limiter: New(limit, makeRoom), entered: make(chan struct{}), unblock: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.entered <- struct{}{}
			<-s.unblock
		}
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = s.limiter.ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// client is a connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(path string) {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: s\r\n\r\n")
}

// answered reports whether the server answers; it does not if it has closed the connection.
func (c *client) answered() bool {
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil
}

func (c *client) get(path string) bool {
	c.send(path)
	return c.answered()
}

// Guards against connections without a request that keep new ones out, and against a
// request in progress that is cut for a new connection.
func TestConnectionThatWaitsLongestIsClosed(t *testing.T) {
	s := startServer(t, 3, nil)
	busy := s.dial(t)
	busy.send("/wait")
	<-s.entered
	idle := s.dial(t)
	must.True(t, idle.get("/"))
	slow := s.dial(t)
	must.True(t, slow.get("/"))
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n") // a header without end
	must.NoError(t, err)
	for range 5 {
		must.True(t, s.dial(t).get("/"))
	}
	must.False(t, idle.get("/"))
	must.False(t, slow.answered())
	close(s.unblock)
	must.True(t, busy.answered())
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	must.LessEq(t, 3, len(s.limiter.conns))
}

// Guards against connections over the limit when all have requests in progress.
func TestNewConnectionIsClosedIfAllAreBusy(t *testing.T) {
	s := startServer(t, 2, nil)
	busy := []*client{s.dial(t), s.dial(t)}
	for _, c := range busy {
		c.send("/wait")
		<-s.entered
	}
	must.False(t, s.dial(t).get("/"))
	close(s.unblock)
	for _, c := range busy {
		must.True(t, c.answered())
	}
	served := func() bool { return s.dial(t).get("/") }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(served), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
}

// Guards against a refusal although a request in progress can be ended for the newcomer.
func TestRoomIsMadeForANewConnection(t *testing.T) {
	s := startServer(t, 1, func() bool { return true })
	busy := s.dial(t)
	busy.send("/wait")
	<-s.entered
	must.True(t, s.dial(t).get("/"))
	close(s.unblock)
	must.True(t, busy.answered())
}
