package forward

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// cutHeads are heads of which only a part is sent.
var cutHeads = []struct{ name, text string }{
	{"length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 12\r\n\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"no length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n"},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nTest-Id: 1\r\n\r\n"},
	{"no content", "HTTP/1.1 204 No Content\r\nTest-Id: 1\r\n\r\n"},
	{"bare line ends", "HTTP/1.1 200 OK\nTest-Id: 1\nContent-Length: 12\n\n"},
	{"after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\n"},
	{"after a late answer", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\n"},
}

// Guards against an answer whose upstream stops in the middle of its head: what has arrived must
// not pass for an answer with a short body, wherever it ends.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for _, c := range cutHeads {
		for n := range len(c.text) {
			for end, after := range map[string]func(*net.TCPConn){"closed": closeNow, "reset": resetNow} {
				_, err := sendRaw(t, c.text[:n], after)
				must.Error(t, err, must.Sprintf("%s: %q, %s", c.name, c.text[:n], end))
			}
		}
	}
}

// The same for a trailer, and for the chunks before it.
func TestChunksThatEndEarlyAreIncomplete(t *testing.T) {
	const head, rest = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\nX: 1\r\nY: 2\r\n\r\n"
	for n := range len(rest) {
		_, err := sendRaw(t, head+rest[:n], closeNow)
		must.Error(t, err, must.Sprintf("%q", rest[:n]))
	}
	body, err := sendRaw(t, head+rest, closeNow)
	must.NoError(t, err)
	must.Eq(t, "ok", body)
}
