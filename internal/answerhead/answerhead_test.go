package answerhead

import (
	"bufio"
	"io"
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
	if err := new(FoldScanner).Scan([]byte(text)); err != nil {
		return nil, err
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

// A name of a field that is no token must not pass, wherever it stands: in an interim answer, a
// final one, or its trailer. All others must.
func TestFieldNames(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		c := string([]byte{byte(b)})
		valid := strings.Contains(token, c)
		names := map[string]bool{c: valid, "X" + c: valid, c + "X": valid, "X" + c + "X": valid, "Content-Length" + c: valid}
		names["X"+c+c+"X"] = valid
		if c == ":" || c == "\n" || c == "\r" {
			continue // ends the name, or the line
		}
		for name, valid := range names {
			for where, text := range map[string]string{
				"interim": "HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\n",
				"final":   "HTTP/1.1 200 OK\r\nA: 1\r\n" + name + ": 1\r\nB: 2\r\n\r\n1",
				"first":   "HTTP/1.1 200 OK\r\n" + name + ": 1\r\n\r\n1",
				"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n" + name + ": 1\r\n\r\n",
			} {
				must.Eq(t, valid, wholeAndValid(text), must.Sprintf("%s: %q", where, name))
			}
		}
	}
	must.False(t, wholeAndValid("HTTP/1.1 200 OK\r\n: 1\r\n\r\n1"))
	for _, field := range []string{"Content-Length : 1", "Transfer-Encoding : chunked", "Content-Length\t: 1", "Transfer-Encoding\t: chunked", "Content-Length \t: 1"} {
		must.False(t, wholeAndValid("HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n1"), must.Sprint(field))
	}
}

// wholeAndValid reports whether text is a whole answer that passes.
func wholeAndValid(text string) bool {
	answer, err := read(text)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && CheckTrailer(answer) == nil
}

// A line that begins with a blank must be found in each head up to that of the final answer,
// however the bytes arrive, and not behind it.
func TestFoldedLines(t *testing.T) {
	const interim, head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n"
	for text, folded := range map[string]bool{
		head + "\r\n body\n body":                          false,
		head + "\n body\n body":                            false,
		head + " B: 2\r\n\r\n":                             true,
		head + "\tB: 2\r\n\r\n":                            true,
		head + " \r\n\r\n":                                 true,
		head + "B: 2\n C: 3\n\n":                           true,
		interim + head + "\r\n body":                       false,
		interim + interim + head + " B: 2\r\n\r\n":         true,
		"HTTP/1.1 103 Early Hints\r\n Link: x\r\n\r\n":     true,
		"HTTP/1.1 101 Other\r\n\r\nHTTP/1.1 200 OK\r\n A:": false,
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 200\r\n A: 1\r\n":    true,
		"": false,
	} {
		var byByte FoldScanner
		var found error
		for i := range len(text) {
			if err := byByte.Scan([]byte{text[i]}); err != nil && found == nil {
				found = err
			}
		}
		must.Eq(t, folded, found != nil, must.Sprintf("%q", text))
		must.Eq(t, folded, new(FoldScanner).Scan([]byte(text)) != nil, must.Sprintf("%q", text))
	}
}
