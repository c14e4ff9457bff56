package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
)

// injectionCounter is an upstream that counts requests, and among them those
// with a header field that the caller tried to inject.
type injectionCounter struct{ requests, injected atomic.Int64 }

func (s *injectionCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if r.Header.Get("Injected") != "" {
		s.injected.Add(1)
	}
	_, _ = io.WriteString(w, "{}")
}

// newLimitedRouter returns a router with tight limits and one plain service.
func newLimitedRouter(t *testing.T) (*fleettest.Router, *injectionCounter) {
	s, cfg := &injectionCounter{}, fleettest.Config(1)
	u := fleettest.StartUpstream(t, "s1", fleettest.PlainService, s, cfg, nil)
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{u}, nil, func(o *router.Options) {
		o.HeaderTimeout, o.BodyTimeout = 200*time.Millisecond, 200*time.Millisecond
		o.MaxHeaderBytes, o.MaxRequests = 8<<10, 2
	})
	return r, s
}

// sendRaw writes raw bytes on a new connection and returns the response, or
// nil if the router closed the connection without one.
func sendRaw(t *testing.T, r *fleettest.Router, raw string) (*http.Response, net.Conn) {
	u, err := url.Parse(r.URL)
	must.NoError(t, err)
	c, err := net.Dial("tcp", u.Host)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, raw)
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, c
	}
	return answer, c
}

const customerKeyHeader = "Authorization: Bearer " + fleettest.CustomerKey + "\r\n"

func TestMalformedRequestsAreRejected(t *testing.T) {
	r, s := newLimitedRouter(t)
	chat := func(header string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n" + customerKeyHeader + header +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chatBody("false")), chatBody("false"))
	}
	for _, tc := range []struct {
		name, raw string
		status    int
	}{
		{"not HTTP", "\x16\x03\x01\x00\x00\r\n\r\n", 400},
		{"control character in the chat", chat("Dandelionrill-Chat: a\x01b\r\n"), 400},
		{"bare carriage return in the chat", chat("Dandelionrill-Chat: a\rInjected: 1\r\n"), 400},
		{"bytes above ASCII in the chat", chat("Dandelionrill-Chat: \xff\xfe\r\n"), 400},
		{"long chat", chat("Dandelionrill-Chat: " + strings.Repeat("c", 257) + "\r\n"), 400},
		{"carriage return in the event", chat("Last-Event-ID: a.1\rInjected: 1\r\n"), 400},
		{"negative offset", chat("Last-Event-ID: a.-1\r\n"), 400},
		{"event without offset", chat("Last-Event-ID: a\r\n"), 400},
		{"valid, but no engine", chat("Dandelionrill-Chat: c\r\n"), 503},
		{"two lengths", chat("Content-Length: 3\r\n"), 400},
		{"large header", chat("X: " + strings.Repeat("x", 16<<10) + "\r\n"), 431},
		{"line feed in the path", "POST /v1/services/share-ledger/a%0d%0aInjected:%201 HTTP/1.1\r\nHost: r\r\n" + customerKeyHeader + "Content-Length: 0\r\n\r\n", 200},
		{"line feed in the ticket", "GET /v1/tickets/a%0d%0aInjected:%201 HTTP/1.1\r\nHost: r\r\n" + customerKeyHeader + "\r\n", 404},
		{"line feed in the key", "GET /v1/models HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer a%0d%0ab\r\n\r\n", 401},
	} {
		answer, _ := sendRaw(t, r, tc.raw)
		must.NotNil(t, answer, must.Sprint(tc.name))
		must.Eq(t, tc.status, answer.StatusCode, must.Sprint(tc.name))
		must.Eq(t, "", answer.Header.Get("Injected"), must.Sprint(tc.name))
	}
	must.Eq(t, 0, s.injected.Load())
	must.Eq(t, 1, s.requests.Load())
}

func TestSlowCallersTimeOut(t *testing.T) {
	r, s := newLimitedRouter(t)
	answer, _ := sendRaw(t, r, "POST /v1/services/share-ledger/x HTTP/1.1\r\nHost: r\r\n"+customerKeyHeader)
	must.Nil(t, answer) // the header is never completed
	body := "POST /v1/services/share-ledger/x HTTP/1.1\r\nHost: r\r\n" + customerKeyHeader + "Content-Length: 100\r\n\r\nx"
	answer, _ = sendRaw(t, r, body)
	must.Eq(t, http.StatusRequestTimeout, answer.StatusCode)
	answer, _ = sendRaw(t, r, strings.Replace(body, fleettest.CustomerKey, "none", 1))
	must.NotNil(t, answer) // although the router does not read this body
	must.Eq(t, http.StatusUnauthorized, answer.StatusCode)
	must.Eq(t, 0, s.requests.Load())
}

// TestRequestsInProgressAreBounded checks that a router with the maximum
// number of requests in progress rejects further ones, and accepts requests
// again once those have ended.
func TestRequestsInProgressAreBounded(t *testing.T) {
	cfg, unblock := fleettest.Config(1), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	entered := make(chan struct{}, 4)
	upstream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-unblock
		fmt.Fprint(w, "{}")
	})
	u := fleettest.StartUpstream(t, "s1", fleettest.PlainService, upstream, cfg, nil)
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{u}, nil, func(o *router.Options) { o.MaxRequests = 1 })
	first := make(chan fleettest.Answer, 1)
	go func() {
		a, _ := r.Try("POST", "/v1/services/share-ledger/x", "{}", nil)
		first <- a
	}()
	<-entered
	must.Eq(t, 1, r.InProgress())
	refused := r.Do(t, "GET", "/v1/models", "", nil)
	must.Eq(t, http.StatusServiceUnavailable, refused.Status)
	must.StrContains(t, refused.Body, `"outcome":"not-run"`)
	must.NotEq(t, "", refused.Header.Get("Retry-After"))
	release()
	must.Eq(t, http.StatusOK, (<-first).Status)
	must.Eq(t, http.StatusOK, r.Do(t, "GET", "/v1/models", "", nil).Status)
}
