// Package replica is a stand-in for a replica on the users' platform. It records
// every run, so that a test can compare the runs with the outcomes that the fleet
// reported.
package replica

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/standin/wire"
)

// Options sets up a Replica.
type Options struct {
	ID            string
	Version       string        // written into its events; may be empty
	Slots         int           // requests that run at a time
	Queue         int           // requests that wait for a slot; more are refused
	EventInterval time.Duration // before each event of a stream, and before a plain answer
}

// Run is one execution of a request.
type Run struct {
	Attempt string
	At      time.Time
	Resumed bool // continued after events that an earlier run had sent
	Held    int  // requests that the replica ran or had waiting then, with this one
	// Customers are the customers that the request names, and BodyBytes is the size of its body.
	Customers []string
	BodyBytes int
}

// Arrival is a request that reached the replica, whether it ran or was refused.
type Arrival struct {
	Attempt string
	At      time.Time
	Leaving bool   // the answer says that the replica leaves
	Limit   string // the limit that the answer names; empty if none
	// Misdirected is true if the request was meant for another replica. It was not run.
	Misdirected bool
	Wait        time.Duration // the answer says that the replica wants no requests for so long; 0: it does not
}

// Replica implements http.Handler. Its methods may be called concurrently.
type Replica struct {
	opts Options

	mu          sync.Mutex
	running     int           // or waiting for a slot
	slots       chan struct{} // holds one element for each slot in use
	coldUntil   time.Time     // stated in all answers, unless it is zero
	full        bool
	leaving     bool
	limit       string    // named in all answers, if not empty
	refuseUntil time.Time // no requests are accepted until then
	trouble     Trouble
	crashPart   string     // prompt part under which the replica ends
	crashOn     *CrashedBy // request under which it ends; nil if there is none
	crash       func()     // ends it
	runs        []Run
	arrived     []Arrival
	cached      map[string]cachedPart // prompt parts by identifier
}

// cachedPart is a prompt part in the cache.
type cachedPart struct {
	tokens int
	model  string
}

// New returns a replica that has run nothing.
func New(opts Options) *Replica {
	return &Replica{opts: opts, cached: make(map[string]cachedPart), slots: make(chan struct{}, max(1, opts.Slots))}
}

// Runs returns all runs so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Arrivals returns all requests that reached the replica so far, in their order.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrived...)
}

// SetLeaving makes the replica say in all its answers whether it leaves.
func (r *Replica) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SetLimit makes the replica name the text as its limit in all its answers, in requests a
// second of all routers together; an empty text ends that. It does not enforce the limit.
func (r *Replica) SetLimit(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = text
}

// StateCold makes the replica say in all its answers until when it is cold.
func (r *Replica) StateCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// RefuseFor makes the replica turn all requests away for a time, and say in each answer
// how much of it is left.
func (r *Replica) RefuseFor(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseUntil = time.Now().Add(d)
}

// CrashOn makes the replica call crash when it begins to write an answer to a request whose
// prompt has the part, other than as its last one. crash is to end it with all its
// connections.
func (r *Replica) CrashOn(part string, crash func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashPart, r.crash = part, crash
}

// CrashedBy is a request that ends each replica which runs it.
type CrashedBy struct{ Customer, Path, Body string }

// CrashOnRequest makes the replica call crash when it begins to run the request. crash is to
// end it with all its connections.
func (r *Replica) CrashOnRequest(request CrashedBy, crash func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashOn, r.crash = &request, crash
}

// crashes calls crash if the request or its prompt is to crash the replica, and reports
// whether it did.
func (r *Replica) crashes(req *http.Request, body []byte) bool {
	r.mu.Lock()
	part, request, crash := r.crashPart, r.crashOn, r.crash
	r.mu.Unlock()
	if request != nil && *request == (CrashedBy{req.Header.Get(wire.HeaderTenant), req.URL.Path, string(body)}) {
		time.Sleep(r.opts.EventInterval)
		crash()
		return true
	}
	prompt := req.Header.Get(wire.HeaderPrompt)
	if part == "" || !strings.Contains(","+prompt, ","+part+":") || strings.HasPrefix(prompt[strings.LastIndex(prompt, ",")+1:], part+":") {
		return false
	}
	time.Sleep(r.opts.EventInterval)
	crash()
	return true
}

