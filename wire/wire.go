// Package wire defines the messages between the processes of the fleet. They
// travel by net/rpc with its gob codec. Every message carries Meta, so that
// configuration versions spread without the platform.
package wire

import "time"

// Limits of one message.
const (
	MaxReplyBytes   = 64 << 10 // answer bytes in one ReadReply
	MaxRequestBytes = 4 << 20  // body bytes in one SubmitArgs
	MaxMessageBytes = 6 << 20  // one encoded message
)

// BulkBytes is the size of a body from which its request travels on a
// connection of its own, so that reads do not wait behind it.
const BulkBytes = 64 << 10

// IsBulk tells whether the arguments of a call are large.
func IsBulk(args any) bool {
	submit, ok := args.(*SubmitArgs)
	return ok && len(submit.Body) >= BulkBytes
}

// Meta travels with every message.
type Meta struct {
	From          string // host name of the sender
	Incarnation   string // of the sending process
	ConfigVersion uint64 // version in force at the sender
	Clock         uint64 // hybrid logical clock of the sender, for the time line
}

// Verdict is an agent's answer to a submitted request.
type Verdict uint8

// The verdicts. Only VerdictAccepted and VerdictKnown lead to an answer.
const (
	VerdictAccepted         Verdict = iota + 1 // admitted now
	VerdictKnown                               // this request was submitted before: read its answer
	VerdictRefused                             // not run by this submission, and never will be: see Reason
	VerdictMayHaveRun                          // the ticket is of a dead incarnation or a passed window, or its call was lost
	VerdictDigestMismatch                      // the ticket was first used with another body
	VerdictRevokedNotRun                       // the ticket was revoked before it started: it never ran and never will
	VerdictWrongIncarnation                    // Read and Revoke: the request belongs to another incarnation
	VerdictUnknown                             // Read: no such request here
)

// Reason says why an agent refused.
type Reason string

// The reasons of a refusal. A refused request was not run by this submission.
const (
	ReasonOverload      Reason = "overload"       // load bound reached
	ReasonQueueFull     Reason = "queue-full"     // the customer's queue is full
	ReasonCustomerLimit Reason = "customer-limit" // the customer's own limit
	ReasonLeaving       Reason = "leaving"
	ReasonForbidden     Reason = "forbidden" // no rule of the configuration in force allows it
	ReasonNoConfig      Reason = "no-configuration"
	ReasonBehind        Reason = "behind" // the agent runs an older configuration than the router and could not catch up
	ReasonDeadline      Reason = "deadline"
	ReasonUpstreamDown  Reason = "upstream-down" // the upstream refused the connection
	ReasonUpstreamBusy  Reason = "upstream-busy" // the upstream answered idempotent work with 429 or 503
	ReasonKeptFull      Reason = "kept-answers-full"
	ReasonRevoked       Reason = "revoked"
	// ReasonConnectionLost is a router's own: the connection broke and the
	// ticket was revoked before it started.
	ReasonConnectionLost Reason = "connection-lost"
)

// SubmitArgs asks an agent to run a request on its upstream.
type SubmitArgs struct {
	Meta
	Request    string // identifies the request everywhere; a ticketed request's is the ticket's nonce
	Ticket     string // encoded ticket; empty for idempotent requests
	Idempotent bool
	Customer   string
	Service    string
	Chat       string // chat identifier; empty for plain services
	Priority   int
	Method     string
	Path       string
	Query      string
	Header     map[string][]string
	Body       []byte
	Timeout    time.Duration // what is left of the caller's deadline
	PromptLoad int           // estimated prompt tokens, for the load bound
	MayQueue   bool          // wait at the agent when its load bound is reached
	Resume     bool          // the body's last message is a partial answer to continue
}

// SubmitReply is the agent's verdict.
type SubmitReply struct {
	Meta
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // when Verdict is VerdictRefused
	Load       Load
}

// ReadArgs asks for the next bytes of an answer.
type ReadArgs struct {
	Meta
	Request  string
	Ticket   string // encoded; tells a ticket that never came from one that is forgotten
	Customer string
	Holder   string // incarnation that the reader expects to hold the request
	Offset   int64
	Wait     time.Duration // longest time to wait for the first new byte
	Begun    bool          // the reader has Status and Header already
}

// ReadReply returns bytes of an answer from Offset on.
type ReadReply struct {
	Meta
	Verdict Verdict // VerdictKnown, VerdictWrongIncarnation, VerdictUnknown, VerdictMayHaveRun or VerdictRefused
	Reason  Reason
	Request string // echo, checked by the reader
	Offset  int64  // echo, checked by the reader
	Started bool   // Status and Header are valid, unless the reader had them
	Status  int
	Header  map[string][]string
	Data    []byte
	Done    bool     // the answer is whole: Total and Digest are valid
	Cut     bool     // the upstream broke off: no more bytes will come
	Total   int64    // bytes of the whole answer
	Digest  [32]byte // SHA-256 of the whole answer
}

// RequestArgs names a request, for Cancel, Confirm and Revoke. Holder may be
// empty where the sender never learnt it.
type RequestArgs struct {
	Meta
	Request  string
	Ticket   string
	Customer string
	Holder   string
}

// RequestReply answers Cancel, Confirm and Revoke.
type RequestReply struct {
	Meta
	Verdict Verdict
}

// HelloArgs opens a conversation and serves as heartbeat.
type HelloArgs struct {
	Meta
	Confirmed time.Duration // age of the sender's last proof that its configuration is the newest; negative if none
}

// HelloReply tells what the peer is. Window is the ticket window that is open
// at an agent.
type HelloReply struct {
	Meta
	Service       string
	FailureDomain string
	Leaving       bool
	Window        uint64
	Load          Load
	Confirmed     time.Duration // as in HelloArgs
}

// Load is what an agent reports of its upstream.
type Load struct {
	InFlight int     // requests admitted and not finished
	Queued   int     // requests waiting at the agent
	Tokens   int     // prompt tokens left to prefill plus tokens in progress
	Mean     float64 // mean that the agent holds its bound against; negative if unknown
	Bound    int     // load that the agent admits up to
}

// ConfigArgs asks a peer for configuration after a version.
type ConfigArgs struct {
	Meta
	After uint64
}

// ConfigUpdate carries a configuration, or the delta to it from version Base
// if Base is not 0. Encoded is empty if there is nothing to carry.
type ConfigUpdate struct {
	Version uint64
	Base    uint64
	Encoded []byte
}

// ConfigReply carries an update to a version after the one asked for, if the
// peer has one.
type ConfigReply struct {
	Meta
	ConfigUpdate
}

// OfferArgs brings a configuration to a peer that is thought to be behind.
type OfferArgs struct {
	Meta
	ConfigUpdate
}

// OfferReply answers an offer; its Meta tells the version now in force.
type OfferReply struct {
	Meta
}
