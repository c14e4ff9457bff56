package agent

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// callText is callRaw for a short request and an upstream that closes in order.
func callText(t *testing.T, text string, single bool) (got sinkBytes, complete bool, err error) {
	t.Helper()
	return callRaw(t, text, []byte("x"), single, func(*net.TCPConn) {})
}

// Guards against an answer whose status is no status: it was recorded as whole, and the router
// that passed it on failed.
func TestAnswerWithoutAValidStatusIsRejected(t *testing.T) {
	for _, single := range []bool{false, true} {
		for _, status := range []string{"000", "099", "+20", "-20", "101", "20", "1000", ""} {
			got, complete, err := callText(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nok", single)
			must.Error(t, err, must.Sprintf("%q", status))
			must.False(t, complete)
			must.Eq(t, sinkBytes{}, got)
		}
		got, complete, err := callText(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", single)
		must.NoError(t, err)
		must.True(t, complete)
		must.Eq(t, sinkBytes{200, 2}, got)
	}
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte: a
// length in such a field was not seen, so that another body was recorded as whole.
func TestAnswerWithABadFieldNameIsRejected(t *testing.T) {
	for _, single := range []bool{false, true} {
		for _, field := range []string{"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\tY: 1", "X\x00Y: 1", "X\x7fY: 1", ": 1", "Content-Length : 2", "Transfer-Encoding : chunked"} {
			for _, text := range []string{
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + field + "\r\n\r\ndata: [DONE]\n\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + field + "\r\n\r\nok",
				"HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			} {
				got, complete, err := callText(t, text, single)
				must.Error(t, err, must.Sprintf("%q", text))
				must.False(t, complete)
				must.Eq(t, sinkBytes{}, got)
			}
		}
		for _, field := range []string{"X Y: 1", "X : 1", "X\x7fY: 1"} {
			_, complete, err := callText(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+field+"\r\n\r\n", single)
			must.Error(t, err, must.Sprintf("in the trailer: %q", field))
			must.False(t, complete)
		}
	}
}

// Guards against an answer with a control byte in the value of a field, recorded for routers that
// pass it on.
func TestAnswerWithABadFieldValueIsRejected(t *testing.T) {
	for _, single := range []bool{false, true} {
		for _, field := range []string{"X: a\x00b", "X: \x01", "X: a\x7f", "X: a\x1bb", "X: a\rContent-Length: 1"} {
			got, complete, err := callText(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\nok", single)
			must.Error(t, err, must.Sprintf("%q", field))
			must.False(t, complete)
			must.Eq(t, sinkBytes{}, got)
		}
		got, complete, err := callText(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\tb \xc3\xa9\r\n\r\nok", single)
		must.NoError(t, err)
		must.True(t, complete)
		must.Eq(t, sinkBytes{200, 2}, got)
	}
}

// Guards against an answer whose upstream stops in the middle of its head, recorded as a whole one
// with a short body.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for n := range len(head) {
			for _, single := range []bool{false, true} {
				got, complete, err := callText(t, head[:n], single)
				must.Error(t, err, must.Sprintf("%q", head[:n]))
				must.False(t, complete)
				must.Eq(t, sinkBytes{}, got)
			}
		}
	}
}
