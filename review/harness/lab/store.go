// Package lab has stand-ins for the platform of the users, its replicas and its clients, and
// starts routers as processes. It follows PROTOCOL.md and DEPLOY.md.
package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	FinalizerList   []string `json:"finalizerList"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata
	Spec     []byte // JSON
}

// text returns the object as JSON. The spec goes in as it is: a decoder of the stand-in would
// limit what another writer may put there.
func (o *object) text() []byte {
	head, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err)
	}
	out := append([]byte(`{"metadata":`), head...)
	out = append(append(out, `,"spec":`...), o.Spec...)
	return append(out, `,"status":null}`...)
}

type event struct {
	kind    string
	at      uint64
	deleted bool
	object  object
}

// Store is a stand-in for the platform's store.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	away     bool
	era      uint64 // 0: the store reports no eras
	oldest   uint64 // changes up to this revision are gone
	copied   map[string]map[string]object
	copiedAt uint64
}

// SetEra makes the store report its era in all answers.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy takes the copy from which Return restores.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedAt = make(map[string]map[string]object), s.revision
	for kind, objects := range s.objects {
		s.copied[kind] = maps.Clone(objects)
	}
}

// Leave makes the store refuse all calls until Return.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// Return brings the store back from its copy, in a new era.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.history, s.oldest = s.copied, s.copiedAt, nil, s.copiedAt
	s.era++
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// NewStore starts a store on a free port of 127.0.0.1.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// Put writes an object and returns the revision that the store acknowledges.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data, nil)
}

func (s *Store) put(kind, name string, spec []byte, finalizers []string) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, known := s.objects[kind][name]
	if known && string(old.Spec) == string(spec) {
		return old.Metadata.Revision
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, FinalizerList: []string{}}, Spec: spec}
	if known {
		o.Metadata.Created = old.Metadata.Created
	}
	if finalizers != nil {
		o.Metadata.FinalizerList = finalizers
	}
	s.objects[kind][name] = o
	s.add(event{kind: kind, at: s.revision, object: o})
	return s.revision
}

// PutRaw writes an object whose spec is given as JSON.
func (s *Store) PutRaw(kind, name string, spec []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, spec, nil)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.add(event{kind: kind, at: s.revision, deleted: true, object: o})
}

func (s *Store) add(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, names["objects"])
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	away := s.away
	if s.era != 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	if away {
		send(w, http.StatusServiceUnavailable, []byte("{}"))
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("subscription"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, known := s.objects[kind][name]
		s.mu.Unlock()
		if !known {
			send(w, http.StatusNotFound, []byte("{}"))
			return
		}
		send(w, http.StatusOK, o.text())
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			entries = append(entries, o)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	more := len(entries) > 500
	if more {
		entries = entries[:500]
	}
	out := []byte(`{"entries":[`)
	for i := range entries {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, entries[i].text()...)
	}
	send(w, http.StatusOK, fmt.Appendf(out, `],"more":%v,"at":%d}`, more, s.revision))
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("subscription"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > after {
				events = append(events, e)
			}
		}
		at, changed, away, gone := s.revision, s.changed, s.away, after > s.revision || after < s.oldest
		s.mu.Unlock()
		if away || gone {
			status := http.StatusGone
			if away {
				status = http.StatusServiceUnavailable
			}
			send(w, status, []byte("{}"))
			return
		}
		if len(events) > 0 || over {
			out := []byte(`{"events":[`)
			for i := range events {
				if i > 0 {
					out = append(out, ',')
				}
				out = append(fmt.Appendf(out, `{"deleted":%v,"object":`, events[i].deleted), events[i].object.text()...)
				out = append(out, '}')
			}
			send(w, http.StatusOK, fmt.Appendf(out, `],"at":%d}`, at))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			send(w, http.StatusBadRequest, []byte("{}"))
			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.objects[kind][name]
	condition := o.Metadata.Revision
	if v, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		condition = v
	}
	switch {
	case r.Method == http.MethodPost && known, known && condition != 0 && condition != current.Metadata.Revision:
		send(w, http.StatusConflict, current.text())
		return
	case r.Method != http.MethodPost && !known:
		send(w, http.StatusNotFound, []byte("{}"))
		return
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		send(w, http.StatusOK, current.text())
		return
	}
	s.put(kind, name, o.Spec, o.Metadata.FinalizerList)
	current = s.objects[kind][name]
	send(w, http.StatusOK, current.text())
}

func send(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
