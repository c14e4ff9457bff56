package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/wire"
)

// body is a sink that collects an answer.
type body struct{ data []byte }

func (b *body) start(int, http.Header) {}

func (b *body) write(p []byte) bool {
	b.data = append(b.data, p...)
	return true
}

// An upstream writes a late copy of an answer where the next answer on the connection is
// expected. Its answers bear no identifier, so that the next caller would get the answer of
// another one.
func TestLateCopyOfAnAnswerReachesNobody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader, late := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			_, _ = io.WriteString(conn, late+text)
			late = text
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	u := newUpstream(&url.URL{Scheme: "http", Host: listener.Addr().String()})
	for _, path := range []string{"/first", "/second", "/third"} {
		got := &body{}
		complete, err := u.call(context.Background(), u.client, &wire.SubmitArgs{Method: http.MethodGet, Path: path, Idempotent: true}, got)
		must.NoError(t, err)
		must.True(t, complete)
		must.Eq(t, path, string(got.data))
	}
}
