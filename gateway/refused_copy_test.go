package gateway_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// copyingReplica refuses the first send of each request as full, and writes a late copy of the
// refusal where the next answer on the connection is expected.
type copyingReplica struct {
	mu    sync.Mutex
	sends map[string]int
}

// count counts a send of a request, and returns how many there have been.
func (c *copyingReplica) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends[id]++
	return c.sends[id]
}

func (c *copyingReplica) serve(conn net.Conn) {
	defer conn.Close()
	reader, copied := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, copied)
		copied = ""
		id := r.Header.Get(attemptID)
		if c.count(id) == 1 {
			copied = "HTTP/1.1 503 Service Unavailable\r\n" + attemptID + ": " + id + "\r\n" + notRun + ": 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, copied)
			continue
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+attemptID+": "+id+"\r\n"+signature+": sig\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a queued request that is sent again to the upstream that refused it as full,
// and gets a late copy of that refusal for the answer to the second send, which runs. The caller
// would be told that it was not run, or it would run once more.
func TestCopyOfARefusalIsNoAnswerToTheNextSend(t *testing.T) {
	replica := &copyingReplica{sends: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replica.serve(conn)
		}
	}()
	f := newFixtureWith(t, func(o *gateway.Options) { o.Policy.Queue = true })
	f.gateway.SetCatalog(catalog.New(1, []catalog.Upstream{{
		ID: "i-0", Service: "s", Address: listener.Addr().String(), FailureDomain: "a", State: catalog.StateReady, Slots: 6,
	}}))
	for _, id := range []string{"a", "b", "c"} {
		r := f.newRequest(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(attemptID, id)
		response, body := f.do(t, r)
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(body))
		must.Eq(t, 3, replica.count(id), must.Sprint("sends, with this one"))
	}
	var counters struct {
		LateAnswers int `json:"late_answers"`
	}
	must.NoError(t, json.Unmarshal([]byte(f.gateway.Metrics().String()), &counters))
	must.Positive(t, counters.LateAnswers)
}
