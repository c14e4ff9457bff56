package lab

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Address string

	server *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizerList"`
	Deleting   bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

const (
	pageEntries = 500
	maxWait     = 30 * time.Second
)

// NewStore starts a store on a free port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["objects"]+"{kind}", s.listOrWatch)
	mux.HandleFunc("GET "+names["objects"]+"{kind}/{name}", s.get)
	mux.HandleFunc("POST "+names["objects"]+"{kind}", s.create)
	mux.HandleFunc("PUT "+names["objects"]+"{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE "+names["objects"]+"{kind}/{name}", s.remove)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Set creates or replaces an object, as a writer without a condition does.
func (s *Store) Set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// Beat writes an entry of a replica. The entry changes only when more than its sequence changes.
func (s *Store) Beat(name string, entry map[string]any) {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects["servers"][name]; known && withoutSequence(o.Spec) == withoutSequence(data) {
		return
	}
	s.put("servers", name, data)
}

// withoutSequence returns an entry without its sequence; the text itself if it is none.
func withoutSequence(spec json.RawMessage) string {
	var entry map[string]any
	if json.Unmarshal(spec, &entry) != nil {
		return string(spec)
	}
	delete(entry, "sequence")
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, known := s.objects[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.publish(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *Store) del(kind, name string) bool {
	o, known := s.objects[kind][name]
	if !known {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.publish(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
	return true
}

func (s *Store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("subscription") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	entries, at := []object{}, s.revision
	for name, o := range s.objects[kind] {
		if name > query.Get("after") {
			entries = append(entries, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(entries) > pageEntries
	answer(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), pageEntries)], "more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("subscription"), 10, 64)
	millis, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		http.Error(w, "bad watch", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(millis)*time.Millisecond))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if after > at {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, known := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !known {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func readObject(w http.ResponseWriter, r *http.Request) (o object, ok bool) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	known, exists := s.objects[kind][o.Metadata.Name]
	if !exists {
		known = s.put(kind, o.Metadata.Name, o.Spec)
	}
	s.mu.Unlock()
	if exists {
		answer(w, http.StatusConflict, known)
		return
	}
	answer(w, http.StatusCreated, known)
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	known, exists := s.objects[kind][name]
	conflict := exists && o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision
	if exists && !conflict {
		known = s.put(kind, name, o.Spec)
	}
	s.mu.Unlock()
	switch {
	case !exists:
		http.Error(w, "no such object", http.StatusNotFound)
	case conflict:
		answer(w, http.StatusConflict, known)
	default:
		answer(w, http.StatusOK, known)
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	known := s.del(r.PathValue("kind"), r.PathValue("name"))
	s.mu.Unlock()
	if !known {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
