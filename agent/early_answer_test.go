package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"dandelionrill.example/fleet/wire"
	"github.com/shoenig/test/must"
)

// sinkBytes is a sink that counts what it gets.
type sinkBytes struct {
	status int
	bytes  int
}

func (s *sinkBytes) start(status int, _ http.Header) { s.status = status }

func (s *sinkBytes) write(p []byte) bool {
	s.bytes += len(p)
	return true
}

// callRaw lets an upstream answer a request with the text before it reads its body, and end the
// connection. It returns what call returns for a request that may be repeated, or that must not
// be.
func callRaw(t *testing.T, text string, body []byte, single bool, end func(c *net.TCPConn)) (got sinkBytes, complete bool, err error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn))
	}))
	defer server.Close()
	base, err := url.Parse(server.URL)
	must.NoError(t, err)
	u := newUpstream(base)
	client := u.client
	if single {
		conn, err := u.dial(t.Context())
		must.NoError(t, err)
		defer conn.Close()
		client = newSingleUseClient(conn)
	}
	args := &wire.SubmitArgs{Method: http.MethodPost, Path: "/x", Body: body, Idempotent: !single}
	complete, err = u.call(t.Context(), client, args, &got)
	return got, complete, err
}

// Guards against a part of an answer that counts as whole: the upstream answers an upload early
// without a length, and resets the connection while the upload is being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for _, single := range []bool{false, true} {
		for _, kind := range []string{"text/plain", "text/event-stream"} {
			for range 10 {
				_, complete, _ := callRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: "+kind+"\r\n\r\ndata: part\n\n", make([]byte, 16<<20), single, func(c *net.TCPConn) {
					time.Sleep(10 * time.Millisecond)
					_ = c.SetLinger(0)
				})
				must.False(t, complete, must.Sprint(kind, single))
			}
		}
	}
}