// SetFull makes the replica refuse new requests as if all its slots were taken.
func (r *Replica) SetFull(full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = full
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

// Event returns event n of the stream of an attempt, as a replica of the version writes
// it; the first is 1.
func Event(attempt, version string, n int) string {
	if version != "" {
		version = "@" + version
	}
	return fmt.Sprintf("id: %d\ndata: %s-%d%s\n\n", n, Body(attempt)[:8], n, version)
}

// ReadEvent returns the version of the replica that wrote event n of the stream of an
// attempt. ok is false if the text is not this event.
func ReadEvent(text, attempt string, n int) (version string, ok bool) {
	line := strings.TrimSuffix(text, "\n\n")
	if _, after, found := strings.Cut(line, "@"); found {
		version = after
	}
	return version, text == Event(attempt, version, n)
}

// slowFactor lengthens the interval between the events of streams whose path ends in
// /slow.
const slowFactor = 5

// ServeHTTP serves the cache list, and runs any other request: a path below
// /stream/ or /resume/ is answered with events, all others with a plain answer.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get(wire.HeaderAttempt)
	expected := req.Header.Get(wire.HeaderExpected)
	arrival := r.arrive(attempt, expected != "" && expected != r.opts.ID)
	r.stateCold(w.Header())
	if arrival.Leaving {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
	if arrival.Limit != "" {
		w.Header().Set(wire.HeaderLimit, arrival.Limit)
	}
	if req.URL.Path == wire.CacheListPath {
		r.listCache(w)
		return
	}
	w.Header().Set(wire.HeaderAttempt, attempt)
	w.Header().Set(wire.HeaderReplica, r.opts.ID)
	if arrival.Misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if arrival.Wait > 0 {
		wire.SetRetryAfter(w.Header(), arrival.Wait)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lastEvent, _ := strconv.Atoi(req.Header.Get(wire.HeaderLastEvent)) // a missing header means 0
	run := Run{Attempt: attempt, At: time.Now(), Resumed: lastEvent > 0, Customers: req.Header.Values(wire.HeaderTenant), BodyBytes: len(body)}
	if !r.begin(run) {
		w.Header().Set(wire.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.cachePrompt(req.Header.Get(wire.HeaderModel), req.Header.Get(wire.HeaderPrompt))
	if r.crashes(req, body) {
		panic(http.ErrAbortHandler) // the connection is closed already
	}
	w.Header().Set(wire.HeaderSignature, r.opts.ID+"."+attempt)
	isStream := strings.HasPrefix(req.URL.Path, "/stream/") || strings.HasPrefix(req.URL.Path, "/resume/")
	first := cmp.Or(req.Header.Get(wire.HeaderStream), req.Header.Get(wire.HeaderResumes), attempt)
	if kind := r.currentTrouble(); kind != TroubleNone {
		r.spoil(w, kind, isStream, first, lastEvent)
		return
	}
	if isStream {
		r.stream(w, req, first, lastEvent)
		return
	}
	time.Sleep(r.opts.EventInterval)
	_, _ = io.WriteString(w, Body(attempt)) // fails only if the caller disconnected, which needs no handling
}

// arrive returns what the answer to a request says of the replica, and records it unless
// the request is not of a caller's attempt.
func (r *Replica) arrive(attempt string, misdirected bool) Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	a := Arrival{Attempt: attempt, At: now, Leaving: r.leaving, Limit: r.limit, Misdirected: misdirected, Wait: max(0, r.refuseUntil.Sub(now))}
	if attempt != "" {
		r.arrived = append(r.arrived, a)
	}
	return a
}

func (r *Replica) begin(run Run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full || r.running >= r.opts.Slots+r.opts.Queue {
		return false
	}
	r.running++
	run.Held = r.running
	r.runs = append(r.runs, run)
	return true
}

func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// stateCold adds the header that states for how much longer the replica is cold.
func (r *Replica) stateCold(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.coldUntil.IsZero() {
		h.Set(wire.HeaderCold, strconv.FormatInt(max(0, time.Until(r.coldUntil).Milliseconds()), 10))
	}
}

// stream sends the events after lastEvent of the stream that the attempt began.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, attempt string, lastEvent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	interval := r.opts.EventInterval
	if strings.HasSuffix(req.URL.Path, "/slow") {
		interval *= slowFactor
	}
	for n := lastEvent + 1; n <= Events(attempt); n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(interval):
		}
		_, _ = io.WriteString(w, Event(attempt, r.opts.Version, n)) // a caller that disconnected ends the context
		_ = flusher.Flush()
	}
}

// cachePrompt adds the parts of a prompt, given as ID:TOKENS entries, to the
// cache.
func (r *Replica) cachePrompt(model, prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			r.cached[id] = cachedPart{tokens: n, model: model}
		}
	}
}

// listCache answers with the cached prompt parts.
func (r *Replica) listCache(w http.ResponseWriter) {
	parts := []any{}
	r.mu.Lock()
	for id, part := range r.cached {
		parts = append(parts, []any{"", id, part.tokens, part.model})
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": len(parts), "held": parts})
}
