// Package platform is a stand-in for the platform's object API and host list.
// It keeps everything in memory, counts every call and can be told to fail.
package platform

import (
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// MaxValueBytes is the largest value that the object API holds.
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

// Outage tells how calls fail.
type Outage string

// The outages. The zero value means none.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call gets 503
	OutageHang   Outage = "hang"   // every call hangs until the outage or the call ends
)

// Faults are the failures that the stand-in shows. The zero value means none.
type Faults struct {
	Outage         Outage  `json:"outage"`
	DelayMillis    int     `json:"delay_ms"`         // before each call
	LoseAnswers    int     `json:"lose_answers"`     // next updates that take effect while their answer is lost
	HostLagMillis  int     `json:"host_lag_ms"`      // until a new host list is shown
	CallsPerSecond float64 `json:"calls_per_second"` // 0 means no limit
}

// Counts are the calls received, by kind; a waiting watch is one call. Refused
// calls are counted under their kind and as refused.
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

type object struct {
	version uint64
	value   []byte
}

// Server is the stand-in. Its methods may be called concurrently.
type Server struct {
	mux *http.ServeMux

	mu        sync.Mutex
	objects   map[string]object
	version   uint64
	changed   chan struct{} // closed and replaced at each change of objects or faults
	faults    Faults
	counts    Counts
	hosts     []Host // as set
	shown     []Host // as shown until showAt
	showAt    time.Time
	allowed   float64 // calls left at allowedAt under the rate
	allowedAt time.Time
}

var _ http.Handler = (*Server)(nil)

// New returns a Server with no objects.
func New(options Options) *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		objects: make(map[string]object),
		changed: make(chan struct{}),
		faults:  options.Faults,
		hosts:   options.Hosts,
	}
	s.mux.HandleFunc("GET /objects", s.call(countList, s.list))
	s.mux.HandleFunc("GET /objects/{key...}", s.getOrWatch)
	s.mux.HandleFunc("PUT /objects/{key...}", s.call(countPut, s.put))
	s.mux.HandleFunc("DELETE /objects/{key...}", s.call(countDelete, s.delete))
	s.mux.HandleFunc("GET /hosts", s.call(countHosts, s.listHosts))
	control.Get(s.mux, "/control/counts", s.Counts)
	control.Get(s.mux, "/control/faults", s.Faults)
	control.Put(s.mux, "/control/faults", s.SetFaults)
	control.Put(s.mux, "/control/hosts", s.SetHosts)
	return s
}

// ServeHTTP serves the object API, the host list and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Counts returns the calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force. Waiting calls see the change at once.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.broadcast()
}

// SetHosts replaces the host list, shown after the lag in force.
func (s *Server) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !now.Before(s.showAt) {
		s.shown = s.hosts
	}
	s.hosts = hosts
	s.showAt = now.Add(time.Duration(s.faults.HostLagMillis) * time.Millisecond)
}

// Put stores value whatever the object's version, without counting a call, and
// returns the new version.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store(key, value)
}

// Get returns the object's value and version, without counting a call; version
// 0 means that there is none.
func (s *Server) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	return o.value, o.version
}

// store updates an object. The caller holds mu.
func (s *Server) store(key string, value []byte) uint64 {
	s.version++
	s.objects[key] = object{version: s.version, value: value}
	s.broadcast()
	return s.version
}

// broadcast wakes all waiting calls. The caller holds mu.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
