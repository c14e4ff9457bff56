package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"dandelionrill.example/fleet/platform"
	"github.com/shoenig/test/must"
)

// The limit on connections must leave descriptors and memory for all else, and must be above
// what the callers of a busy router need.
func TestLimitOnConnectionsOfCallers(t *testing.T) {
	for _, c := range []struct {
		memoryMb   int64
		maxSockets int
		want       int
	}{
		{284, 3900, 2218},
		{284, 312, 208},
		{64, 3900, 341},
		{0, 3900, 2600},
		{0, 0, 0},
	} {
		must.Eq(t, c.want, maxCallers(&platform.Settings{MemoryBytes: c.memoryMb << 20, MaxSockets: c.maxSockets}))
	}
}

// limitedServer serves callers within limits.
type limitedServer struct {
	callers  *callerConns
	address  string
	mayEnd   chan struct{} // ends requests for /long
	requests chan string
}

func newLimitedServer(t *testing.T, most int, memory *membudget.Budget) *limitedServer {
	t.Helper()
	s := &limitedServer{callers: newCallerConns(), mayEnd: make(chan struct{}), requests: make(chan string, 10)}
	s.callers.most, s.callers.memory = most, memory
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests <- r.URL.Path
		if r.URL.Path == "/long" {
			<-s.mayEnd
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState, server.Listener = s.callers.trackState, callerListener{server.Listener, s.callers}
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// dial opens a connection and sends text.
func (s *limitedServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	return c
}

func get(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

func answered(c net.Conn) bool {
	answer := make([]byte, 15)
	_, err := io.ReadFull(c, answer)
	return err == nil && string(answer) == "HTTP/1.1 200 OK"
}

// At the limit a connection that never sent a whole request gives way, then one that is idle; a
// request being served never does.
func TestConnectionsGiveWayAtTheLimit(t *testing.T) {
	s := newLimitedServer(t, 2, nil)
	long := s.dial(t, get("/long"))
	must.Eq(t, "/long", <-s.requests)
	unfinished := s.dial(t, "GET / HT")
	for !s.callers.anyRequestBeingRead() {
		time.Sleep(time.Millisecond)
	}
	early := s.dial(t, "")
	_, err := early.Read(make([]byte, 1))
	must.Error(t, err, must.Sprint("nobody has stalled for long"))
	time.Sleep(membudget.Grace)

	idle := s.dial(t, get("/idle"))
	must.True(t, answered(idle))
	_, err = unfinished.Read(make([]byte, 1))
	must.Error(t, err)
	for s.callers.idleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	last := s.dial(t, get("/last"))
	must.True(t, answered(last))
	_, err = io.Copy(io.Discard, idle)
	must.NoError(t, err)
	close(s.mayEnd)
	must.True(t, answered(long))
	counts := s.callers.counts()
	must.Eq(t, 2, counts["closed"])
	must.Eq(t, 1, counts["rejected"])
}

// Heads that do not end must not exceed the memory. The memory of a head that has been read is
// returned with the end of its request.
func TestMemoryOfHeadsIsLimited(t *testing.T) {
	s := newLimitedServer(t, 0, membudget.New(40<<10+2*connectionBytes))
	long := "GET /long HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 12<<10)
	whole := s.dial(t, long+"\r\n\r\n")
	must.Eq(t, "/long", <-s.requests)
	must.Between(t, connectionBytes+1, s.callers.memory.Used(), connectionBytes+40<<10)
	unfinished := s.dial(t, long)
	_, err := unfinished.Read(make([]byte, 1))
	must.Error(t, err, must.Sprint("no memory for a second head"))
	must.Eq(t, 1, s.callers.memory.Refused().Value())
	close(s.mayEnd)
	must.True(t, answered(whole))
	for s.callers.memory.Used() > connectionBytes {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, whole.Close())
	for s.callers.memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// The log says once that callers exceed the limits, and once that they have ceased to.
func TestCrowdStateChanges(t *testing.T) {
	var c crowdState
	now := time.Now()
	must.False(t, c.update(now, 0))
	must.True(t, c.update(now, 3))
	must.True(t, c.begun)
	must.False(t, c.update(now.Add(time.Second), 9))
	must.False(t, c.update(now.Add(crowdQuietTime), 9))
	must.True(t, c.update(now.Add(time.Second+crowdQuietTime), 9))
	must.False(t, c.begun)
	must.False(t, c.update(now.Add(time.Hour), 9))
}
