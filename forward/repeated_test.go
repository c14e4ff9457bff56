package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// copyingFirst is an upstream that answers the first request with text, and sends a copy of it
// on the same connection before the answer to the next request there. All other requests get
// their own answer.
func copyingFirst(t *testing.T, text string) *upstream {
	return serve(t, func(u *upstream, c net.Conn, reader *bufio.Reader) {
		late := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, late)
			if late = ""; u.requests.Add(1) == 1 {
				late = text
				_, _ = io.WriteString(c, text)
				continue
			}
			_, _ = io.WriteString(c, answer(r.Header.Get(idHeader), "own"))
		}
	})
}

func identified(id string) *Request {
	r := request(id)
	r.Method = http.MethodPost
	r.Header.Set(idHeader, id)
	return r
}

// Guards against a request that is sent to an upstream twice, and gets a late copy of the
// answer to the first send for that to the second one: its identifier is the same, so that
// only the connection tells the two apart. A refusal that is believed once more makes a request
// run twice, or be refused although it runs.
func TestRequestSentAgainGetsItsOwnAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"refused":              "HTTP/1.1 503 Service Unavailable\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"refused in chunks":    "HTTP/1.1 503 Service Unavailable\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"too many requests":    "HTTP/1.1 429 Too Many Requests\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"other upstream":       "HTTP/1.1 421 Misdirected Request\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"failed":               "HTTP/1.1 500 Internal Server Error\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\nold",
		"answered":             "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\nold",
		"answered with events": "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
	} {
		for _, between := range []int{0, 1} {
			t.Run(name+strings.Repeat(", another request between", between), func(t *testing.T) {
				u, p := copyingFirst(t, text), newPool()
				_, first := send(t, p, u, identified("1"))
				first.Close(true)
				for range between {
					body, other := send(t, p, u, identified("2"))
					must.Eq(t, "own", body)
					other.Close(true)
				}
				body, second := send(t, p, u, identified("1"))
				must.Eq(t, http.StatusOK, second.Status)
				must.Eq(t, "own", body)
				second.Close(true)
				must.Eq(t, 2, u.accepted.Load())
			})
		}
	}
}

// The connection that a request was sent on stays in use for others, and the one of the second
// send too: a request that is sent again must not cost a dial more than it needs.
func TestConnectionOfARepeatedRequestIsKept(t *testing.T) {
	u := serve(t, answerEach(func(_ int64, r *http.Request) string { return answer(r.Header.Get(idHeader), "ok") }))
	p := newPool()
	for _, id := range []string{"1", "1", "2", "2", "3"} {
		_, response := send(t, p, u, identified(id))
		response.Close(true)
	}
	must.Eq(t, 2, u.accepted.Load())
}

// At the limit of connections a request that is sent again must not be refused for the idle
// connections that it cannot use, and must not exceed the limit either.
func TestRepeatedRequestAtTheLimitOfConnections(t *testing.T) {
	u := serve(t, answerEach(func(_ int64, r *http.Request) string { return answer(r.Header.Get(idHeader), "ok") }))
	p := newPool()
	for range 3 {
		r := identified("1")
		r.MaxConnections = 1
		body, response := send(t, p, u, r)
		must.Eq(t, "ok", body)
		response.Close(true)
		must.Eq(t, 1, p.shard(u.listener.Addr().String()).forAddress(u.listener.Addr().String()).open)
	}
	must.Eq(t, 3, u.accepted.Load())
}

// A connection ends before it forgets a request that it has carried.
func TestConnectionEndsAtTheLimitOfRequests(t *testing.T) {
	u := serve(t, answerEach(func(_ int64, r *http.Request) string { return answer(r.Header.Get(idHeader), "ok") }))
	p := newPool()
	for n := range maxRequestsPerConn + 1 {
		_, response := send(t, p, u, identified(fmt.Sprint(n)))
		response.Close(true)
	}
	must.Eq(t, 2, u.accepted.Load())
}
