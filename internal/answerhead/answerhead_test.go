package answerhead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// read parses an answer and checks it, as the readers of answers do.
func read(text string) (*http.Response, error) {
	answer, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return nil, err
	}
	if IsInterim(answer) {
		return answer, nil
	}
	return answer, Check(answer)
}

// A status that is no number of three digits from 100 on must not pass, nor one that cannot end
// an answer.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "+20", "+00", "-00", "-20", "101", "0", "20", "1000", "2000", "2 0", "2x0", "0x1", "٢٠٠", ""} {
		_, err := read("HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n")
		must.Error(t, err, must.Sprintf("%q", status))
	}
	for _, status := range []string{"100", "102", "103", "199", "200", "204", "299", "304", "404", "500", "599", "999"} {
		answer, err := read("HTTP/1.1 " + status + " Text\r\n\r\n")
		must.NoError(t, err, must.Sprint(status))
		must.Eq(t, status < "200", IsInterim(answer), must.Sprint(status))
	}
}
