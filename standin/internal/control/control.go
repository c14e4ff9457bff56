// Package control holds what the control endpoints of all stand-ins share.
package control

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the body of a control request.
const maxBodyBytes = 4 << 20

// WriteJSON writes value as the JSON body of a response with status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the body of r. Unknown fields are refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// Get serves the value that get returns at GET path.
func Get[T any](mux *http.ServeMux, path string, get func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, get())
	})
}

// Put passes the decoded body of PUT path to set.
func Put[T any](mux *http.ServeMux, path string, set func(T)) {
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := ReadJSON(w, r, &value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Hang blocks until the client of r has left or release is closed.
func Hang(r *http.Request, release <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-release:
	}
}

// Cut closes the client's connection without finishing the response.
func Cut() {
	panic(http.ErrAbortHandler)
}
