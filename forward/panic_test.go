package forward

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// panickingConn panics when it is written to.
type panickingConn struct{ net.Conn }

func (panickingConn) Write([]byte) (int, error) { panic("write") }

// A long body is written by a goroutine of its own: its panic ended the process. The send
// must fail at once, since the upstream waits for the rest of the body.
func TestPanicWhileABodyIsWrittenEndsTheSend(t *testing.T) {
	u := serve(t, answerEach(nil))
	raw, err := net.Dial("tcp", u.listener.Addr().String())
	must.NoError(t, err)
	reported := make(chan string, 1)
	p := NewPool(Options{Panicked: func(r *Request, _ any) { reported <- r.ID }})
	c, r := newConn(raw), request("1")
	c.net, r.Body = panickingConn{raw}, make([]byte, concurrentBodyBytes)
	head, err := r.encodeHead()
	must.NoError(t, err)
	_, sent, err := p.exchange(context.Background(), u.listener.Addr().String(), c, r, head)
	must.Error(t, err)
	must.True(t, sent)
	must.Eq(t, "1", <-reported)
}

// A panic of the function that compares answers passes through Send, and the connection must
// not count as open for good.
func TestPanicInSendReleasesTheConnection(t *testing.T) {
	u := serve(t, answerEach(func(int64, *http.Request) string { return answer("1", "ok") }))
	p := NewPool(Options{Matches: func(*Request, *Response) bool { panic("header") }})
	func() {
		defer func() { must.NotNil(t, recover()) }()
		_, _ = p.Send(context.Background(), u.listener.Addr().String(), request("1"))
	}()
	must.MapEmpty(t, p.shard(u.listener.Addr().String()).conns)
}
