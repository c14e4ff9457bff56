package forward

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// headParts set one part of the head of a request to a text.
var headParts = map[string]func(r *Request, text string){
	"method": func(r *Request, text string) { r.Method = text },
	"target": func(r *Request, text string) { r.Target = text },
	"host":   func(r *Request, text string) { r.Host = text },
	"name":   func(r *Request, text string) { r.Header[text] = []string{"1"} },
	"value":  func(r *Request, text string) { r.Header["X"] = []string{text} },
	"second": func(r *Request, text string) { r.Header["X"] = []string{"1", text} },
}

// Guards against a request whose head ends inside a field: the upstream runs it without the fields
// and the body behind a line break, and reads these as its next request. Nothing of it must be
// sent, and its outcome must say so.
func TestRequestThatCannotBeWrittenIsNotSent(t *testing.T) {
	u := serve(t, func(_ *upstream, c net.Conn, _ *bufio.Reader) { _, _ = c.Read(make([]byte, 1)) })
	p := newPool()
	for part, set := range headParts {
		for b := range 256 {
			if control := b < 32 || b == 127; !control || b == '\t' && (part == "value" || part == "second") {
				continue
			}
			c := string([]byte{byte(b)})
			for _, text := range []string{c, c + "xy", "x" + c + "y", "xy" + c, "xy\r\n" + c} {
				for _, body := range []int{0, 1, concurrentBodyBytes} {
					r := request("1")
					r.Body = make([]byte, body)
					set(r, text)
					_, err := p.Send(t.Context(), u.listener.Addr().String(), r)
					must.ErrorIs(t, err, ErrHead)
					must.Eq(t, NotSent, outcomeOf(t, err), must.Sprintf("%s %q", part, text))
				}
			}
		}
	}
	for _, r := range []*Request{
		{Method: "", Target: "/", Host: "h"}, {Method: "GET", Target: "", Host: "h"}, {Method: "GET", Target: "/a b", Host: "h"},
		{Method: "G T", Target: "/", Host: "h"}, {Method: "GET", Target: "/", Host: "h/x"},
		{Method: "GET", Target: "/", Header: http.Header{"X:Y": {"1"}}},
		{Method: "GET", Target: "/", Header: http.Header{"": {"1"}}},
		{Method: "GET", Target: "/", Header: http.Header{"Content-Length": {"0"}}},
		{Method: "GET", Target: "/", Header: http.Header{"transfer-encoding": {"chunked"}}},
		{Method: "GET", Target: "/", Header: http.Header{"Host": {"other"}}},
	} {
		_, err := p.Send(t.Context(), u.listener.Addr().String(), r)
		must.ErrorIs(t, err, ErrHead)
	}
	must.Eq(t, 0, u.accepted.Load())
}

// What a head may hold must arrive as it was given, and the connection must carry the next request.
func TestUnusualHeadsArriveAsGiven(t *testing.T) {
	received := make(chan *http.Request, 1)
	u := serve(t, answerEach(func(n int64, r *http.Request) string {
		received <- r
		return answer(itoa(int(n)), "ok")
	}))
	p := newPool()
	for i, value := range []string{"", "a\tb", "a b", "\xc3\xa9", "\x80\xff", `a;"b"`, strings.Repeat("x", 5000)} {
		r := request(itoa(i + 1))
		r.Header["X-!#$%&'*+.^_`|~"] = []string{value, "second"}
		r.Target = "/%00?" + "\xc3\xa9"
		response, err := p.Send(t.Context(), u.listener.Addr().String(), r)
		must.NoError(t, err)
		must.Eq(t, []string{value, "second"}, (<-received).Header["X-!#$%&'*+.^_`|~"])
		_, _ = response.Read(make([]byte, 10))
		response.Close(true)
	}
	must.Eq(t, 1, u.accepted.Load())
}

// The error names the part, and not its text, which may be as long as a caller likes.
func TestErrorNamesThePartOfTheHead(t *testing.T) {
	r := request("1")
	r.Header["X-Customer"] = []string{"a\nb"}
	_, err := newPool().Send(t.Context(), "127.0.0.1:1", r)
	must.StrContains(t, err.Error(), "value of field X-Customer")
	must.False(t, errors.Is(err, ErrDial))
}
