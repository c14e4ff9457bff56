// Package control provides the HTTP helpers that the stand-ins share.
package control

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the body of a control request.
const maxBodyBytes = 4 << 20

// WriteJSON writes a response with the status and value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the JSON body of r into value. Unknown fields are an error.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// HandleGet registers a handler for GET path that answers with the value that get
// returns.
func HandleGet[T any](mux *http.ServeMux, path string, get func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, get())
	})
}

// HandlePut registers a handler for PUT path that passes the decoded body to set.
func HandlePut[T any](mux *http.ServeMux, path string, set func(T)) {
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

// Hang blocks until the client of r disconnects or release is closed.
func Hang(r *http.Request, release <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-release:
	}
}

// AbortConnection closes the client's connection without finishing the response.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
