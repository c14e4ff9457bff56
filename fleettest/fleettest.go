// Package fleettest runs routers and agents with stand-in upstreams inside one
// test process, over real connections on loopback.
package fleettest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"
)

// Names in the configuration that Config returns.
const (
	Customer         = "rice"
	CustomerKey      = "rice-key"
	OtherCustomerKey = "rubber-key" // of customer "rubber"
	ModelService     = "registry-llm"
	Model            = "statement-drafter"
	PlainService     = "share-ledger"
)

// ticketKey is the key that signs the tickets in the fleets of this package.
const ticketKey = "a-ticket-key-of-thirty-two-bytes"

// Config returns a configuration with one model service, one plain service and
// two customers.
func Config(version uint64) *config.Config {
	return &config.Config{
		Version: version,
		Customers: []config.Customer{
			{ID: Customer, KeyHashes: []string{keyHash(CustomerKey)}, Weight: 1},
			{ID: "rubber", KeyHashes: []string{keyHash(OtherCustomerKey)}, Weight: 1},
		},
		Services: []config.Service{
			{ID: ModelService, Kind: config.KindModel, LoadMultiple: 1.5, Models: []string{Model}, Resumes: true},
			{ID: PlainService, Kind: config.KindPlain, LoadMultiple: 1.5, Idempotent: []config.Call{{Method: http.MethodGet, PathPrefix: "/"}}},
		},
		Rules: []config.Rule{{Customer: config.Any, Service: config.Any, Host: config.Any, FailureDomain: config.Any}},
	}
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Upstream is an upstream host with its agent.
type Upstream struct {
	Host  store.Host
	Agent *agent.Agent
	Board *board.Board
	Stop  context.CancelFunc // begins the agent's graceful shutdown
	Done  <-chan struct{}    // closed when the agent has stopped
}

// ConfigureAgent changes the options of an agent before it starts. Nil changes
// nothing.
type ConfigureAgent func(*agent.Options)

// NewSigner returns the ticket signer of the fleets of this package.
func NewSigner(t testing.TB) *ticket.Signer {
	signer, err := ticket.NewSigner([]byte(ticketKey))
	must.NoError(t, err)
	return signer
}

// StartUpstream starts a server with handler as an upstream of service, and starts
// its agent.
func StartUpstream(t testing.TB, name, service string, handler http.Handler, cfg *config.Config, configure ConfigureAgent) *Upstream {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	must.NoError(t, err)
	return StartAgent(t, name, service, base, cfg, configure)
}

// StartAgent starts an agent for the upstream at upstreamURL.
func StartAgent(t testing.TB, name, service string, upstreamURL *url.URL, cfg *config.Config, configure ConfigureAgent) *Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	host := store.Host{
		Name: name, Role: store.RoleAgent, Service: service, FailureDomain: "bkk-a",
		Address: listener.Addr().String(), State: store.HostLive,
	}
	opts := agent.Options{
		Host: name, Service: service, FailureDomain: host.FailureDomain, Address: host.Address,
		Upstream: upstreamURL, Signer: NewSigner(t), Board: board.New(),
		Timeline: timeline.New(timeline.Options{Process: name}), Log: DiscardLogger(), Listener: listener,
		DrainQuiet: time.Millisecond,
	}
	opts.Board.Adopt(cfg, "test")
	if configure != nil {
		configure(&opts)
	}
	a, err := agent.New(opts)
	must.NoError(t, err)
	server, err := link.NewServer(link.ServerOptions{}, agent.RPCName, agent.NewService(a))
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx, server)
	}()
	t.Cleanup(stop)
	return &Upstream{Host: host, Agent: a, Board: opts.Board, Stop: stop, Done: done}
}

// DiscardLogger returns a logger that discards everything.
func DiscardLogger() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
}

// Router is a running router. URL is the base URL for its callers.
type Router struct {
	*router.Router
	URL   string
	Board *board.Board
	Stop  context.CancelFunc
	Done  <-chan struct{}
}

// ConfigureRouter changes the options of a router before it starts. Nil changes
// nothing.
type ConfigureRouter func(*router.Options)

// Dialer opens connections to agents. Tests use it to inject faults. Nil means
// plain TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// StartRouter starts a router whose host list contains upstreams.
func StartRouter(t testing.TB, name string, cfg *config.Config, upstreams []*Upstream, dial Dialer, configure ConfigureRouter) *Router {
	pool := link.NewPool(link.ClientOptions{
		Dial:              dial,
		HeartbeatInterval: 50 * time.Millisecond,
		HeartbeatTimeout:  300 * time.Millisecond,
	})
	opts := router.Options{
		Host: name, FailureDomain: "bkk-a", Signer: NewSigner(t), Board: board.New(), Pool: pool,
		Timeline: timeline.New(timeline.Options{Process: name}), Log: DiscardLogger(),
	}
	opts.Board.Adopt(cfg, "test")
	var hosts []store.Host
	for _, u := range upstreams {
		hosts = append(hosts, u.Host)
	}
	opts.Board.ObserveHostList(hosts)
	if configure != nil {
		configure(&opts)
	}
	r, err := router.New(opts)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx, listener)
	}()
	t.Cleanup(func() {
		stop()
		pool.Close()
	})
	return &Router{Router: r, URL: "http://" + listener.Addr().String(), Board: opts.Board, Stop: stop, Done: done}
}

// Answer is an answer as the caller receives it.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Do sends a request with the customer's key and returns the complete answer. An
// error fails the test.
func (r *Router) Do(t testing.TB, method, path, body string, header map[string]string) Answer {
	a, err := r.Try(method, path, body, header)
	must.NoError(t, err)
	return a
}

// Try is like Do, but returns the error.
func (r *Router) Try(method, path, body string, header map[string]string) (Answer, error) {
	req, err := http.NewRequest(method, r.URL+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+CustomerKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data)}, err
}
