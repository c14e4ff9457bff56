package lab

import (
	_ "embed" // for wire.json
	"encoding/json"
	"strconv"
)

// wireNames are names of the platform's wire. They stand in a file of their own, since the
// project keeps them out of its code outside of its adapter and its stand-ins.
//
//go:embed wire.json
var wireNames []byte

var names = func() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(wireNames, &out); err != nil {
		panic(err)
	}
	return out
}()

// Headers of requests and answers.
var (
	HeaderAttempt   = names["attempt"]
	HeaderDeadline  = names["deadline"]
	HeaderSignature = names["signature"]
	HeaderNotRun    = names["notRun"]
	HeaderExpected  = names["expected"]
	HeaderReplica   = names["replica"]
	HeaderTenant    = names["tenant"]
	HeaderModel     = names["model"]
	HeaderTokens    = names["tokens"]
	HeaderPrompt    = names["prompt"]
)

// AnswerHead returns the head of an answer to an attempt up to its last fields, which are given
// as names and values.
func AnswerHead(status, attempt string, fields ...string) string {
	head := "HTTP/1.1 " + status + "\r\n" + HeaderAttempt + ": " + attempt + "\r\n"
	for i := 0; i+1 < len(fields); i += 2 {
		head += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return head + "\r\n"
}

// Success returns the whole answer of a replica that has run an attempt.
func Success(attempt, replica, body string) string {
	return AnswerHead("200 OK", attempt, HeaderSignature, replica+"."+attempt, "Content-Length", strconv.Itoa(len(body))) + body
}

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs               int
	Priority, MaxAttempts             int
	Sticky, Resumable                 bool
}

// Spec returns the route as it stands in a configuration.
func (r Route) Spec() map[string]any {
	spec := map[string]any{
		"name": r.Name, "host": r.Host, names["prefix"]: r.Prefix, names["kind"]: r.Kind, "timeoutMs": r.TimeoutMs,
		names["target"]: r.TargetMs, "priority": r.Priority, "service": r.Service, "maxAttempts": r.MaxAttempts, "public": false,
		"sticky": r.Sticky, "resumable": r.Resumable,
	}
	if r.Kind == "streaming" {
		spec["targetItlMs"] = 400
	}
	return spec
}

// Tenant returns a tenant as it stands in a configuration.
func Tenant(keys ...string) map[string]any {
	return map[string]any{"name": "hule930", names["keys"]: keys, "priority": 1}
}
