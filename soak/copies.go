package soak

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
)

// copiedShare is the share of the answers of an upstream that it writes a second time.
const copiedShare = 0.1

// copyingListener is that of an upstream which writes some answers a second time, late: on the
// same connection, in front of the next answer. Answers that are refusals are copied always.
type copyingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: c}, nil
}

// copyingConn is a connection of a copyingListener. One goroutine writes to it.
type copyingConn struct {
	net.Conn
	late []byte // answer to be written again in front of the next one
}

// Write implements net.Conn. It takes the answers that are written as a whole for those that can
// be copied; the others are the long ones.
func (c *copyingConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	if late := c.late; late != nil {
		c.late = nil
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
	}
	if status, whole := readWholeAnswer(p); whole && (meansNotRun(status) || rand.Float64() < copiedShare) {
		c.late = slices.Clone(p)
	}
	return c.Conn.Write(p)
}

// readWholeAnswer returns the status of an answer, and whether the text is just this answer.
func readWholeAnswer(text []byte) (status int, whole bool) {
	reader := bufio.NewReader(bytes.NewReader(text))
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return 0, false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false
	}
	return response.StatusCode, reader.Buffered() == 0
}
