package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
)

// routePrefixes are the path prefixes of the routes that every configuration version has.
var routePrefixes = []string{"/once/", "/safe/", "/stream/", "/resume/"}

// outcome is what a caller observed for one attempt.
type outcome struct {
	attempt  string
	route    string
	path     string        // of the request, below route
	deadline time.Duration // as sent with the request
	pause    time.Duration // in the middle of its body
	first    string        // attempt that began the stream; equal to attempt if this one did
	session  string        // last prompt part, if the stream is a turn of a session
	received int           // events of the stream over all attempts
	version  string        // of the events received
	crashing string        // prompt part or path that crashes upstreams; empty if it has none
	leaveAt  int           // number of events after which the caller leaves the stream; 0: never
	key      string        // API key; empty for that of the first customer
	router   int
	started  time.Time
	headAt   time.Time // when the head of the response arrived
	finished time.Time
	upstream string // that signed a success
	wait     string // Retry-After of the answer; empty if it has none
	reason   string // in the answer if it is not a success
	status   int    // 0 if no response arrived
	err      error  // connection or body read error
}

// errLeft is the outcome of a stream that its caller left.
var errLeft = errors.New("caller left")

// answered reports whether the caller received a complete response with any
// status.
func (o *outcome) answered() bool { return o.status != 0 && o.err == nil }

// caller sends requests one after another and reuses its connections.
type caller struct {
	soak   *Soak
	random *rand.Rand
	index  int
	client http.Client
	// takeUps is the number of attempts to take streams up so far.
	takeUps int
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
			first:    fmt.Sprintf("s%d-c%d-%d", c.soak.opts.Seed, c.index, n),
			route:    routePrefixes[c.random.IntN(len(routePrefixes))],
			router:   (c.index + c.random.IntN(2)) % len(c.soak.fleet.routers),
			path:     "x",
			deadline: callerTimeout,
		}
		o.attempt = o.first
		if n%2 == 0 && c.soak.slowStreams.Load() && isStream(o.route) {
			o.path, o.deadline = "slow", slowTimeout
		}
		if n%4 != 0 && c.soak.comeBack.Load() {
			o.route, o.path, o.deadline = "/resume/", "slow", slowTimeout
			if c.soak.sessions.Load() {
				o.session, o.path = fmt.Sprintf("s%d-session%d-%d", c.soak.opts.Seed, c.index, c.random.IntN(sessionsPerCaller)), o.first+"/slow"
			}
		}
		if n%3 == 0 && c.soak.slowBodies.Load() {
			o.pause, o.deadline = time.Duration(c.random.Int64N(int64(maxBodyPause))), slowTimeout
		}
		c.addCrashingWork(&o)
		c.leaveLater(&o)
		c.send(&o)
		c.soak.record(o)
		switch {
		case o.route != "/resume/" || o.received == 0 || o.err == nil:
		case c.soak.comeBack.Load():
			c.takeUpAfterRestart(&o)
		case c.soak.opts.Faults.has(FaultVersions):
			c.takeUp(&o)
		}
	}
}

// The deadlines that a caller sends with its requests. The HTTP client gives up one
// second later.
const (
	callerTimeout = 3 * time.Second
	slowTimeout   = 8 * time.Second // of slow streams
)

// maxBodyPause is the longest pause in a slow body: it lasts until a stop that began before it is
// over.
const maxBodyPause = shutdownTimeout

// isStream reports whether requests of the route are answered with events. They list the
// parts of their prompt in a header.
func isStream(route string) bool { return route == "/stream/" || route == "/resume/" }

