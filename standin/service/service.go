// Package service is a stand-in for a plain service. It counts how often each
// operation ran and can inject faults.
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

// endlessChunk is the data that an endless answer repeats.
var endlessChunk = bytes.Repeat([]byte("0123456789abcdef"), 1<<10)

// Mode says how a call fails.
type Mode string

// The modes of failure. In all of them the operation runs first.
const (
	ModeNone       Mode = ""
	ModeLoseAnswer Mode = "lose-answer" // closes the connection without an answer
	ModeHang       Mode = "hang"        // sends no answer until the caller disconnects
	ModeGarbage    Mode = "garbage"     // sends bytes that are not an HTTP response
	ModeEndless    Mode = "endless"     // sends a body without end
)

// Faults are the failures that the stand-in injects. The zero value means none.
type Faults struct {
	Mode        Mode `json:"mode"`
	Calls       int  `json:"calls"`    // number of next calls that fail; 0 means all
	DelayMillis int  `json:"delay_ms"` // delay between the run and its answer
}

// Options sets up a Server.
type Options struct {
	Name   string // included in each answer
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
	control.HandleGet(s.mux, "/control/runs", s.Runs)
	control.HandleGet(s.mux, "/control/faults", s.Faults)
	control.HandlePut(s.mux, "/control/faults", s.SetFaults)
	return s
}

// ServeHTTP serves /control, and any other method and path as a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Runs returns how often each operation ran. Calls that name no operation are
// counted under the empty name.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults.
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
		control.AbortConnection()
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
	var decoded struct {
		Operation string `json:"operation"`
	}
	if json.Unmarshal(body, &decoded) != nil {
		return ""
	}
	return decoded.Operation
}

// run counts a run of operation and returns the count and the fault to inject.
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
		control.AbortConnection()
	}
	_, _ = buffered.WriteString("\x00\xff\xfeno response\r\n\r\n")
	_ = buffered.Flush()
	_ = conn.Close()
}

// writeEndless writes until the client disconnects.
func writeEndless(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/octet-stream")
	for {
		if _, err := w.Write(endlessChunk); err != nil {
			return
		}
	}
}
