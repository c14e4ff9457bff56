package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
)

// kinds are the paths of the constant routes.
var kinds = []string{"/once/", "/safe/", "/stream/", "/resume/"}

// outcome is what a caller saw of one attempt.
type outcome struct {
	attempt string
	kind    string
	router  int
	begun   time.Time
	ended   time.Time
	status  int   // 0 if no answer came
	err     error // of the connection
}

// answered tells whether the caller got a final answer, whatever it says.
func (o *outcome) answered() bool { return o.status != 0 && o.err == nil }

// caller sends requests over connections that it keeps.
type caller struct {
	soak   *Soak
	random *rand.Rand
	number int
	client http.Client
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	c.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	c.client.Timeout = callerDeadline + time.Second
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		o := outcome{
			attempt: fmt.Sprintf("s%d-c%d-%d", c.soak.opts.Seed, c.number, n),
			kind:    kinds[c.random.IntN(len(kinds))],
			router:  (c.number + c.random.IntN(2)) % len(c.soak.fleet.routers),
		}
		c.send(&o)
		c.soak.record(o)
	}
}

// callerDeadline is how long a caller waits for an answer.
const callerDeadline = 3 * time.Second

func (c *caller) send(o *outcome) {
	o.begun = time.Now()
	defer func() { o.ended = time.Now() }()
	response, err := c.request(o.router, o.kind+"x", o.attempt)
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	if o.status != http.StatusOK {
		_, o.err = io.Copy(io.Discard, response.Body)
		return
	}
	if signature := response.Header.Get(wire.HeaderSignature); !strings.HasSuffix(signature, "."+o.attempt) {
		c.soak.violation("MIXED", o.attempt, "success with the signature %q", signature)
	}
	if o.kind == "/stream/" || o.kind == "/resume/" {
		o.err = c.readStream(o, response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	o.err = err
	if err == nil && string(body) != replica.Body(o.attempt) {
		c.soak.violation("MIXED", o.attempt, "body %q", body)
	}
}

// documents is the number of prompt parts that the callers share.
const documents = 8

// prompted tells whether requests to the path name the parts of their prompt.
func prompted(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/")
}

func (c *caller) request(router int, path, attempt string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.soak.fleet.routers[router].callers+path, strings.NewReader(strings.Repeat("x", 2000)))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // keeps net/http from sending it again by itself
	r.Host = host
	wire.SetCaller(r.Header, attempt, apiKey, callerDeadline)
	if prompted(path) {
		document := int(attempt[len(attempt)-1]) % documents
		wire.SetPrompt(r.Header, "m", "a0:300", fmt.Sprintf("d%d:4000", document), attempt+":100")
	}
	return c.client.Do(r)
}

// readStream checks that the events are those of the attempt, in order, and
// that a stream which ends as complete is.
func (c *caller) readStream(o *outcome, body io.Reader) error {
	reader := bufio.NewReader(body)
	for n := 1; ; n++ {
		want := replica.Event(o.attempt, n)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(reader, got); err != nil {
			if err == io.EOF && n <= replica.Events(o.attempt) {
				c.soak.violation("ORDER", o.attempt, "stream ends as complete after %d of %d events", n-1, replica.Events(o.attempt))
			}
			if err == io.EOF {
				return nil
			}
			return err
		}
		if n > replica.Events(o.attempt) || string(got) != want {
			c.soak.violation("ORDER", o.attempt, "event %d is %q", n, got)
			return nil
		}
	}
}
