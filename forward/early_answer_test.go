package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Framings of the early answers. Each ends with what announces a body of earlyBody.
const earlyBody = "part of an answer"

var earlyHeads = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\n",
	"HTTP/1.0":  "HTTP/1.0 200 OK\r\nTest-Id: 1\r\n\r\n",
}

// uploadBytes is more than the buffers of a connection hold: the upload is in progress while
// the answer is read.
const uploadBytes = 32 << 20

// sendUpload sends an upload to an upstream that answers it early by answer, and returns the body
// of the answer, which is read once the writing of the upload has ended, or after delay.
func sendUpload(t *testing.T, delay time.Duration, answer func(c *net.TCPConn)) (string, error) {
	t.Helper()
	u := serve(t, func(_ *upstream, c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			answer(c.(*net.TCPConn))
		}
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := newPool().Send(ctx, u.listener.Addr().String(), r)
	must.NoError(t, err)
	defer response.Close(false)
	must.Eq(t, FramingClose, response.Framing)
	time.Sleep(delay)
	body, err := io.ReadAll(response)
	return string(body), err
}

// Guards against an early answer without a length that is taken for complete though its upstream
// has reset the connection: the error of the connection reaches the write of the upload, and the
// read sees the end of the connection only.
func TestEarlyAnswerThatIsResetIsIncomplete(t *testing.T) {
	for name, head := range earlyHeads {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
			for range 10 {
				body, err := sendUpload(t, delay, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, head+earlyBody)
					time.Sleep(10 * time.Millisecond) // the head has arrived
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				must.Error(t, err, must.Sprintf("%s, read after %v: %q", name, delay, body))
			}
		}
	}
}

// An early answer without a length that its upstream ends in order must come whole, whatever
// happens to the rest of the upload.
func TestEarlyAnswerThatEndsInOrderIsComplete(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reads the rest": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads no more":  func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) },
		"closes later":   func(c *net.TCPConn) { time.Sleep(10 * time.Millisecond); _ = c.Close() },
	}
	for name, head := range earlyHeads {
		for end, after := range ends {
			for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
				t.Run(fmt.Sprint(name, ", ", end, ", read after ", delay), func(t *testing.T) {
					t.Parallel()
					long := strings.Repeat(earlyBody, 1000)
					body, err := sendUpload(t, delay, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, head+long)
						_ = c.CloseWrite()
						after(c)
					})
					must.NoError(t, err)
					must.Eq(t, long, body)
				})
			}
		}
	}
}
