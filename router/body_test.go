package router_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/linktest"
	"dandelionrill.example/fleet/router"
)

// newBodyRouter returns a router with memory for few bodies, and one plain service.
func newBodyRouter(t *testing.T, adjust func(*router.Options)) (r *fleettest.Router, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	cfg := fleettest.Config(1)
	upstream := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		calls.Add(1)
		_, _ = io.WriteString(w, "{}")
	})
	u := fleettest.StartUpstream(t, "s1", fleettest.PlainService, upstream, cfg, nil)
	r = fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{u}, nil, func(o *router.Options) {
		o.MaxBodyBytes, o.BodyMemoryBytes = 128<<10, 300<<10
		o.BodyTimeout = time.Hour
		adjust(o)
	})
	return r, calls
}

// sendUnfinished sends a call whose body stops after the given part.
func sendUnfinished(t *testing.T, r *fleettest.Router, framing, part string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(r.URL, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprintf(c, "POST /v1/services/share-ledger/x HTTP/1.1\r\nHost: r\r\n%s%s\r\n\r\n%s", customerKeyHeader, framing, part)
	must.NoError(t, err)
	return c
}

// await waits until condition holds.
func await(t *testing.T, condition func() bool) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
}

// Guards against a refusal of new bodies while unfinished ones hold the memory, and against
// an evicted request that runs, is not told so, or keeps its connection.
func TestUnfinishedBodyIsEvictedForANewOne(t *testing.T) {
	const size = 100 << 10
	part := strings.Repeat("x", size-1)
	for _, tc := range []struct{ name, framing, part string }{
		{"stated length", fmt.Sprintf("Content-Length: %d", size), part},
		{"one chunk", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", size) + part},
		{"chunks of one byte", "Transfer-Encoding: chunked", strings.Repeat("1\r\nx\r\n", size-1)},
	} {
		r, calls := newBodyRouter(t, func(*router.Options) {})
		c := sendUnfinished(t, r, tc.framing, tc.part)
		await(t, func() bool { return r.HeldBodyBytes() > size })
		whole := r.Do(t, "POST", "/v1/services/share-ledger/x", part, nil)
		must.Eq(t, http.StatusOK, whole.Status, must.Sprint(tc.name, whole.Body))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode, must.Sprint(tc.name))
		must.StrContains(t, string(body), `"code":"overload","outcome":"not-run"`)
		must.NotEq(t, "", answer.Header.Get("Retry-After"))
		must.True(t, answer.Close)
		_, err = c.Read(make([]byte, 1)) // although the rest of the body never arrives
		must.Error(t, err)
		must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
		must.Eq(t, 1, calls.Load())
	}
}

// Guards against memory that is not given back.
func TestMemoryOfBodiesIsReleased(t *testing.T) {
	r, calls := newBodyRouter(t, func(*router.Options) {})
	body := strings.Repeat("x", 128<<10)
	for range 5 {
		must.Eq(t, http.StatusOK, r.Do(t, "POST", "/v1/services/share-ledger/x", body, nil).Status)
		must.Eq(t, http.StatusRequestEntityTooLarge, r.Do(t, "POST", "/v1/services/share-ledger/x", body+"x", nil).Status)
		must.Eq(t, http.StatusBadRequest, r.Do(t, "POST", "/v1/chat/completions", body, nil).Status)
		must.Eq(t, http.StatusBadRequest, r.Do(t, "POST", "/v1/tickets", body, nil).Status)
	}
	must.Eq(t, 5, calls.Load())
	await(t, func() bool { return r.HeldBodyBytes() == 0 })
}

// Guards against callers that take all requests in progress with bodies that do not end.
func TestUnfinishedBodiesLeaveRequestsToOthers(t *testing.T) {
	r, calls := newBodyRouter(t, func(o *router.Options) { o.MaxRequests = 2 })
	unfinished := []net.Conn{
		sendUnfinished(t, r, "Content-Length: 2", "x"),
		sendUnfinished(t, r, "Transfer-Encoding: chunked", ""),
	}
	await(t, func() bool { return r.InProgress() == len(unfinished) })
	stranger := r.Do(t, "GET", "/v1/models", "", map[string]string{"Authorization": "Bearer none"})
	must.Eq(t, http.StatusUnauthorized, stranger.Status) // it ends no body
	await(t, func() bool { return r.InProgress() == len(unfinished) })
	whole := r.Do(t, "POST", "/v1/services/share-ledger/x", "x", nil)
	must.Eq(t, http.StatusOK, whole.Status, must.Sprint(whole.Body))
	// The one that was not ended is served; the other may be closed already.
	_, _ = io.WriteString(unfinished[0], "x")
	_, _ = io.WriteString(unfinished[1], "0\r\n\r\n")
	answers := map[int]int{}
	for _, c := range unfinished {
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		answers[answer.StatusCode]++
	}
	must.Eq(t, map[int]int{http.StatusServiceUnavailable: 1, http.StatusOK: 1}, answers)
	must.Eq(t, 2, calls.Load())
}

// Guards against a caller in the middle of a body that a planned stop cuts off without an
// answer, and one that is kept after its own deadline.
func TestUnfinishedBodyIsAnsweredAtTheDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		header string
		end    func(*fleettest.Router)
	}{
		"planned stop":      {"", func(r *fleettest.Router) { r.Stop() }},
		"caller's deadline": {router.HeaderTimeout + ": 0.1\r\n", func(*fleettest.Router) {}},
	} {
		r, calls := newBodyRouter(t, func(o *router.Options) {
			o.DrainDelay, o.DrainTimeout = time.Millisecond, 100*time.Millisecond
		})
		c := sendUnfinished(t, r, tc.header+"Content-Length: 2", "x")
		await(t, func() bool { return r.HeldBodyBytes() > 0 })
		tc.end(r)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err, must.Sprint(name))
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, http.StatusGatewayTimeout, answer.StatusCode, must.Sprint(name))
		must.StrContains(t, string(body), `"code":"deadline","outcome":"not-run"`)
		await(t, func() bool { return r.InProgress() == 0 })
		must.Eq(t, 0, calls.Load())
	}
}

// Guards against unfinished bodies of one HTTP/2 connection that are not ended: its streams
// have deadlines of their own.
func TestUnfinishedBodiesOfHTTP2AreEvicted(t *testing.T) {
	issued := linktest.NewAuthority(t).Issue(t, "router")
	r, calls := newBodyRouter(t, func(o *router.Options) {
		o.CertFile, o.KeyFile = issued.Certificate, issued.Key
	})
	transport := &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true,
	}
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	send := func(body io.Reader) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https"+strings.TrimPrefix(r.URL, "http")+"/v1/services/share-ledger/x", body)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+fleettest.CustomerKey)
		return transport.RoundTrip(req)
	}
	part := strings.Repeat("x", 100<<10)
	unfinished := make(chan *http.Response, 1)
	go func() {
		rest, end := io.Pipe()
		defer func() { _ = end.Close() }()
		answer, err := send(io.MultiReader(strings.NewReader(part), rest))
		test.NoError(t, err)
		unfinished <- answer
	}()
	await(t, func() bool { return r.HeldBodyBytes() > int64(len(part)) })
	whole, err := send(strings.NewReader(part))
	must.NoError(t, err)
	must.Eq(t, 2, whole.ProtoMajor)
	must.Eq(t, http.StatusOK, whole.StatusCode)
	answer := <-unfinished
	must.NotNil(t, answer)
	must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.NotEq(t, "", answer.Header.Get("Retry-After"))
	await(t, func() bool { return r.HeldBodyBytes() == 0 })
	must.Eq(t, 1, calls.Load())
}
