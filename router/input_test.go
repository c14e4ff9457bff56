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

// seen is an upstream that counts requests and header fields that a caller
// tried to inject.
type seen struct{ requests, injected atomic.Int64 }

func (s *seen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if r.Header.Get("Injected") != "" {
		s.injected.Add(1)
	}
	_, _ = io.WriteString(w, "{}")
}

// newLimited returns a router with tight limits before one plain service.
func newLimited(t *testing.T) (*fleettest.Router, *seen) {
	s, cfg := &seen{}, fleettest.Config(1)
	u := fleettest.StartUpstream(t, "s1", fleettest.PlainService, s, cfg, nil)
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{u}, nil, func(o *router.Options) {
		o.HeaderTimeout, o.BodyTimeout = 200*time.Millisecond, 200*time.Millisecond
		o.MaxHeaderBytes, o.MaxRequests = 8<<10, 2
	})
	return r, s
}

// send writes raw bytes on a connection of its own and returns the answer, nil
// if the router closed without one.
func send(t *testing.T, r *fleettest.Router, raw string) (*http.Response, net.Conn) {
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

const key = "Authorization: Bearer " + fleettest.CustomerKey + "\r\n"

func TestHostileBytesAreRefused(t *testing.T) {
	r, s := newLimited(t)
	chat := func(header string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n" + key + header +
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
		{"sound, but no engine", chat("Dandelionrill-Chat: c\r\n"), 503},
		{"two lengths", chat("Content-Length: 3\r\n"), 400},
		{"large header", chat("X: " + strings.Repeat("x", 16<<10) + "\r\n"), 431},
		{"line feed in the path", "POST /v1/services/share-ledger/a%0d%0aInjected:%201 HTTP/1.1\r\nHost: r\r\n" + key + "Content-Length: 0\r\n\r\n", 200},
		{"line feed in the ticket", "GET /v1/tickets/a%0d%0aInjected:%201 HTTP/1.1\r\nHost: r\r\n" + key + "\r\n", 404},
		{"line feed in the key", "GET /v1/models HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer a%0d%0ab\r\n\r\n", 401},
	} {
		answer, _ := send(t, r, tc.raw)
		must.NotNil(t, answer, must.Sprint(tc.name))
		must.Eq(t, tc.status, answer.StatusCode, must.Sprint(tc.name))
		must.Eq(t, "", answer.Header.Get("Injected"), must.Sprint(tc.name))
	}
	must.Eq(t, 0, s.injected.Load())
	must.Eq(t, 1, s.requests.Load())
}

func TestSlowCallersAreEnded(t *testing.T) {
	r, s := newLimited(t)
	answer, _ := send(t, r, "POST /v1/services/share-ledger/x HTTP/1.1\r\nHost: r\r\n"+key)
	must.Nil(t, answer) // the header never ends
	body := "POST /v1/services/share-ledger/x HTTP/1.1\r\nHost: r\r\n" + key + "Content-Length: 100\r\n\r\nx"
	answer, _ = send(t, r, body)
	must.Eq(t, http.StatusRequestTimeout, answer.StatusCode)
	answer, _ = send(t, r, strings.Replace(body, fleettest.CustomerKey, "none", 1))
	must.NotNil(t, answer) // though the router never reads this body
	must.Eq(t, http.StatusUnauthorized, answer.StatusCode)
	must.Eq(t, 0, s.requests.Load())
}

// A router that serves as many requests as it may refuses more at once, and
// serves again when they have ended.
func TestRequestsInProgressAreBounded(t *testing.T) {
	cfg, hold := fleettest.Config(1), make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	entered := make(chan struct{}, 4)
	upstream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-hold
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
