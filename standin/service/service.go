// Package service is a stand-in for a plain service. It counts how often each
// operation ran and can be told to fail.
package service

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// endlessPiece is what an endless answer repeats.
var endlessPiece = bytes.Repeat([]byte("0123456789abcdef"), 1<<10)

// Mode tells how a call fails.
type Mode string

// The modes of failure. In all of them the operation runs first.
const (
	ModeNone       Mode = ""
	ModeLoseAnswer Mode = "lose-answer" // the connection is cut without an answer
	ModeHang       Mode = "hang"        // no answer until the caller leaves
	ModeGarbage    Mode = "garbage"     // bytes that are no HTTP response
	ModeEndless    Mode = "endless"     // a body without end
)

// Faults are the failures that the stand-in shows. The zero value means none.
type Faults struct {
	Mode        Mode `json:"mode"`
	Calls       int  `json:"calls"`    // next calls that fail; 0 means all
	DelayMillis int  `json:"delay_ms"` // between the run and its answer
}

// Options sets up a Server.
type Options struct {
	Name   string // shown in each answer
	Faults Faults
}

// Answer is the JSON body of a successful call.
type Answer struct {
	Replica   string `json:"replica"`
	Operation string `json:"operation"`
	Run       int    `json:"run"` // how often the operation has run here
	Method    string `json:"method"`
	Path      string `json:"path"`
}

// Server is the stand-in. Its methods may be called concurrently.
type Server struct {
	name string
	mux  *http.ServeMux

	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

var _ http.Handler = (*Server)(nil)

// New returns a Server that has run nothing.
func New(options Options) *Server {
	s := &Server{
		name:   options.Name,
		mux:    http.NewServeMux(),
		runs:   make(map[string]int),
		faults: options.Faults,
	}
	s.mux.HandleFunc("/", s.serve)
	control.Get(s.mux, "/control/runs", s.Runs)
	control.Get(s.mux, "/control/faults", s.Faults)
	control.Put(s.mux, "/control/faults", s.SetFaults)
	return s
}

// ServeHTTP serves any method and path as a call, and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Runs returns how often each operation ran. Calls that name none are counted
// under the empty name.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	operation := operationOf(body)
	run, mode, delay := s.run(operation)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	switch mode {
	case ModeLoseAnswer:
		control.Cut()
	case ModeHang:
		control.Hang(r, nil)
	case ModeGarbage:
		writeGarbage(w)
	case ModeEndless:
		writeEndless(w)
	default:
		control.WriteJSON(w, http.StatusOK, Answer{
			Replica: s.name, Operation: operation, Run: run, Method: r.Method, Path: r.URL.Path,
		})
	}
}

// operationOf returns the operation that the body names, if it is JSON and
// names one.
func operationOf(body []byte) string {
	var named struct {
		Operation string `json:"operation"`
	}
	if json.Unmarshal(body, &named) != nil {
		return ""
	}
	return named.Operation
}

// run counts a run of operation and returns how its call is to end.
func (s *Server) run(operation string) (run int, mode Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[operation]++
	mode = s.faults.Mode
	delay = time.Duration(s.faults.DelayMillis) * time.Millisecond
	if s.faults.Calls > 0 {
		s.faults.Calls--
		if s.faults.Calls == 0 {
			s.faults = Faults{}
		}
	}
	return s.runs[operation], mode, delay
}

func writeGarbage(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		control.Cut()
	}
	_, _ = buffered.WriteString("\x00\xff\xfeno response\r\n\r\n")
	_ = buffered.Flush()
	_ = conn.Close()
}

// writeEndless writes until the client leaves.
func writeEndless(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/octet-stream")
	for {
		if _, err := w.Write(endlessPiece); err != nil {
			return
		}
	}
}
