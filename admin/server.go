package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/internal/connlimit"
)

// Limits of the admin listener.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	maxConnections    = 256
)

// Server is the HTTP server of the admin listener.
type Server struct {
	http     *http.Server
	certFile string
	keyFile  string
}

// NewServer returns a server for the handler. It uses TLS if certFile is not
// empty.
func NewServer(h http.Handler, certFile, keyFile string) *Server {
	return &Server{certFile: certFile, keyFile: keyFile, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         connlimit.New(maxConnections, nil).ConnState,
	}}
}

// Serve answers requests until Shutdown, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	var err error
	if s.certFile != "" {
		err = s.http.ServeTLS(ln, s.certFile, s.keyFile)
	} else {
		err = s.http.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve admin API on %s", ln.Addr())
}

// Shutdown stops accepting connections and waits until the requests in progress
// have finished or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "shut down the admin listener")
}
