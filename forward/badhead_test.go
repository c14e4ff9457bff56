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

// sendRaw sends a request to an upstream that answers it with the text and keeps the connection
// open, or closes it.
func sendRaw(t *testing.T, text string, closes bool) (body string, err error) {
	t.Helper()
	u := serve(t, func(_ *upstream, c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		if !closes {
			_, _ = reader.ReadByte() // until the pool closes it
		}
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
			_, err := sendRaw(t, before+"HTTP/1.1 "+status+" Trouble\r\nTest-Id: 1\r\n\r\n"+answer("1", "inner"), false)
			must.Eq(t, MayHaveRun, outcomeOf(t, err), must.Sprintf("%q", status))
		}
	}
}

// Interim answers must be skipped, and final ones come with the status that the upstream gave.
func TestInterimAnswersOfEachStatusAreSkipped(t *testing.T) {
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Other"} {
		body, err := sendRaw(t, strings.Repeat("HTTP/1.1 "+interim+"\r\nLink: x\r\n\r\n", 3)+answer("1", "own"), false)
		must.NoError(t, err)
		must.Eq(t, "own", body)
	}
}
