package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// An upstream whose head goes on must not fill the memory of the host: net/http reads up to
// 10 MB of it.
func TestLongHeadOfAnAnswerIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, out, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(out, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 1000)+"Content-Length: 0\r\n\r\n")
		_ = out.Flush()
	}))
	defer server.Close()
	base, err := url.Parse(server.URL)
	must.NoError(t, err)
	conn, err := net.Dial("tcp", base.Host)
	must.NoError(t, err)
	for name, client := range map[string]*http.Client{"repeatable": newUpstream(base).client, "single use": newSingleUseClient(conn)} {
		response, err := client.Get(server.URL)
		must.Error(t, err, must.Sprint(name))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}
