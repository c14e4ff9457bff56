package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrill.example/standin/internal/control"
)

const (
	// maxWatchWait bounds how long a watch waits for a change.
	maxWatchWait = 30 * time.Second
	// maxPageEntries bounds the objects in one page of a list.
	maxPageEntries = 500
	// maxCallBytes bounds the body of a call: a value and its metadata.
	maxCallBytes = MaxValueBytes + 64<<10
)

// metadata is what the store keeps about an object besides its spec and status.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"` // of the last change
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizerList"`
	Deleting   bool     `json:"deletionPending"`
}

// object is one object of a kind, in its wire format.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change of a kind.
type event struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

type page struct {
	Entries []object `json:"entries"`
	More    bool     `json:"more"`
	At      uint64   `json:"at"`
}

type changes struct {
	Events []event `json:"events"`
	At     uint64  `json:"at"`
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Query().Has("subscription"):
		s.withFaults(countWatch, s.watch)(w, r)
	case r.PathValue("kind") == KindHosts:
		s.withFaults(countHosts, s.list)(w, r)
	default:
		s.withFaults(countList, s.list)(w, r)
	}
}

// list answers with a page of the objects of a kind, sorted by name.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	answer := page{Entries: []object{}, At: s.revision}
	for _, o := range s.objectsOfKind(r.PathValue("kind")) {
		if o.Metadata.Name > after {
			answer.Entries = append(answer.Entries, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(answer.Entries) > maxPageEntries {
		answer.Entries, answer.More = answer.Entries[:maxPageEntries], true
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

// objectsOfKind returns the objects of a kind as clients see them. The caller
// holds mu.
func (s *Server) objectsOfKind(kind string) map[string]object {
	if kind == KindHosts {
		return s.hostObjects()
	}
	return s.objects[kind]
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objectsOfKind(r.PathValue("kind"))[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	control.WriteJSON(w, http.StatusOK, o)
}

// watch answers with the changes after a revision as soon as there is one, or
// with an empty list when the wait times out.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("subscription"), 10, 64)
	if err != nil {
		http.Error(w, "bad subscription", http.StatusBadRequest)
		return
	}
	millis, err := strconv.ParseUint(r.URL.Query().Get("waitMs"), 10, 32)
	if err != nil {
		http.Error(w, "bad waitMs", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWatchWait, time.Duration(millis)*time.Millisecond))
	defer timer.Stop()
	timedOut := false
	eraAtStart := s.Era()
	for {
		s.mu.Lock()
		answer := changes{Events: s.eventsAfter(r.PathValue("kind"), after), At: s.revision}
		compacted := after < s.compactedRevision || after > s.revision
		changed, outage, era := s.changed, s.faults.Outage, s.era
		s.mu.Unlock()
		switch {
		case outage == OutageRefuse:
			refuse(w, http.StatusServiceUnavailable)
			return
		case outage == OutageHang:
			s.hangDuringOutage(r)
			control.AbortConnection()
		case compacted || era != eraAtStart:
			http.Error(w, "history is gone", http.StatusGone)
			return
		case len(answer.Events) > 0 || timedOut:
			control.WriteJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of a kind after a revision. The caller holds
// mu.
func (s *Server) eventsAfter(kind string, after uint64) []event {
	events := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > after {
			events = append(events, e)
		}
	}
	return events
}

var errTooLarge = errors.New("platform: object too large")

// readObject decodes the object in the body of a create or replace request.
func readObject(w http.ResponseWriter, r *http.Request) (object, error) {
	var o object
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return o, errTooLarge
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return o, err
	}
	if len(o.Spec) > MaxValueBytes {
		return o, errTooLarge
	}
	return o, nil
}

func refuseObject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if errors.Is(err, errTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

// create adds an object. If it already exists, the answer is a conflict with the
// current object.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err != nil || o.Metadata.Name == "" {
		refuseObject(w, errors.Join(err, errors.New("platform: invalid object in create request")))
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	current, exists := s.objects[kind][o.Metadata.Name]
	lost := false
	if !exists {
		current = s.storeObject(kind, o)
		lost = s.loseAnswer()
	}
	s.mu.Unlock()
	answerWrite(w, current, exists, lost)
}

// replace replaces the spec and the finalizers of an object.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.replaceFields(w, r, func(changed *object, o object) {
		changed.Spec, changed.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
	})
}

// replaceStatus replaces the status of an object.
func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.replaceFields(w, r, func(changed *object, o object) { changed.Status = o.Status })
}

// replaceFields updates the stored object with the fields that copyFields copies
// from the object in the request.
func (s *Server) replaceFields(w http.ResponseWriter, r *http.Request, copyFields func(changed *object, o object)) {
	o, err := readObject(w, r)
	if err != nil {
		refuseObject(w, err)
		return
	}
	s.update(w, r, o.Metadata.Revision, func(kind string, current object) object {
		changed := current
		copyFields(&changed, o)
		return s.applyChange(kind, current, changed)
	})
}

// update applies a write if the object is at the given revision; 0 matches any.
// apply is called with mu held and returns the resulting object.
func (s *Server) update(w http.ResponseWriter, r *http.Request, revision uint64, apply func(kind string, current object) object) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	if !exists {
		s.mu.Unlock()
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	conflict := revision != 0 && revision != current.Metadata.Revision
	lost := false
	if !conflict {
		current = apply(kind, current)
		lost = s.loseAnswer()
	}
	s.mu.Unlock()
	answerWrite(w, current, conflict, lost)
}

// applyChange stores a changed object, or removes it if a deletion is pending and
// its last finalizer is gone. It does nothing if the write changes nothing. The
// caller holds mu.
func (s *Server) applyChange(kind string, current, changed object) object {
	switch {
	case changed.Metadata.Deleting && len(changed.Metadata.Finalizers) == 0:
		return s.deleteObject(kind, changed)
	case sameContent(current, changed):
		return changed
	}
	return s.storeObject(kind, changed)
}

// sameContent reports whether a and b have equal spec, status and finalizers.
func sameContent(a, b object) bool {
	return bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status) &&
		slices.Equal(a.Metadata.Finalizers, b.Metadata.Finalizers)
}

// remove deletes an object, or marks it as pending deletion while it has
// finalizers.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil && r.URL.Query().Has("revision") {
		http.Error(w, "bad revision", http.StatusBadRequest)
		return
	}
	s.update(w, r, revision, s.deleteObject)
}

func answerWrite(w http.ResponseWriter, o object, conflict, lost bool) {
	switch {
	case lost:
		control.AbortConnection()
	case conflict:
		control.WriteJSON(w, http.StatusConflict, o)
	default:
		control.WriteJSON(w, http.StatusOK, o)
	}
}
