package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

// A refusal must be copied, whole, in front of the next answer on its connection; otherwise the
// fault tests nothing.
func TestRefusalIsCopiedInFrontOfTheNextAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: replica.New(replica.Options{ID: "i", Slots: 0})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(copyingListener{l}) }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	var got []string
	for n := range 3 {
		_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", wire.HeaderAttempt, n)
		must.NoError(t, err)
		for range min(n, 1) + 1 { // from the second request on, a copy and the answer
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			got = append(got, response.Header.Get(wire.HeaderAttempt))
		}
	}
	must.Eq(t, []string{"0", "0", "1", "1", "2"}, got)
}
