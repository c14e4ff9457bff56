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

// routePrefixes are the path prefixes of the routes that every configuration version has.
var routePrefixes = []string{"/once/", "/safe/", "/stream/", "/resume/"}

// outcome is what a caller observed for one attempt.
type outcome struct {
	attempt  string
	route    string
	path     string        // of the request, below route
	deadline time.Duration // as sent with the request
	router   int
	started  time.Time
	finished time.Time
	status   int   // 0 if no response arrived
	err      error // connection or body read error
}

// answered reports whether the caller received a complete response with any
// status.
func (o *outcome) answered() bool { return o.status != 0 && o.err == nil }

// caller sends requests one after another and reuses its connections.
type caller struct {
	soak   *Soak
	random *rand.Rand
	index  int
	client http.Client
}

// run sends requests to randomly chosen routes until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	c.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		o := outcome{
			attempt:  fmt.Sprintf("s%d-c%d-%d", c.soak.opts.Seed, c.index, n),
			route:    routePrefixes[c.random.IntN(len(routePrefixes))],
			router:   (c.index + c.random.IntN(2)) % len(c.soak.fleet.routers),
			path:     "x",
			deadline: callerTimeout,
		}
		if n%2 == 0 && c.soak.slowStreams.Load() && isStream(o.route) {
			o.path, o.deadline = "slow", slowTimeout
		}
		c.send(&o)
		c.soak.record(o)
	}
}

// The deadlines that a caller sends with its requests. The HTTP client gives up one
// second later.
const (
	callerTimeout = 3 * time.Second
	slowTimeout   = 8 * time.Second // of slow streams
)

func isStream(route string) bool { return route == "/stream/" || route == "/resume/" }

func (c *caller) send(o *outcome) {
	o.started = time.Now()
	defer func() { o.finished = time.Now() }()
	response, err := c.request(o.router, o.route+o.path, o.attempt, o.deadline)
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
		c.soak.addViolation("MIXED", o.attempt, "status 200 with an unexpected signature: %q", signature)
	}
	if isStream(o.route) {
		o.err = c.readStream(o, response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	o.err = err
	if err == nil && string(body) != replica.Body(o.attempt) {
		c.soak.addViolation("MIXED", o.attempt, "status 200 with an unexpected body: %q", body)
	}
}

// documentCount is the number of distinct document prompt parts that the
// callers share.
const documentCount = 8

// declaresPrompt reports whether requests to the path list the parts of their
// prompt in a header.
func declaresPrompt(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/")
}

func (c *caller) request(router int, path, attempt string, deadline time.Duration) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.soak.fleet.routers[router].callerAddress+path, strings.NewReader(strings.Repeat("x", 2000)))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // keeps net/http from retrying the request on its own
	r.Host = host
	wire.SetRequestHeaders(r.Header, attempt, apiKey, deadline)
	if declaresPrompt(path) {
		document := int(attempt[len(attempt)-1]) % documentCount
		wire.SetPrompt(r.Header, "m", "a0:300", fmt.Sprintf("d%d:4000", document), attempt+":100")
	}
	client := http.Client{Transport: c.client.Transport, Timeout: deadline + time.Second}
	return client.Do(r)
}

// readStream checks that the events belong to the attempt and arrive in order,
// and that a stream that ends without an error has all its events.
func (c *caller) readStream(o *outcome, body io.Reader) error {
	reader := bufio.NewReader(body)
	for n := 1; ; n++ {
		want := replica.Event(o.attempt, n)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(reader, got); err != nil {
			if err == io.EOF && n <= replica.Events(o.attempt) {
				c.soak.addViolation("ORDER", o.attempt, "stream ended without an error after %d of %d events", n-1, replica.Events(o.attempt))
			}
			if err == io.EOF {
				return nil
			}
			return err
		}
		if n > replica.Events(o.attempt) || string(got) != want {
			c.soak.addViolation("ORDER", o.attempt, "event %d is unexpected: %q", n, got)
			return nil
		}
	}
}
