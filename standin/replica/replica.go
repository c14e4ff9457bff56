// Package replica is a stand-in for a replica on the users' platform. It tells
// of every run, so that a test can check what the fleet promised about it.
package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrill.example/standin/wire"
)

// Options sets up a Replica.
type Options struct {
	ID    string
	Slots int           // requests at once; more are refused
	Step  time.Duration // between two events of a stream, and of a plain answer
}

// Run is one run of a request.
type Run struct {
	Attempt string
	At      time.Time
	Resumed bool // went on behind events that another run had made
}

// Replica implements http.Handler. Its methods may be called concurrently.
type Replica struct {
	opts Options

	mu      sync.Mutex
	running int
	runs    []Run
}

// New returns a replica.
func New(opts Options) *Replica { return &Replica{opts: opts} }

// Runs returns all runs so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Body returns the plain answer to an attempt.
func Body(attempt string) string {
	sum := sha256.Sum256([]byte(attempt))
	return hex.EncodeToString(sum[:])
}

// Events returns how many events the stream of an attempt has.
func Events(attempt string) int {
	sum := sha256.Sum256([]byte(attempt))
	return 3 + int(sum[0])%20
}

// Event returns one event of the stream of an attempt, from 1 on.
func Event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, Body(attempt)[:8], n)
}

// ServeHTTP runs a request: a path below /stream/ or /resume/ gets events, all
// others a plain answer.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get(wire.HeaderAttempt)
	w.Header().Set(wire.HeaderAttempt, attempt)
	w.Header().Set(wire.HeaderReplica, r.opts.ID)
	if expected := req.Header.Get(wire.HeaderExpected); expected != "" && expected != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	last, _ := strconv.Atoi(req.Header.Get(wire.HeaderLastEvent)) // none means 0
	if !r.begin(Run{Attempt: attempt, At: time.Now(), Resumed: last > 0}) {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	w.Header().Set(wire.HeaderSignature, r.opts.ID+"."+attempt)
	if len(req.URL.Path) > 8 && (req.URL.Path[:8] == "/stream/" || req.URL.Path[:8] == "/resume/") {
		r.stream(w, req, attempt, last)
		return
	}
	time.Sleep(r.opts.Step)
	_, _ = io.WriteString(w, Body(attempt)) // a caller that left is no matter here
}

func (r *Replica) begin(run Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.opts.Slots {
		return false
	}
	r.running++
	r.runs = append(r.runs, run)
	return true
}

func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, attempt string, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= Events(attempt); n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.opts.Step):
		}
		_, _ = io.WriteString(w, Event(attempt, n)) // the context tells of a caller that left
		_ = flusher.Flush()
	}
}
