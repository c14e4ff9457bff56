package agent

import (
	"cmp"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/apex/log"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/timeline"
)

// Defaults of Options.
const (
	DefaultKeptAnswerBytes = 32 << 20
	DefaultMaxAnswerBytes  = 16 << 20
	DefaultMaxRunning      = 256
	DefaultMaxQueued       = 32
	DefaultMaxQueueWait    = 2 * time.Second
	DefaultWindowDuration  = 10 * time.Minute
	DefaultWindows         = 6
	DefaultMaxRecords      = 100_000
	DefaultUpstreamTimeout = 60 * time.Second
	DefaultUnreadRetention = 30 * time.Second
	DefaultDrainQuiet      = 3 * time.Second
	DefaultDrainTimeout    = 2 * time.Minute
)

// Options configures an Agent. Zero values are replaced by the defaults above.
type Options struct {
	Host          string // name of the host, as in the host list
	Service       string // service of the upstream
	FailureDomain string
	Incarnation   string   // drawn at random if empty
	Address       string   // address of the RPC listener that routers dial
	Upstream      *url.URL // base URL of the upstream

	Signer   *ticket.Signer
	Board    *board.Board
	Timeline *timeline.Timeline
	Log      log.Interface

	KeptAnswerBytes int64         // limit on the bytes of all answers kept for readers
	MaxAnswerBytes  int64         // largest answer; a longer one is truncated
	MaxRunning      int           // limit on requests running on the upstream, whatever the mean load
	MaxQueued       int           // limit on queued requests of one customer, unless the configuration sets one
	MaxQueueWait    time.Duration // longest time that a request waits in the queue
	WindowDuration  time.Duration // how long one ticket window stays open
	Windows         int           // ticket windows kept in the ledger, including the open one
	MaxRecords      int           // limit on tickets in the ledger
	UpstreamTimeout time.Duration // longest upstream call, unless the configuration sets one
	UnreadRetention time.Duration // how long an idempotent request and its answer are kept without a reader, and a drain waits for the reader of a ticketed answer
	DrainTimeout    time.Duration // longest graceful shutdown
	DrainQuiet      time.Duration // how long no submission must have arrived before a graceful shutdown may end

	// ReadLimit decodes the limit that an answer of the upstream names; nil means that it
	// names none. It may be called concurrently.
	ReadLimit func(http.Header) limit.Named

	// OnConfigVersion is called with the configuration version in each message
	// from a peer. It must not block. It may be nil.
	OnConfigVersion func(host string, version uint64)

	// Listener accepts the RPC connections of routers. The agent closes it.
	Listener net.Listener
}

// withDefaults returns o with zero values replaced.
func (o Options) withDefaults() Options {
	o.KeptAnswerBytes = cmp.Or(o.KeptAnswerBytes, DefaultKeptAnswerBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.MaxRunning = cmp.Or(o.MaxRunning, DefaultMaxRunning)
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.MaxQueueWait = cmp.Or(o.MaxQueueWait, DefaultMaxQueueWait)
	o.WindowDuration = cmp.Or(o.WindowDuration, DefaultWindowDuration)
	o.Windows = cmp.Or(o.Windows, DefaultWindows)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	o.UpstreamTimeout = cmp.Or(o.UpstreamTimeout, DefaultUpstreamTimeout)
	o.UnreadRetention = cmp.Or(o.UnreadRetention, DefaultUnreadRetention)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	o.DrainQuiet = cmp.Or(o.DrainQuiet, DefaultDrainQuiet)
	if o.OnConfigVersion == nil {
		o.OnConfigVersion = func(string, uint64) {}
	}
	return o
}
