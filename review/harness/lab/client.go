package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is one connection of a client to a router, kept for many requests.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to a router within the second that clients allow.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Request is a request of a client.
type Request struct {
	Method, Path, Host, Attempt, Key string
	Deadline                         time.Duration
	Header                           map[string]string
	Body                             []byte
}

// Head returns the head of a request. length is the value of Content-Length; negative for a
// body in chunks.
func (r *Request) Head(length int) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		r.Method, r.Path, r.Host, HeaderAttempt, r.Attempt, HeaderDeadline, r.Deadline.Milliseconds(), r.Key)
	for name, value := range r.Header {
		head += name + ": " + value + "\r\n"
	}
	switch {
	case length < 0:
		head += "Transfer-Encoding: chunked\r\n"
	case length > 0 || r.Method == http.MethodPost:
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return head + "\r\n"
}

// Answer is the answer to a request.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Err      error // the answer is not complete, or there is none
	Head     bool  // the head of an answer has arrived
	Duration time.Duration
}

// Do sends a request and reads its answer.
func (c *Client) Do(r *Request) Answer {
	start := time.Now()
	_ = c.Conn.SetDeadline(start.Add(r.Deadline + time.Second))
	if _, err := c.Conn.Write(append([]byte(r.Head(len(r.Body))), r.Body...)); err != nil {
		return Answer{Err: err, Duration: time.Since(start)}
	}
	a := c.Read(r.Method)
	a.Duration = time.Since(start)
	return a
}

// Read reads an answer.
func (c *Client) Read(method string) Answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Head: true}
	a.Body, a.Err = io.ReadAll(resp.Body)
	return a
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }
