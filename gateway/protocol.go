// Package gateway is the request path of a router on the platform: it takes a
// caller's request, finds its route and customer, chooses an upstream, forwards
// the request, and gives it exactly one end. It decides by the packages under
// decide/ and knows no name of the wire: a Protocol translates.
package gateway

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Requests share parts; a part is of use in
// an engine's cache only behind the same parts before it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Meta is what a request says of itself.
type Meta struct {
	AttemptID       string // of this attempt of the caller; unique
	Key             string // API key; empty if none
	Deadline        time.Duration
	Model           string
	Parts           []PromptPart
	PromptTokens    int
	MaxOutputTokens int
	LastEventID     string // of a stream to go on with; empty if none
}

// Send is what the fleet adds to a request for an upstream.
type Send struct {
	UpstreamID  string // only this upstream may run it
	Customer    string
	Deadline    time.Duration // left
	Priority    *int          // nil leaves it to the upstream
	FetchFrom   string        // address of an upstream that has the prompt cached; empty if none
	LastEventID string
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	AttemptID  string
	UpstreamID string
	Signed     bool // comes from an upstream that ran the request
	NotRun     bool // the request has not run there and never will
	WrongHost  bool // another upstream has the address
	Encoded    bool // the body is not the upstream's own bytes
	Load       *ReportedLoad
}

// ReportedLoad is the load that an upstream reports with an answer.
type ReportedLoad struct {
	Running int
	Waiting int
}

// CachedPart is a prompt part that an engine has cached.
type CachedPart struct {
	Model  string
	ID     string
	Tokens int
}

// Protocol translates between the wire and the types of this package. All
// methods may be called concurrently.
type Protocol interface {
	// ReadRequest decodes the headers of a caller's request. An error means
	// that the request is malformed.
	ReadRequest(h http.Header) (Meta, error)
	// UpstreamHeader returns the headers to send to an upstream: the caller's,
	// without those of the connection, the key and those that only the fleet
	// sets, and the fleet's own.
	UpstreamHeader(caller http.Header, s Send) http.Header
	// AnswerAttempt returns the attempt that an upstream's answer belongs to.
	AnswerAttempt(h http.Header) string
	// ReadAnswer decodes the headers of an upstream's answer.
	ReadAnswer(status int, h http.Header) Answer
	// CallerHeader returns the headers of an upstream's answer that the caller
	// gets.
	CallerHeader(answer http.Header) http.Header
	// SetRefusal sets the headers of an answer of the fleet's own. A
	// retryAfter of 0 names no time.
	SetRefusal(h http.Header, attemptID string, retryAfter time.Duration)
	// CacheListTarget is the path at which an upstream lists what its engine
	// has cached.
	CacheListTarget() string
	// ReadCacheList decodes that list. Beside an error it returns the parts
	// that could be read.
	ReadCacheList(body []byte) ([]CachedPart, error)
}
