package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/internal/panics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// acceptRetryDelay is the wait after a failed accept, for instance when the
	// process has run out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// drainPollInterval is how often Shutdown checks for calls in progress.
	drainPollInterval = 10 * time.Millisecond
	// handshakeTimeout is the longest TLS handshake that the server allows.
	handshakeTimeout = 5 * time.Second
)

// ServerOptions configures a Server. Zero values mean the defaults.
type ServerOptions struct {
	TLS             *tls.Config // nil means unencrypted, allowed on loopback addresses only
	PrivateNetwork  bool        // allows unencrypted connections off loopback, for a network that only hosts of the fleet can reach
	MaxMessageBytes int
	MaxConnections  int
	MaxCalls        int           // calls in progress on one connection
	IdleTimeout     time.Duration // after which a connection that receives no byte is closed
	WriteTimeout    time.Duration // for writing one chunk of a reply
}

// Server serves the methods of registered receivers. Its methods may be called
// concurrently.
type Server struct {
	opts ServerOptions
	rpc  *rpc.Server

	calls atomic.Int64 // calls in progress on all connections

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	stopping  bool
}

// NewServer returns a server that serves the methods of receiver under the given
// name. The methods must have the signature that net/rpc requires.
func NewServer(opts ServerOptions, name string, receiver any) (*Server, error) {
	opts.MaxMessageBytes = orDefault(opts.MaxMessageBytes, DefaultMaxMessageBytes)
	opts.MaxConnections = orDefault(opts.MaxConnections, DefaultMaxConnections)
	opts.MaxCalls = orDefault(opts.MaxCalls, DefaultMaxCalls)
	opts.IdleTimeout = orDefault(opts.IdleTimeout, DefaultServerIdleTimeout)
	opts.WriteTimeout = orDefault(opts.WriteTimeout, DefaultWriteTimeout)
	s := &Server{
		opts:      opts,
		rpc:       rpc.NewServer(),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[net.Conn]struct{}),
	}
	if err := s.Register(heartbeatService, heartbeatReceiver{}); err != nil {
		return nil, err
	}
	return s, s.Register(name, receiver)
}

// Register adds the methods of one more receiver. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections until Shutdown is called, and then returns nil. It
// returns ErrPlaintextOffLoopback if the options set neither TLS nor PrivateNetwork
// and ln is not on a loopback address.
func (s *Server) Serve(ln net.Listener) error {
	if s.opts.TLS == nil && !s.opts.PrivateNetwork && !IsLoopback(ln.Addr().String()) {
		return errors.Wrapf(ErrPlaintextOffLoopback, "serve on %s", ln.Addr())
	}
	if !s.addListener(ln) {
		_ = ln.Close()
		return nil
	}
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			go s.serveConn(conn)
		case s.isStopping():
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrapf(err, "accept on %s", ln.Addr())
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer panics.Recover(log.Log, "link.server", log.Fields{"peer": conn.RemoteAddr().String()})
	if !s.addConn(conn) {
		counters.Add(countRejected, 1)
		return
	}
	defer s.removeConn(conn)
	counters.Add(countAccepted, 1)
	var stream net.Conn = newTrackedConn(conn, s.opts.IdleTimeout, s.opts.WriteTimeout)
	if s.opts.TLS != nil {
		tlsConn := tls.Server(stream, s.opts.TLS)
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			counters.Add(countHandshakeFailures, 1)
			return
		}
		stream = tlsConn
	}
	s.rpc.ServeCodec(serverCodec{
		gobStream: newGobStream(stream, s.opts.MaxMessageBytes),
		callSlots: make(chan struct{}, s.opts.MaxCalls),
		calls:     &s.calls,
		nextSeq:   new(uint64),
	})
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= s.opts.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Shutdown stops accepting connections, waits until no call is in progress, and
// closes all connections. If ctx ends first, it closes them immediately and
// returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopListening()
	defer s.closeConns()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.calls.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "shut down with %d calls in progress", s.calls.Load())
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
