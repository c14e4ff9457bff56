package platform

import (
	"maps"
	"net/http"
	"strconv"

	"dandelionrill.example/standin/internal/control"
)

// headerEra is in all answers of the store. It rises each time the store returns from
// a copy.
const headerEra = "Store-Era"

// storeCopy is the content of the store at one time.
type storeCopy struct {
	objects           map[string]map[string]object
	revision          uint64
	history           []event
	compactedRevision uint64
}

// Copy copies the content of the store, for a later Restore.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{
		objects: make(map[string]map[string]object, len(s.objects)), revision: s.revision,
		history: append([]event(nil), s.history...), compactedRevision: s.compactedRevision,
	}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	s.copied = c
}

// Restore returns the store to the content of the last Copy, in a new era: what was
// written since is gone, and its revisions are given out again. It does nothing if
// there is no copy. Waiting watches fail.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied == nil {
		return
	}
	s.objects = make(map[string]map[string]object, len(s.copied.objects))
	for kind, objects := range s.copied.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.revision, s.compactedRevision = s.copied.revision, s.copied.compactedRevision
	s.history = append([]event(nil), s.copied.history...)
	s.era++
	s.broadcast()
}

// Era returns the era of the store.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eraWriter adds the era to an answer. A call during which the store returns from a
// copy gets no answer.
type eraWriter struct {
	http.ResponseWriter
	server *Server
	era    uint64 // when the call began
	begun  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.begun {
		w.begun = true
		if w.server.Era() != w.era {
			control.AbortConnection()
		}
		w.Header().Set(headerEra, strconv.FormatUint(w.era, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives access to the other methods of the writer.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
