package lab

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	Router    string // address
	Attempt   string
	Method    string
	Host      string
	Path      string
	Key       string
	Deadline  time.Duration
	Prompt    string // prompt parts; empty for a plain request
	LastEvent int
	Body      string
}

// Answer is the answer to a request.
type Answer struct {
	Status  int // 0 if there was none
	Signed  bool
	Body    string
	Err     error // the answer is not whole
	Pieces  []Piece
	Ended   bool // the stream ended as complete
	TookMs  int64
	Replica string // signature
}

// Piece is a whole event of a stream.
type Piece struct {
	ID   int
	Text string
}

// Caller sends requests on connections of its own.
type Caller struct{ client *http.Client }

// NewCaller returns a caller.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Do sends the request and reads the whole answer. piece is called for each piece that arrives;
// it may be nil.
func (c *Caller) Do(ctx context.Context, r Request, piece func(Piece)) (a Answer) {
	started := time.Now()
	defer func() { a.TookMs = time.Since(started).Milliseconds() }()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Router+r.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = r.Host
	req.Header.Set(names["attempt"], r.Attempt)
	req.Header.Set(names["deadline"], strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+r.Key)
	if r.Prompt != "" {
		req.Header.Set(names["model"], "m")
		req.Header.Set(names["tokens"], "1100,80")
		req.Header.Set(names["prompt"], r.Prompt)
	}
	if r.LastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(r.LastEvent))
	}
	response, err := c.client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	a.Status, a.Replica = response.StatusCode, response.Header.Get(names["signature"])
	a.Signed = a.Replica != ""
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(response.Body)
		a.Body, a.Err = string(data), err
		return a
	}
	lines := bufio.NewReader(response.Body)
	for current := (Piece{}); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			if a.Ended = err == io.EOF; !a.Ended {
				a.Err = err
			}
			return a
		}
		switch line = strings.TrimSuffix(line, "\n"); {
		case line == "":
			a.Pieces = append(a.Pieces, current)
			if piece != nil {
				piece(current)
			}
			current = Piece{}
		case strings.HasPrefix(line, "id: "):
			current.ID, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			current.Text = line[len("data: "):]
		}
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
