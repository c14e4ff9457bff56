package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
)

// reply returns a handler that answers with a status, a content type and a body.
func reply(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against an error of the next engine, its text or its head in the middle of a stream
// that broke off, and against such a stream that ends as if it were complete.
func TestErrorsOfTheNextEngineStayOutOfABrokenStream(t *testing.T) {
	const text = `{"error":{"message":"boom"}}`
	for name, next := range map[string]http.HandlerFunc{
		"500":                          reply(500, "application/json", text),
		"500 in the form of a stream":  reply(500, "text/event-stream", "data: boom\n\ndata: [DONE]\n\n"),
		"503":                          reply(503, "application/json", text),
		"429":                          reply(429, "text/plain", "boom\n\n"),
		"404 with the end of a stream": reply(404, "text/plain", "boom\n\ndata: [DONE]\n\n"),
		"200 that is no stream":        reply(200, "application/json", text),
		"200 with the end of a stream": reply(200, "text/plain", "data: boom\n\ndata: [DONE]\n\n"),
		"empty stream":                 reply(200, "text/event-stream", ""),
		"bytes that end no event":      reply(200, "text/event-stream", "boom"),
		"redirect":                     reply(302, "text/html", "boom\n\n"),
		"no answer":                    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"head that is not HTTP": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "boom\r\n\r\ndata: boom\n\n")
				_ = conn.Close()
			}
		},
	} {
		for _, continued := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, continued %v", name, continued), func(t *testing.T) {
				t.Parallel()
				a, calls := breakStream(t, next, continued)
				must.Eq(t, http.StatusOK, a.Status)
				must.StrContains(t, a.Body, `"content":"a"`)
				must.StrNotContains(t, a.Body, "boom")
				must.StrNotContains(t, a.Body, "HTTP/1.1")
				must.Eq(t, continued, strings.HasSuffix(a.Body, "data: [DONE]\n\n"), must.Sprint(a.Body))
				must.Eq(t, continued, strings.Contains(a.Body, `"content":"rest"`))
				if !continued {
					must.Eq(t, 1, strings.Count(a.Body, "event: error\n"))
					must.StrContains(t, a.Body, `"outcome":"incomplete"`)
					must.StrNotContains(t, a.Body, "[DONE]")
				}
				must.Greater(t, 1, calls)
			})
		}
	}
}

// breakStream requests a stream that breaks off after an event and in the middle of the
// next. The next engine answers with next; the third continues the stream if continued is set.
func breakStream(t *testing.T, next http.HandlerFunc, continued bool) (fleettest.Answer, int64) {
	var calls atomic.Int64
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		call := calls.Add(1)
		switch {
		case call == 1:
			pieces(w, r, 0, textEvent("a"), "data: {\"choices\"")
			panic(http.ErrAbortHandler)
		case call > 2 && continued:
			pieces(w, r, 0, textEvent("rest"), "data: [DONE]\n\n")
		default:
			next(w, r)
		}
	})
	cfg := fleettest.Config(1)
	cfg.Services[0].Resumes = true
	var upstreams []*fleettest.Upstream
	for _, name := range []string{"e1", "e2", "e3"} {
		upstreams = append(upstreams, fleettest.StartUpstream(t, name, fleettest.ModelService, engine, cfg, nil))
	}
	r := fleettest.StartRouter(t, "r1", cfg, upstreams, nil, nil)
	a := r.Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
	return a, calls.Load()
}
