// Package platform is a stand-in for the platform's object store: objects by
// kind and name with revisions, conditional writes, lists and watches. The host
// list is one of its kinds. It keeps everything in memory, counts every call and
// can inject faults.
package platform

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// MaxValueBytes is the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Host is one row of the host list.
type Host struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	State         string `json:"state"`
}

// Outage says how calls fail.
type Outage string

// The outages. The zero value means none.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call gets 503
	OutageHang   Outage = "hang"   // every call hangs until the outage or the call ends
)

// Faults are the failures that the stand-in injects. The zero value means none.
type Faults struct {
	Outage         Outage  `json:"outage"`
	DelayMillis    int     `json:"delay_ms"`         // delay before each call is served
	LoseAnswers    int     `json:"lose_answers"`     // number of next updates that take effect but whose answer is dropped
	HostLagMillis  int     `json:"host_lag_ms"`      // delay until a new host list becomes visible
	CallsPerSecond float64 `json:"calls_per_second"` // 0 means no limit
}

// Counts are the calls received, by kind; a waiting watch counts as one call.
// Refused calls count both under their kind and as refused.
type Counts struct {
	Get     int `json:"get"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Watch   int `json:"watch"`
	List    int `json:"list"`
	Hosts   int `json:"hosts"`
	Refused int `json:"refused"`
}

// Reads returns the calls that change nothing.
func (c Counts) Reads() int { return c.Get + c.Watch + c.List + c.Hosts }

// Writes returns the calls that update an object.
func (c Counts) Writes() int { return c.Put + c.Delete }

// Options sets up a Server.
type Options struct {
	Hosts  []Host
	Faults Faults
}

// Kinds that the stand-in or its helper methods treat specially.
const (
	KindHosts  = "hosts"               // the host list, which may lag (HostLagMillis)
	KindValues = "dandelionrill-store" // the values that Put and Get access by key
)

// maxHistory is the number of changes kept for watches.
const maxHistory = 10_000

// Server is the stand-in. Its methods may be called concurrently.
type Server struct {
	mux *http.ServeMux

	mu                sync.Mutex
	objects           map[string]map[string]object // by kind and name
	revision          uint64
	era               uint64     // rises each time the store returns from a copy
	copied            *storeCopy // last taken by Copy
	history           []event
	compactedRevision uint64        // changes up to this revision are no longer in history
	changed           chan struct{} // closed and replaced whenever objects or faults change
	faults            Faults
	counts            Counts
	hosts             []Host // as last set
	previousHosts     []Host // visible until hostsVisibleAt
	hostsVisibleAt    time.Time
	rateTokens        float64 // calls left in the token bucket at rateRefilledAt
	rateRefilledAt    time.Time
}

var _ http.Handler = (*Server)(nil)

// New returns a Server with no objects.
func New(options Options) *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		objects: make(map[string]map[string]object),
		changed: make(chan struct{}),
		era:     1,
		faults:  options.Faults,
		hosts:   options.Hosts,
	}
	const kind = "/dandelionrill/objects/{kind}"
	s.mux.HandleFunc("GET "+kind, s.listOrWatch)
	s.mux.HandleFunc("POST "+kind, s.withFaults(countPut, s.create))
	s.mux.HandleFunc("GET "+kind+"/{name}", s.withFaults(countGet, s.get))
	s.mux.HandleFunc("PUT "+kind+"/{name}", s.withFaults(countPut, s.replace))
	s.mux.HandleFunc("PUT "+kind+"/{name}/status", s.withFaults(countPut, s.replaceStatus))
	s.mux.HandleFunc("DELETE "+kind+"/{name}", s.withFaults(countDelete, s.remove))
	control.HandleGet(s.mux, "/control/counts", s.Counts)
	control.HandleGet(s.mux, "/control/faults", s.Faults)
	control.HandlePut(s.mux, "/control/faults", s.SetFaults)
	control.HandlePut(s.mux, "/control/hosts", s.SetHosts)
	s.mux.HandleFunc("PUT /control/values/{key...}", s.setValue)
	s.mux.HandleFunc("PUT /control/copy", func(w http.ResponseWriter, _ *http.Request) {
		s.Copy()
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("PUT /control/restore", func(w http.ResponseWriter, _ *http.Request) {
		s.Restore()
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("PUT /control/history", func(w http.ResponseWriter, _ *http.Request) {
		s.CompactHistory()
		w.WriteHeader(http.StatusNoContent)
	})
	return s
}

// ServeHTTP serves the object API, the host list and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(&eraWriter{ResponseWriter: w, server: s, era: s.Era()}, r)
}

// Counts returns the calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults. Waiting calls see the change at once.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.broadcast()
}

// SetHosts replaces the host list. Clients see it after the current lag.
func (s *Server) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !now.Before(s.hostsVisibleAt) {
		s.previousHosts = s.hosts
	}
	s.hosts = hosts
	s.hostsVisibleAt = now.Add(time.Duration(s.faults.HostLagMillis) * time.Millisecond)
}

// CompactHistory discards the history, so that watches from a revision before
// the current one fail.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.broadcast()
}

// SetObject stores an object unconditionally, without counting a call, and
// returns the new revision.
func (s *Server) SetObject(kind, name string, spec []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	return s.storeObject(kind, o).Metadata.Revision
}

// RemoveObject removes an object without counting a call.
func (s *Server) RemoveObject(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.deleteObject(kind, o)
	}
}

// valueName returns the name of the object that stores the value of a key.
func valueName(key string) string { return strings.ReplaceAll(key, "/", ":") }

// Put stores value under key unconditionally, without counting a call, and
// returns the new revision.
func (s *Server) Put(key string, value []byte) uint64 {
	spec := strconv.Quote(base64.StdEncoding.EncodeToString(value))
	return s.SetObject(KindValues, valueName(key), []byte(spec))
}

// setValue stores the request body under a key, for scripts.
func (s *Server) setValue(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("key"), value)
	w.WriteHeader(http.StatusNoContent)
}

// Get returns the value and revision of key, without counting a call; revision 0
// means that there is no value.
func (s *Server) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[KindValues][valueName(key)]
	if !ok {
		return nil, 0
	}
	var value []byte
	if err := json.Unmarshal(o.Spec, &value); err != nil {
		return nil, 0 // not a value stored by Put or a client of the value store
	}
	return value, o.Metadata.Revision
}

// hostObjects returns the host list as clients see it. The caller holds mu.
func (s *Server) hostObjects() map[string]object {
	hosts := s.hosts
	if time.Now().Before(s.hostsVisibleAt) {
		hosts = s.previousHosts
	}
	objects := make(map[string]object, len(hosts))
	for _, h := range hosts {
		spec, err := json.Marshal(h)
		if err != nil {
			continue // a struct of strings always encodes
		}
		objects[h.Name] = object{Metadata: metadata{Name: h.Name, Revision: 1}, Spec: spec}
	}
	return objects
}

// storeObject stores o under a new revision, records the change and returns the
// stored object. The caller holds mu.
func (s *Server) storeObject(kind string, o object) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.recordEvent(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// deleteObject removes an object, or marks it as pending deletion while it has
// finalizers. The caller holds mu.
func (s *Server) deleteObject(kind string, o object) object {
	if len(o.Metadata.Finalizers) > 0 {
		o.Metadata.Deleting = true
		return s.storeObject(kind, o)
	}
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.recordEvent(event{kind: kind, revision: s.revision, Deleted: true, Object: o})
	return o
}

// recordEvent appends a change to the history and wakes all waiting calls. The
// caller holds mu.
func (s *Server) recordEvent(e event) {
	s.history = append(s.history, e)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactedRevision = s.history[excess-1].revision
		s.history = append([]event(nil), s.history[excess:]...)
	}
	s.broadcast()
}

// broadcast wakes all waiting calls. The caller holds mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
