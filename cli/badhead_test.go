package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/settings"

	"github.com/shoenig/test/must"
)

// badHeads are heads of answers that must not count as a success.
var badHeads = map[string]string{
	"status 000": "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
	"blank":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	"status 101": "HTTP/1.1 101 Trouble\r\n\r\n",
}

// An answer whose head is malformed must not tell an operator that a command has taken effect.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	for name, text := range badHeads {
		must.Error(t, callRaw(t, text), must.Sprint(name))
	}
}

// Nor must a head that ends early.
func TestHeadThatEndsEarlyIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
	for n := range len(head) {
		must.Error(t, callRaw(t, head[:n]), must.Sprintf("%q", head[:n]))
	}
}

// callRaw makes a call that is answered with the text.
func callRaw(t *testing.T, text string) error {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}))
	defer server.Close()
	client := newAdminClient(&settings.Operator{Timeout: time.Minute})
	_, err := client.call(t.Context(), http.MethodGet, strings.TrimPrefix(server.URL, "http://"), "/drain", nil, nil)
	return err
}
