package platform

import (
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// maxWait is the longest that a watch waits.
const maxWait = 5 * time.Minute

var errPrecondition = errors.New("platform: bad or missing precondition")

func (s *Server) getOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.call(countWatch, s.watch)(w, r)
		return
	}
	s.call(countGet, s.get)(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o := s.objects[r.PathValue("key")]
	s.mu.Unlock()
	writeObject(w, o)
}

func writeObject(w http.ResponseWriter, o object) {
	if o.version == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.value)
}

func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// watch answers once the object's version exceeds the one given, or as it
// stands when the wait ends.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		http.Error(w, "bad watch version", http.StatusBadRequest)
		return
	}
	seconds, err := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	if err != nil || seconds < 0 {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(seconds*float64(time.Second))))
	defer timer.Stop()
	ended := false
	for {
		s.mu.Lock()
		o, changed, outage := s.objects[r.PathValue("key")], s.changed, s.faults.Outage
		s.mu.Unlock()
		switch {
		case outage == OutageRefuse:
			refuse(w, http.StatusServiceUnavailable)
			return
		case outage == OutageHang:
			s.hangDuringOutage(r)
			control.Cut()
		case o.version > after || ended:
			writeObject(w, o)
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

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := precondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	key := r.PathValue("key")
	if current := s.objects[key].version; current != expected {
		s.mu.Unlock()
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	version := s.store(key, value)
	lost := s.loseAnswer()
	s.mu.Unlock()
	if lost {
		control.Cut()
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusOK)
}

// precondition returns the version that the request expects; 0 means that the
// object must not exist.
func precondition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errPrecondition
	}
	return version, nil
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := precondition(r)
	if err != nil || expected == 0 {
		http.Error(w, errPrecondition.Error(), http.StatusPreconditionRequired)
		return
	}
	s.mu.Lock()
	key := r.PathValue("key")
	status := http.StatusNoContent
	switch current := s.objects[key].version; {
	case current == 0:
		status = http.StatusNotFound
	case current != expected:
		status = http.StatusPreconditionFailed
	default:
		delete(s.objects, key)
		s.broadcast()
	}
	lost := status == http.StatusNoContent && s.loseAnswer()
	s.mu.Unlock()
	if lost {
		control.Cut()
	}
	w.WriteHeader(status)
}

// listed is one row of a list answer.
type listed struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 0 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	prefix := r.URL.Query().Get("prefix")
	rows := make([]listed, 0)
	s.mu.Lock()
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, listed{Key: key, Version: o.version})
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	control.WriteJSON(w, http.StatusOK, rows[:min(limit, len(rows))])
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.hosts
	if time.Now().Before(s.showAt) {
		hosts = s.shown
	}
	s.mu.Unlock()
	if hosts == nil {
		hosts = []Host{}
	}
	control.WriteJSON(w, http.StatusOK, hosts)
}
