package router

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
)

// Defaults of Options.
const (
	DefaultMaxConnections = 1 << 15
	DefaultMaxBodyBytes   = 2 << 20
	DefaultBodyMemory     = 1 << 30
	DefaultMaxAnswerBytes = 16 << 20
	DefaultTimeout        = 60 * time.Second
	DefaultMaxTimeout     = 10 * time.Minute
	DefaultMaxAttempts    = 3
	DefaultAgentLostAfter = 5 * time.Second
	DefaultDrainTimeout   = 2 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
	DefaultEventTimeout   = 30 * time.Second // half of DefaultTimeout, so that as much is left to another engine
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxRequests    = 20_000
)

// Options configures a Router. Zero values take the defaults above.
type Options struct {
	Host          string
	FailureDomain string
	Incarnation   string // random if empty

	Signer   *ticket.Signer
	Board    *board.Board
	Pool     *link.Pool // connections to agents
	Keys     KeyBinder  // nil: calls with an Idempotency-Key are rejected
	Timeline *timeline.Timeline
	Log      log.Interface

	// OnConfigVersion is called with the configuration version in each agent's reply.
	// It must not block. Nil means no callback.
	OnConfigVersion func(host string, version uint64)

	MaxBodyBytes    int64         // maximum size of a request body
	BodyMemoryBytes int64         // memory for the bodies of all requests in progress, at least twice MaxBodyBytes
	MaxAnswerBytes  int64         // maximum size of an answer that is buffered before it is sent
	Timeout         time.Duration // of a request whose caller sets no timeout
	MaxTimeout      time.Duration // maximum timeout that a caller may set
	MaxAttempts     int           // maximum attempts per request
	AgentLostAfter  time.Duration // time without a reply after which an agent counts as lost
	DrainTimeout    time.Duration // maximum duration of a graceful shutdown, DrainDelay excluded
	WriteTimeout    time.Duration // maximum duration of one write to a caller
	EventTimeout    time.Duration // maximum time between two events of a stream, from its first bytes on
	HeaderTimeout   time.Duration // maximum time to receive a request header
	BodyTimeout     time.Duration // maximum time to receive a request body
	IdleTimeout     time.Duration // maximum time that a caller's connection stays idle between requests
	MaxHeaderBytes  int           // maximum size of a request header
	MaxRequests     int64         // maximum number of requests in progress
	MaxConnections  int           // maximum number of callers' connections; see connlimit.New
	DrainDelay      time.Duration // time from the start of a drain until the listener closes

	CertFile string // PEM certificate of the listener for callers; empty means plain HTTP
	KeyFile  string
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.BodyMemoryBytes = cmp.Or(o.BodyMemoryBytes, DefaultBodyMemory)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.MaxTimeout = cmp.Or(o.MaxTimeout, DefaultMaxTimeout)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.AgentLostAfter = cmp.Or(o.AgentLostAfter, DefaultAgentLostAfter)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.EventTimeout = cmp.Or(o.EventTimeout, DefaultEventTimeout)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, DefaultHeaderTimeout)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxRequests = cmp.Or(o.MaxRequests, DefaultMaxRequests)
	if o.OnConfigVersion == nil {
		o.OnConfigVersion = func(string, uint64) {}
	}
	return o
}
