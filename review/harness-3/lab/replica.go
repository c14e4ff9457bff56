package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReplicaOptions describe a replica.
type ReplicaOptions struct {
	ID      string
	Service string
	Version string
	Zone    string
	Pieces  int           // of a stream
	Gap     time.Duration // before each piece, and before a plain answer
	Ran     func(Run)     // called when a request begins to run; may be nil
}

// Replica is a stand-in for a replica of a service: streams for requests that name prompt parts,
// plain answers for all others.
type Replica struct {
	ReplicaOptions
	Address string

	record *Record
	server *http.Server
	born   int64

	mu       sync.Mutex
	cached   map[string]int // tokens of the parts in the cache
	sequence int
	draining bool
	store    *Store
	stop     chan struct{} // ends the heartbeats; nil if there are none
}

// Run is a request that a replica has run.
type Run struct {
	Attempt string
	Path    string
	At      time.Time
}

// NewReplica starts a replica on a free port. It is not registered.
func NewReplica(record *Record, options ReplicaOptions) (*Replica, error) {
	out := &Replica{ReplicaOptions: options}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out.record, out.Address, out.born, out.cached = record, l.Addr().String(), time.Now().UnixMilli(), make(map[string]int)
	out.server = &http.Server{Handler: out, ReadHeaderTimeout: time.Minute}
	go func() { _ = out.server.Serve(l) }()
	return out, nil
}

// Close ends the replica: connections break off.
func (r *Replica) Close() {
	r.mu.Lock()
	if r.stop != nil {
		close(r.stop)
		r.stop = nil
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

// Entry returns the entry of the replica as it writes it.
func (r *Replica) Entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": 64, "state": state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
}

// Register writes the entry, and again every 1.2 s.
func (r *Replica) Register(store *Store) {
	r.mu.Lock()
	r.store, r.stop = store, make(chan struct{})
	stop := r.stop
	r.mu.Unlock()
	store.Beat(r.ID, r.Entry())
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				store.Beat(r.ID, r.Entry())
			}
		}
	}()
}

// Drain reports that the replica is about to leave. It goes on serving.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.draining = true
	store := r.store
	r.mu.Unlock()
	store.Beat(r.ID, r.Entry())
}

// Leave removes the entry and ends the replica.
func (r *Replica) Leave() {
	r.mu.Lock()
	if r.stop != nil {
		close(r.stop)
		r.stop = nil
	}
	store := r.store
	r.mu.Unlock()
	store.Delete("servers", r.ID)
	r.Close()
}

// Crash ends the replica. The store removes its entry after a time.
func (r *Replica) Crash(lapse time.Duration) {
	r.Close()
	time.AfterFunc(lapse, func() { r.store.Delete("servers", r.ID) })
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case names["cacheList"]:
		r.listCache(w)
		return
	case "/healthz":
		w.Header().Set(names["replica"], r.ID)
		return
	}
	attempt := req.Header.Get(names["attempt"])
	w.Header().Set(names["attempt"], attempt)
	if expected := req.Header.Get(names["expected"]); expected != "" && expected != r.ID {
		w.Header().Set(names["replica"], r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	run := Run{Attempt: attempt, Path: req.URL.Path, At: time.Now()}
	r.record.Printf("run attempt=%s path=%s replica=%s service=%s version=%s last-event=%q", attempt, req.URL.Path, r.ID, r.Service, r.Version, req.Header.Get("Last-Event-Id"))
	if r.Ran != nil {
		r.Ran(run)
	}
	w.Header().Set(names["signature"], r.ID+"."+attempt)
	if prompt := req.Header.Get(names["prompt"]); prompt != "" && r.Pieces > 0 {
		r.cache(prompt)
		r.stream(w, req)
		return
	}
	time.Sleep(r.Gap)
	text := fmt.Sprintf("%s of %s for %s\n", r.Service, r.ID, attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// cache keeps the parts of a prompt, which has been read.
func (r *Replica) cache(prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(tokens)
		r.cached[id] = n
	}
}

func (r *Replica) listCache(w http.ResponseWriter) {
	held := [][]any{}
	r.mu.Lock()
	for id, tokens := range r.cached {
		held = append(held, []any{"", id, tokens, "m"})
	}
	r.mu.Unlock()
	data, err := json.Marshal(map[string]any{"epoch": 1, "next": 1, "held": held, "born": r.born})
	if err != nil {
		panic(err)
	}
	r.record.Printf("cache-list replica=%s version=%s parts=%d", r.ID, r.Version, len(held))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// stream writes the pieces after the last event that the request names. A piece tells the version
// that wrote it.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := last + 1; n <= r.Pieces; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.Gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d written by %s\n\n", n, n, r.Version)
		_ = controller.Flush()
	}
}
