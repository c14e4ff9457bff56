package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/gateway"
	"github.com/apex/log"
	"github.com/shoenig/test/must"
)

// Guards against answers to callers that quote an upstream: its address, or bytes that it sent. They
// belong into the log line of the request, which the caller can name by its identifier.
func TestFailuresDoNotQuoteUpstreams(t *testing.T) {
	const secret = "s3cret-bytes"
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	for name, handle := range map[string]http.HandlerFunc{
		"no answer":       raw(secret+"\r\n\r\n", false),
		"status":          raw("HTTP/1.1 000 "+secret+"\r\n\r\n", false),
		"field":           raw("HTTP/1.1 200"+signed+secret+" X: 1\r\n\r\n", false),
		"value":           raw("HTTP/1.1 200"+signed+"X: "+secret+"\x01\r\n\r\n", false),
		"length":          raw("HTTP/1.1 200"+signed+"Content-Length: "+secret+"\r\n\r\n", false),
		"chunk":           raw("HTTP/1.1 200"+signed+"Transfer-Encoding: chunked\r\n\r\n"+secret+"\r\n", false),
		"cut":             raw("HTTP/1.1 200"+signed+"Content-Length: 1000\r\n\r\n"+secret, false),
		"reset":           resetting,
		"refusal":         refusing,
		"not reached":     nil,
		"encoded":         raw("HTTP/1.1 200"+signed+"Content-Encoding: "+secret+"\r\nContent-Length: 0\r\n\r\n", false),
		"another's":       raw("HTTP/1.1 200 OK\r\n"+attemptID+": "+secret+"\r\nContent-Length: 0\r\n\r\n", false),
		"unsigned":        raw("HTTP/1.1 200 OK\r\nATTEMPTX: "+secret+"\r\nContent-Length: 0\r\n\r\n", false),
		"no route to run": raw("HTTP/1.1 503 "+secret+"\r\nATTEMPTContent-Length: 0\r\n\r\n", false),
	} {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/", "/prompt/"} {
			var upstreams []catalog.Upstream
			causes := make(chan string, 100)
			logs := log.HandlerFunc(func(e *log.Entry) error {
				if cause, ok := e.Fields["cause"]; ok && e.Message == "request" {
					causes <- fmt.Sprint(cause)
				}
				return nil
			})
			f := newFixtureWith(t, func(o *gateway.Options) { o.Log = &log.Logger{Handler: logs, Level: log.InfoLevel} })
			if handle == nil {
				upstreams = append(upstreams, catalog.Upstream{ID: "i-1", Service: "s", Address: gone.Addr().String(), State: catalog.StateReady})
			} else {
				upstreams = append(upstreams, newReplica(t, "i-1", handle).upstream())
			}
			f.gateway.SetCatalog(catalog.New(1, upstreams))
			response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, path, "{}"))
			if err != nil {
				continue // cut
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			must.GreaterEq(t, http.StatusBadGateway, response.StatusCode, must.Sprint(name, path))
			host, port, _ := net.SplitHostPort(upstreams[0].Address)
			text := string(body) + fmt.Sprint(response.Header)
			for _, quoted := range []string{secret, host, port, "i-1", "malformed", "EOF", "connection"} {
				must.False(t, strings.Contains(text, quoted), must.Sprintf("%s%s: %s", name, path, text))
			}
			must.Eq(t, "attempt-1", response.Header.Get(attemptID))
			if name == "no answer" && path == "/once/" {
				must.StrContains(t, <-causes, upstreams[0].Address)
			}
		}
	}
}
