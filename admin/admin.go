// Package admin serves the HTTP API for operators: health, status, counters, the
// timeline, drain and the configuration. All paths except liveness and readiness
// require the admin token.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strings"

	"dandelionrill.example/fleet/health"
	"dandelionrill.example/fleet/problem"
	"dandelionrill.example/fleet/timeline"
)

// Paths of the admin listener.
const (
	PathLive     = "/livez"
	PathReady    = "/readyz"
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathCounters = "/debug/vars"
	PathDrain    = "/drain"
	PathConfig   = "/config"
)

var unauthorizedRequests = expvar.NewInt("admin_requests_unauthorized")

// Options configures the handler. Configuration may be nil; all other fields are
// required.
type Options struct {
	Token         string
	Health        *health.Health
	Timeline      *timeline.Timeline
	Status        func() Status
	Drain         func() // starts a graceful shutdown; further calls do nothing
	Configuration ConfigurationStore
}

// New returns the handler of the admin listener.
func New(opts Options) http.Handler {
	a := &handler{opts: opts, token: sha256.Sum256([]byte(opts.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLive, opts.Health.ServeLive)
	mux.HandleFunc("GET "+PathReady, opts.Health.ServeReady)
	a.handleAuthorized(mux, "GET "+PathStatus, a.status)
	a.handleAuthorized(mux, "GET "+PathTimeline, opts.Timeline.ServeHTTP)
	a.handleAuthorized(mux, "GET "+PathCounters, expvar.Handler().ServeHTTP)
	a.handleAuthorized(mux, "POST "+PathDrain, a.drain)
	if opts.Configuration != nil {
		a.handleAuthorized(mux, "GET "+PathConfig, a.getConfig)
		a.handleAuthorized(mux, "PUT "+PathConfig, a.putConfig)
	}
	return mux
}

type handler struct {
	opts  Options
	token [sha256.Size]byte
}

func (a *handler) handleAuthorized(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			unauthorizedRequests.Add(1)
			w.Header().Set("WWW-Authenticate", `Bearer realm="admin"`)
			problem.Write(w, problem.Problem{Status: http.StatusUnauthorized, Code: problem.CodeUnauthorized, Detail: "the admin token is missing or wrong"})
			return
		}
		h(w, r)
	})
}

// authorized compares digests, so that the time taken reveals nothing about the
// token, not even its length.
func (a *handler) authorized(r *http.Request) bool {
	bearerToken, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(bearerToken))
	return subtle.ConstantTimeCompare(digest[:], a.token[:]) == 1 && ok && a.opts.Token != ""
}

func (a *handler) status(w http.ResponseWriter, _ *http.Request) {
	s := a.opts.Status()
	s.Ready, _ = a.opts.Health.Ready()
	writeJSON(w, http.StatusOK, s)
}

func (a *handler) drain(w http.ResponseWriter, _ *http.Request) {
	a.opts.Drain()
	writeJSON(w, http.StatusAccepted, a.opts.Status().Drain)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusInternalServerError, Code: problem.CodeInternal, Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The error is ignored: an operator who has disconnected cannot be informed.
	_, _ = w.Write(append(body, '\n'))
}
