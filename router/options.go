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
	DefaultMaxBodyBytes   = 2 << 20
	DefaultMaxAnswerBytes = 16 << 20
	DefaultTimeout        = 60 * time.Second
	DefaultMaxTimeout     = 10 * time.Minute
	DefaultMaxAttempts    = 3
	DefaultLostAfter      = 5 * time.Second
	DefaultDrainTimeout   = 2 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxRequests    = 20_000
)

// Options configure a Router. Zero values take the defaults above.
type Options struct {
	Host          string
	FailureDomain string
	Incarnation   string // drawn at random if empty

	Signer   *ticket.Signer
	Board    *board.Board
	Pool     *link.Pool // connections to agents
	Keys     KeyBinder  // nil: calls with an Idempotency-Key are refused
	Timeline *timeline.Timeline
	Log      log.Interface

	// Observed is told the configuration version in each reply of an agent. It
	// must not block. Nil ignores it.
	Observed func(host string, version uint64)

	MaxBodyBytes   int64         // largest request body
	MaxAnswerBytes int64         // largest answer that is collected before it is given
	Timeout        time.Duration // of a request whose caller sets none
	MaxTimeout     time.Duration // longest that a caller may set
	MaxAttempts    int           // upstreams tried for one request
	LostAfter      time.Duration // silence after which an agent is given up
	DrainTimeout   time.Duration // longest graceful stop, the delay not counted
	WriteTimeout   time.Duration // longest that a caller may take for one write
	HeaderTimeout  time.Duration // longest that a caller may take for the header
	BodyTimeout    time.Duration // longest that a caller may take for the body
	IdleTimeout    time.Duration // of a caller's connection between requests
	MaxHeaderBytes int           // largest request header
	MaxRequests    int64         // in progress at a time
	DrainDelay     time.Duration // from the begin of a drain to the close of the listener

	CertFile string // PEM certificate of the callers' listener; empty means plain HTTP
	KeyFile  string
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.MaxTimeout = cmp.Or(o.MaxTimeout, DefaultMaxTimeout)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.LostAfter = cmp.Or(o.LostAfter, DefaultLostAfter)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, DefaultHeaderTimeout)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	o.MaxRequests = cmp.Or(o.MaxRequests, DefaultMaxRequests)
	if o.Observed == nil {
		o.Observed = func(string, uint64) {}
	}
	return o
}
