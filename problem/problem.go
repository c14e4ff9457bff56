// Package problem reports errors to callers as RFC 9457 problem details, either
// in an HTTP response or as the last event of a stream of server-sent events.
package problem

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// typePrefix is the type URI of a problem without its code.
const typePrefix = "urn:dandelionrill:problem:"

// Code identifies a kind of problem. Codes are part of the API and do not change.
type Code string

// The codes.
const (
	CodeBadRequest       Code = "bad-request"
	CodeBadIdentifier    Code = "bad-identifier"
	CodeTooLarge         Code = "too-large"
	CodeSlowRequest      Code = "slow-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeUnknownService   Code = "unknown-service"
	CodeUnknownModel     Code = "unknown-model"
	CodeUnknownRequest   Code = "unknown-request"
	CodeBadTicket        Code = "bad-ticket"
	CodeTicketMismatch   Code = "ticket-mismatch"
	CodeOverload         Code = "overload"
	CodeCustomerLimit    Code = "customer-limit"
	CodeNoUpstream       Code = "no-upstream"
	CodeNoConfiguration  Code = "no-configuration"
	CodePlatformDown     Code = "platform-unavailable"
	CodeDraining         Code = "draining"
	CodeDeadline         Code = "deadline"
	CodeUpstreamLost     Code = "upstream-lost"
	CodeUpstreamFailed   Code = "upstream-failed"
	CodeResultUnknown    Code = "result-unknown"
	CodeConflict         Code = "conflict"
	CodePrecondition     Code = "precondition-required"
	CodeInvalid          Code = "invalid"
	CodeInternal         Code = "internal"
)

// Outcome tells the caller whether the request ran.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun     Outcome = "not-run"      // the request did not run and never will
	OutcomeMayHaveRun Outcome = "may-have-run" // unknown: ask again with the ticket
	OutcomeIncomplete Outcome = "incomplete"   // part of the answer was delivered
)

// Finding is one error in an input, with its location.
type Finding struct {
	Place   string `json:"place"`
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
}

// Problem is an error reported to a caller. Status and Code are required.
type Problem struct {
	Status     int
	Code       Code
	Detail     string
	Instance   string // identifies the request
	Outcome    Outcome
	RetryAfter time.Duration // 0 means that a retry is pointless
	Ticket     string        // ticket with which the caller may repeat the request
	Findings   []Finding
}

// document is the JSON representation of a Problem. Its member error repeats the
// code and the detail in the form that OpenAI client libraries read.
type document struct {
	Type       string    `json:"type"`
	Title      string    `json:"title"`
	Status     int       `json:"status"`
	Detail     string    `json:"detail,omitempty"`
	Instance   string    `json:"instance,omitempty"`
	Code       Code      `json:"code"`
	Outcome    Outcome   `json:"outcome,omitempty"`
	RetryAfter int64     `json:"retry_after_seconds,omitempty"`
	Ticket     string    `json:"ticket,omitempty"`
	Findings   []Finding `json:"findings,omitempty"`
	Error      detail    `json:"error"`
}

type detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

// MarshalJSON implements json.Marshaler.
func (p Problem) MarshalJSON() ([]byte, error) {
	message := p.Detail
	if message == "" {
		message = http.StatusText(p.Status)
	}
	return json.Marshal(document{
		Type:       typePrefix + string(p.Code),
		Title:      http.StatusText(p.Status),
		Status:     p.Status,
		Detail:     p.Detail,
		Instance:   p.Instance,
		Code:       p.Code,
		Outcome:    p.Outcome,
		RetryAfter: wholeSeconds(p.RetryAfter),
		Ticket:     p.Ticket,
		Findings:   p.Findings,
		Error:      detail{Message: message, Type: string(p.Code), Code: p.Code},
	})
}

// Write sends p as the response. It removes headers that were set for a
// successful answer and do not apply to p.
func Write(w http.ResponseWriter, p Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, http.StatusText(p.Status), p.Status)
		return
	}
	h := w.Header()
	h.Del("Content-Encoding")
	h.Del("ETag")
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(p.RetryAfter), 10))
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has disconnected, so it is ignored.
	_, _ = w.Write(body)
}

// WriteEvent sends p as the last event of a stream of server-sent events, for use
// after the response has begun.
func WriteEvent(w io.Writer, p Problem) error {
	body, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode problem event")
	}
	event := append([]byte("event: error\ndata: "), body...)
	_, err = w.Write(append(event, "\n\n"...))
	return errors.Wrap(err, "write problem event")
}

// wholeSeconds returns d in seconds, rounded up so that callers do not retry too
// early. A negative d counts as 0.
func wholeSeconds(d time.Duration) int64 {
	return int64(math.Ceil(max(d, 0).Seconds()))
}
