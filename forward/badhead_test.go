package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// What an upstream does after its answer, before it closes the connection.
var (
	closeNow = func(*net.TCPConn) {}
	resetNow = func(c *net.TCPConn) { _ = c.SetLinger(0) }
	keepOpen = func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)) } // until the pool closes it
)

// sendRaw sends a request to an upstream that answers it with the text, and returns the body of the
// answer.
func sendRaw(t *testing.T, text string, after func(*net.TCPConn)) (body string, err error) {
	t.Helper()
	u := serve(t, func(_ *upstream, c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		after(c.(*net.TCPConn))
	})
	response, err := newPool().Send(t.Context(), u.listener.Addr().String(), request("1"))
	if err != nil {
		return "", err
	}
	defer response.Close(false)
	p, err := io.ReadAll(response)
	return string(p), err
}

// Guards against an answer whose status is no status: it was taken for an interim one, and its
// body for the answer.
func TestAnswerWithoutAValidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "+20", "+00", "-20", "101", "20", "1000", ""} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			_, err := sendRaw(t, before+"HTTP/1.1 "+status+" Trouble\r\nTest-Id: 1\r\n\r\n"+answer("1", "inner"), keepOpen)
			must.Eq(t, MayHaveRun, outcomeOf(t, err), must.Sprintf("%q", status))
		}
	}
}

// Interim answers must be skipped, and final ones come with the status that the upstream gave.
func TestInterimAnswersOfEachStatusAreSkipped(t *testing.T) {
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Other"} {
		body, err := sendRaw(t, strings.Repeat("HTTP/1.1 "+interim+"\r\nLink: x\r\n\r\n", 3)+answer("1", "own"), keepOpen)
		must.NoError(t, err)
		must.Eq(t, "own", body)
	}
}

// badFields are lines in whose name a blank or a control byte stands.
var badFields = []string{
	"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\t: 1", "X\tY: 1", "X\x00Y: 1", "X\x01: 1", "X\rY: 1", "X\x7fY: 1", "\x1bX: 1", ": 1", " : 1",
	"Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Test-Id : 1",
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte. A
// length in such a field was not seen, so that the body was another one.
func TestAnswerWithABadFieldNameIsRejected(t *testing.T) {
	for _, field := range badFields {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nTest-Id: 1\r\n" + field + "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\n" + field + "\r\n\r\nok",
			"HTTP/1.1 200 OK\r\n" + field + "\r\nTest-Id: 1\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + field + "\r\n\r\n" + answer("1", "ok"),
			answer("0", "late") + "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\n" + field + "\r\n\r\nok",
		} {
			_, err := sendRaw(t, text, closeNow)
			must.Eq(t, MayHaveRun, outcomeOf(t, err), must.Sprintf("%q", text))
		}
		if field[0] == ' ' || field[0] == '\t' {
			continue // a folded value of a trailer, which nobody gets
		}
		_, err := sendRaw(t, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: 1\r\n"+field+"\r\n\r\n", closeNow)
		must.Error(t, err, must.Sprintf("in the trailer: %q", field))
	}
}

// Answers with fields of any valid name, in the head or in the trailer, must come whole.
func TestAnswerWithUnusualFieldNamesIsWhole(t *testing.T) {
	const fields = "!#$%&'*+-.^_`|~09azAZ: 1\r\nX:\r\nY:  2 \r\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\n" + fields + "Content-Length: 3\r\n\r\n ok",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\n" + fields + "\r\n ok",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n ok\r\n0\r\n" + fields + "\r\n",
	} {
		body, err := sendRaw(t, text, closeNow)
		must.NoError(t, err)
		must.Eq(t, " ok", body)
	}
}