func (c *caller) send(o *outcome) {
	o.started = time.Now()
	defer func() { o.finished = time.Now() }()
	response, err := c.request(o)
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	o.status, o.headAt = response.StatusCode, time.Now()
	if o.status != http.StatusOK {
		var reason []byte
		reason, o.err = io.ReadAll(response.Body)
		o.wait, o.reason = response.Header.Get("Retry-After"), strings.TrimSpace(string(reason))
		return
	}
	signature, signed := response.Header.Get(wire.HeaderSignature), false
	if o.upstream, signed = strings.CutSuffix(signature, "."+o.attempt); !signed {
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

// sessionsPerCaller is the number of sessions whose turns a caller begins one after another.
const sessionsPerCaller = 3

// documentCount is the number of distinct document prompt parts that the
// callers share.
const documentCount = 8

// requestBody is the body of all requests.
var requestBody = strings.Repeat("x", 2000)

func (c *caller) request(o *outcome) (*http.Response, error) {
	url := "http://" + c.soak.fleet.routers[o.router].callerAddress + o.route + o.path
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(requestBody))
	if err != nil {
		return nil, err
	}
	if o.pause > 0 {
		r.Body = io.NopCloser(&pausingBody{rest: requestBody, pause: o.pause})
		if c.random.IntN(2) == 0 {
			r.ContentLength = -1 // in chunks
		}
	}
	r.GetBody = nil // keeps net/http from retrying the request on its own
	r.Host = host
	wire.SetRequestHeaders(r.Header, o.attempt, cmp.Or(o.key, apiKey), o.deadline)
	if isStream(o.route) {
		document := int(o.first[len(o.first)-1]) % documentCount
		prompt := []string{"a0:300", fmt.Sprintf("d%d:4000", document), cmp.Or(o.session, o.first) + ":100"}
		if o.crashing != "" && o.path != o.crashing {
			prompt = slices.Insert(prompt, 1+document%2, o.crashing+":200")
		}
		wire.SetPrompt(r.Header, "m", prompt...)
	}
	switch {
	case o.session != "":
		r.Header.Set(wire.HeaderStream, o.first)
		if o.received > 0 {
			r.Header.Set(wire.HeaderLastEvent, fmt.Sprint(o.received))
		}
	case o.received > 0:
		wire.SetResume(r.Header, o.first, o.received)
	}
	client := http.Client{Transport: c.client.Transport, Timeout: o.deadline + time.Second}
	return client.Do(r)
}

// pausingBody is a body whose second half comes after a pause.
type pausingBody struct {
	rest  string
	pause time.Duration
}

// Read implements io.Reader.
func (b *pausingBody) Read(p []byte) (int, error) {
	half := len(requestBody) / 2
	if len(b.rest) > half {
		p = p[:min(len(p), len(b.rest)-half)]
	} else {
		time.Sleep(b.pause)
		b.pause = 0
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// readStream checks that the events belong to the stream, arrive in order and are of one
// version over all its attempts, and that a stream that ends without an error has all its
// events.
func (c *caller) readStream(o *outcome, body io.Reader) error {
	reader := bufio.NewReader(body)
	last := replica.Events(o.first)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && event == "" && o.received == last {
			return nil
		}
		if err == io.EOF {
			c.soak.addViolation("ORDER", o.attempt, "stream ended without an error after %d of %d events", o.received, last)
			return nil
		}
		if err != nil {
			return err
		}
		version, ok := replica.ReadEvent(event, o.first, o.received+1)
		if !ok || o.received == last {
			c.soak.addViolation("ORDER", o.attempt, "event %d is unexpected: %q", o.received+1, event)
			return nil
		}
		if o.received > 0 && version != o.version {
			c.soak.addViolation("ORDER", o.attempt, "event %d of stream %s is of version %s, those before it are of %s", o.received+1, o.first, version, o.version)
			return nil
		}
		o.received, o.version = o.received+1, version
		if o.received == o.leaveAt {
			return errLeft
		}
	}
}

// readEvent reads up to the empty line that ends an event.
func readEvent(reader *bufio.Reader) (string, error) {
	var event string
	for !strings.HasSuffix(event, "\n\n") {
		line, err := reader.ReadString('\n')
		event += line
		if err != nil {
			return event, err
		}
	}
	return event, nil
}
