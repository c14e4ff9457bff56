// Package wire defines the messages between the processes of the fleet, which are
// sent by net/rpc with its gob codec. Messages other than load reports carry
// Meta, so that configuration versions propagate without the platform.
package wire

import "time"

// Limits of one message.
const (
	MaxReplyBytes   = 64 << 10 // answer bytes in one ReadReply
	MaxRequestBytes = 4 << 20  // body bytes in one SubmitArgs
	MaxMessageBytes = 6 << 20  // bytes of one encoded message
)

// BulkBytes is the smallest body size at which a request is sent on a separate
// connection, so that reads do not wait behind it.
const BulkBytes = 64 << 10

// IsBulk reports whether args is a request with a body of at least BulkBytes.
func IsBulk(args any) bool {
	submit, ok := args.(*SubmitArgs)
	return ok && len(submit.Body) >= BulkBytes
}

// Meta is the metadata that messages carry about their sender.
type Meta struct {
	From          string // host name of the sender
	Incarnation   string // incarnation of the sending process
	ConfigVersion uint64 // configuration version in force at the sender
	Clock         uint64 // hybrid logical clock of the sender, for the timeline
}

// Verdict is an agent's decision on a request.
type Verdict uint8

// The verdicts. Only after VerdictAccepted and VerdictKnown is there an answer to
// read.
const (
	VerdictAccepted         Verdict = iota + 1 // admitted by this submission
	VerdictKnown                               // the request was submitted before: read its answer
	VerdictRefused                             // this submission did not run and never will: see Reason
	VerdictMayHaveRun                          // the ticket belongs to an incarnation that has ended or to an expired window, its call was lost, or its answer is no longer stored
	VerdictDigestMismatch                      // the ticket was first used with another method, path, query or body
	VerdictRevokedNotRun                       // the ticket was revoked before it started: it did not run and never will
	VerdictWrongIncarnation                    // Read, Cancel and Confirm: the request belongs to another incarnation
	VerdictUnknown                             // the agent does not know the request
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal. The refused submission did not run.
const (
	ReasonOverload        Reason = "overload"       // the load bound is reached, or the request waited too long in the queue
	ReasonQueueFull       Reason = "queue-full"     // the customer's queue is full
	ReasonCustomerLimit   Reason = "customer-limit" // the customer's limit on running and queued requests is reached
	ReasonLeaving         Reason = "leaving"
	ReasonForbidden       Reason = "forbidden" // no rule of the configuration in force allows it, the customer is unknown, the service is not the agent's, or the ticket is invalid
	ReasonMalformed       Reason = "malformed" // it cannot be written into a head for the upstream
	ReasonNoConfig        Reason = "no-configuration"
	ReasonBehind          Reason = "behind" // the agent's configuration is older than the router's, and the agent has not caught up
	ReasonDeadline        Reason = "deadline"
	ReasonUpstreamDown    Reason = "upstream-down"     // no connection to the upstream could be opened
	ReasonUpstreamBusy    Reason = "upstream-busy"     // the upstream answered an idempotent request with status 429 or 503
	ReasonKeptAnswersFull Reason = "kept-answers-full" // the agent has no room for another answer, or its ledger for another ticket
	ReasonRevoked         Reason = "revoked"
	// ReasonConnectionLost is set by a router, not by an agent: the connection
	// broke and the ticket was revoked before it started.
	ReasonConnectionLost Reason = "connection-lost"
)

// SubmitArgs asks an agent to run a request on its upstream.
type SubmitArgs struct {
	Meta
	Request    string // identifies the request in the whole fleet; for a ticketed request, the ticket's nonce
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
	Timeout    time.Duration // time left until the caller's deadline
	PromptLoad int           // estimated prompt tokens; sets the request's cost in the agent's queue and counts in Load.Tokens
	MayQueue   bool          // the request may wait in the agent's queue when the load bound is reached
	Resume     bool          // the body's last message is a partial answer to continue
}

// SubmitReply carries the agent's verdict on a SubmitArgs.
type SubmitReply struct {
	Meta
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // may be set if Verdict is VerdictRefused; 0 if not
	Load       Load
}

// ReadArgs asks for the next bytes of an answer.
type ReadArgs struct {
	Meta
	Request  string
	Ticket   string // encoded ticket; lets the agent distinguish a ticket that never arrived from one that has expired from its ledger
	Customer string
	Holder   string // incarnation of the agent that the reader expects to have the request
	Offset   int64
	Wait     time.Duration // longest time to wait for the first new byte
	Begun    bool          // the reader already has Status and Header
}

// ReadReply carries bytes of an answer from Offset on.
type ReadReply struct {
	Meta
	Verdict Verdict // VerdictKnown, VerdictWrongIncarnation, VerdictUnknown, VerdictMayHaveRun or VerdictRefused
	Reason  Reason
	Request string // copied from ReadArgs and checked by the reader
	Offset  int64  // copied from ReadArgs and checked by the reader
	Started bool   // Status and Header are valid, unless ReadArgs.Begun was set
	Status  int
	Header  map[string][]string
	Data    []byte
	Done    bool     // the answer is complete: Total and Digest are valid
	Cut     bool     // the answer is truncated: no more bytes will follow
	Total   int64    // bytes of the complete answer
	Digest  [32]byte // SHA-256 of the complete answer
}

// RequestArgs identifies a request for Cancel, Confirm and Revoke. Holder is as
// in ReadArgs; it may be empty if the sender does not know it.
type RequestArgs struct {
	Meta
	Request  string
	Ticket   string
	Customer string
	Holder   string
}

// RequestReply is the reply to Cancel, Confirm and Revoke.
type RequestReply struct {
	Meta
	Verdict Verdict
}

// HelloArgs is the first message to a peer and also serves as a heartbeat.
type HelloArgs struct {
	Meta
	Confirmed time.Duration // time since the sender last confirmed that its configuration is the newest; negative if it never did
}

// HelloReply describes the peer. Window is the open ticket window if the peer is
// an agent.
type HelloReply struct {
	Meta
	Service       string
	FailureDomain string
	Leaving       bool
	Window        uint64
	Load          Load
	Confirmed     time.Duration // as in HelloArgs
}

// Load is the load that an agent reports for its upstream.
type Load struct {
	InFlight int     // requests admitted and not finished
	Queued   int     // requests waiting in the agent's queue
	Tokens   int     // sum of SubmitArgs.PromptLoad over the running requests
	Mean     float64 // mean load from which the agent computes its bound; negative if unknown
	Bound    int     // largest load that the agent admits
}

// ConfigArgs asks a peer for a configuration newer than version After.
type ConfigArgs struct {
	Meta
	After uint64
}

// ConfigUpdate carries a configuration or, if Base is not 0, the delta to it from
// version Base. Encoded is empty if there is no update.
type ConfigUpdate struct {
	Version uint64
	Base    uint64
	Encoded []byte
}

// ConfigReply carries an update to a version newer than the requested one, if the
// peer has one.
type ConfigReply struct {
	Meta
	ConfigUpdate
}

// OfferArgs sends a configuration to a peer that appears to have an older one.
type OfferArgs struct {
	Meta
	ConfigUpdate
}

// OfferReply is the reply to OfferArgs. Its Meta contains the version now in
// force at the peer.
type OfferReply struct {
	Meta
}
