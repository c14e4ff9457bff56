package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"github.com/shoenig/test/must"
)

// raw answers with text after the head of a success of the attempt, and closes or resets the
// connection.
func raw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = buffered.WriteString(strings.ReplaceAll(text, "ATTEMPT", attemptID+": "+w.Header().Get(attemptID)+"\r\n"))
		_ = buffered.Flush()
		if reset {
			time.Sleep(20 * time.Millisecond) // a reset drops what the caller has not read
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Heads of answers.
const (
	identified = " OK\r\nATTEMPT"
	signed     = identified + signature + ": other\r\nContent-Type: text/event-stream\r\n"
	chunkedEnd = "0\r\n\r\n"
)

// chunk returns text as one chunk.
func chunk(text string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// continuing continues a stream after any event.
func continuing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(signature, "third")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events(w, last+1, 4)
}

// firstParts are streams that break off after two events.
var firstParts = map[string]http.HandlerFunc{
	"chunked, reset":  raw("HTTP/1.1 200"+signed+chunk(twoEvents), true),
	"chunked, closed": raw("HTTP/1.1 200"+signed+chunk(twoEvents+"id: 3\nda"), false),
	"close, closed":   raw("HTTP/1.1 200"+signed+"\r\n"+twoEvents+"id: 3\nda", false),
	"length, closed":  raw("HTTP/1.1 200"+signed+"Content-Length: 1000\r\n\r\n"+twoEvents+"id: 3", false),
}

// oddContinuation is what an upstream does that is asked to continue a stream after its
// second event.
type oddContinuation struct {
	name   string
	handle http.HandlerFunc // nil if there is no such upstream
}

func oddContinuations() []oddContinuation {
	const errorText, notTheStream = "error: the engine is overloaded", "id: 3\ndata: other\n\nid: 4\ndata: other\n\n"
	withLength := func(status, fields, body string) http.HandlerFunc {
		return raw(fmt.Sprintf("HTTP/1.1 %s%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body), false)
	}
	chunked := func(body string) http.HandlerFunc { return raw("HTTP/1.1 200"+signed+chunk(body)+chunkedEnd, false) }
	notExecuted := identified + notRun + ": 1\r\n"
	return []oddContinuation{
		{"no upstream", nil},
		{"refused 503", withLength("503", notExecuted, errorText)},
		{"refused 429", withLength("429", notExecuted, errorText)},
		{"refused 421", withLength("421", identified, errorText)},
		{"503 without a promise", withLength("503", signed, errorText)},
		{"500", withLength("500", signed, errorText)},
		{"500 with an event", withLength("500", signed, event(3))},
		{"500 unsigned", withLength("500", identified, errorText)},
		{"404", withLength("404", signed, errorText)},
		{"302", withLength("302", signed+"Location: /x\r\n", errorText)},
		{"unsigned", withLength("200", identified, notTheStream)},
		{"encoded", withLength("200", signed+"Content-Encoding: gzip\r\n", notTheStream)},
		{"other type", withLength("200", identified+signature+": x\r\nContent-Type: application/json\r\n", `{"error":"overloaded"}`)},
		{"page", withLength("200", identified+signature+": x\r\nContent-Type: text/html\r\n", "<html>\n\n<p>overloaded\n\n</html>\n\n")},
		{"whole, with a length", withLength("200", signed, event(3)+event(4))},
		{"whole, in chunks", chunked(event(3) + event(4))},
		{"whole, after a comment", chunked(": continued\n\n" + event(3) + event(4))},
		{"no content", raw("HTTP/1.1 204"+signed+"\r\n", false)},
		{"not modified", raw("HTTP/1.1 304"+signed+"\r\n", false)},
		{"reset content", withLength("205", signed, "")},
		{"empty with a length", withLength("200", signed, "")},
		{"empty in chunks", raw("HTTP/1.1 200"+signed+"Transfer-Encoding: chunked\r\n\r\n"+chunkedEnd, false)},
		{"empty, closed", raw("HTTP/1.1 200"+signed+"\r\n", false)},
		{"comment and end", chunked(": continued\n\n")},
		{"from the start", chunked(event(1) + event(2) + event(3) + event(4))},
		{"last event again", chunked(event(2) + event(3) + event(4))},
		{"event left out", chunked(event(4))},
		{"event without an identifier", chunked("data: piece 3\n\n" + event(4))},
		{"error text", chunked(errorText)},
		{"error text as an event", chunked(errorText + "\n\n")},
		{"error text before the events", chunked(errorText + "\n\n" + event(3) + event(4))},
		{"error text after an event", chunked(event(3) + errorText)},
		{"status 000", raw("HTTP/1.1 000"+signed+"\r\nHTTP/1.1 200"+signed+chunk(event(4))+chunkedEnd, false)},
		{"status 099", raw("HTTP/1.1 099"+signed+chunk(event(4))+chunkedEnd, false)},
		{"status +20", raw("HTTP/1.1 +20"+signed+"\r\nHTTP/1.1 200"+signed+chunk(event(3)+event(5))+chunkedEnd, false)},
		{"blank in a name", raw("HTTP/1.1 200"+signed+"X Y: 1\r\n"+chunk(event(3)+event(5))+chunkedEnd, false)},
		{"blank before the colon", raw("HTTP/1.1 200"+signed+"Content-Length : 5\r\n\r\n"+event(3)+event(5), false)},
		{"half a head", raw("HTTP/1.1 200 OK\r\nATTEMPTContent-", false)},
		{"half a head, reset", raw("HTTP/1.1 200 OK\r\nATTEMPTContent-", true)},
		{"no head", raw(errorText+"\r\n\r\n", false)},
		{"nothing", raw("", false)},
		{"breaks off again", raw("HTTP/1.1 200"+signed+chunk(event(3)+"id: 4"), false)},
	}
}

// protos are the versions of HTTP that callers use.
var protos = []string{"HTTP/1.1", "HTTP/1.0"}

// callRaw sends a request over a connection of its own. It returns the body of the response,
// without the framing, and whether the response ended in order, as its caller sees it.
func (f *fixture) callRaw(t *testing.T, proto, path string) (body string, whole bool) {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: h.example\r\n%s: attempt-1\r\nAuthorization: Bearer key\r\n%s: 2000\r\nContent-Length: 2\r\n\r\n{}", path, proto, attemptID, deadline)
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", false // a reset may overtake the head
	}
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "", response.Header.Get(notRun))
	p, err := io.ReadAll(response.Body)
	must.True(t, err == nil || proto == "HTTP/1.0" || errors.Is(err, io.ErrUnexpectedEOF))
	return string(p), err == nil
}

// A stream breaks off after two events, and the upstream that is to continue it does something
// else. The caller must get whole events of the stream in order, and an end that looks
// complete only behind the last one: it got the text of errors, events twice, or the end
// of the other answer for that of the stream.
func TestBrokenStreamIsContinuedOrCut(t *testing.T) {
	for _, proto := range protos {
		for framing, first := range firstParts {
			for _, odd := range oddContinuations() {
				for _, third := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/third %v", proto, framing, odd.name, third), func(t *testing.T) {
						t.Parallel()
						var runs atomic.Int64
						handle := func(w http.ResponseWriter, r *http.Request) {
							switch n := runs.Add(1); {
							case n == 1:
								first(w, r)
							case n == 2 && odd.handle != nil:
								odd.handle(w, r)
							default:
								continuing(w, r)
							}
						}
						replicas := []*replica{newReplica(t, "i-1", handle)}
						if odd.handle != nil {
							replicas = append(replicas, newReplica(t, "i-2", handle))
						}
						if third {
							replicas = append(replicas, newReplica(t, "i-3", handle))
						}
						f := newFixture(t, replicas...)
						f.setRoutes(len(replicas)+1, time.Minute)
						body, whole := f.callRaw(t, proto, "/resume/")
						body = strings.ReplaceAll(body, ": continued\n\n", "")
						if whole {
							must.Eq(t, wholeStream, body)
							return
						}
						must.StrHasPrefix(t, body, wholeStream)
						must.True(t, strings.HasSuffix(body, "\n\n") || body == "" || proto == "HTTP/1.0")
						must.False(t, third || strings.HasPrefix(odd.name, "whole"), must.Sprintf("not continued after %q", body))
					})
				}
			}
		}
	}
}

// pausingAtEvents sends events one at a time, and breaks off.
func pausingAtEvents(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "first")
		for event := range strings.SplitAfterSeq(text, "\n\n") {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}
}

// A stream whose events have no identifiers breaks off. There is no place to go on at: another
// upstream would begin at the start.
func TestStreamWithoutIdentifiersIsNotContinued(t *testing.T) {
	const events = "data: one\n\ndata: two\n\n"
	for _, c := range []struct {
		name, first string
		continued   bool
	}{
		{"events", ": begin\n\n" + events, false},
		{"comments", ": begin\n\n", true},
		{"long identifier", ": begin\n\nid: 1\ndata: one\n\nid: " + strings.Repeat("1", 2<<10) + "\ndata: two\n\n", false},
		{"identifier taken back", ": begin\n\nid: 1\ndata: one\n\nid\n:\nid:\ndata: two\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			handle := firstThen(pausingAtEvents(c.first), raw("HTTP/1.1 200"+signed+chunk(events)+chunkedEnd, false))
			one, two := newReplica(t, "i-1", handle), newReplica(t, "i-2", handle)
			f := newFixture(t, one, two)
			body, whole := f.callRaw(t, "HTTP/1.1", "/resume/")
			must.Eq(t, c.continued, whole)
			must.True(t, body == c.first || c.continued && body == c.first+events)
			must.Eq(t, c.continued, one.runs.Load()+two.runs.Load() == 2)
		})
	}
}

// Guards against an identifier of an event that is sent to the next upstream though it has a
// control byte: the request is another one there, or none. The stream must be cut at once; with an
// identifier behind it that can be sent it must go on.
func TestStreamIsNotContinuedAfterAnIdentifierWithAControlByte(t *testing.T) {
	const last = "id: 9\ndata: x\n\n"
	for b := range 128 {
		if b >= 32 && b != 127 || b == '\n' || b == '\r' {
			continue
		}
		ids := []string{"5\x01" + string(rune(b)), string(rune(b)) + "\x015"}
		if b != '\t' { // which a value may have inside
			ids = append(ids, "5"+string(rune(b))+"6")
		}
		for _, id := range ids {
			odd := "id: 1\ndata: x\n\nid: " + id + "\ndata: x\n\n"
			for first, continued := range map[string]bool{odd: false, odd + "id: 8\ndata: x\n\n": true} {
				handle := firstThen(raw("HTTP/1.1 200"+signed+chunk(first), false), raw("HTTP/1.1 200"+signed+chunk(last)+chunkedEnd, false))
				one, two := newReplica(t, "i-1", handle), newReplica(t, "i-2", handle)
				f := newFixture(t, one, two)
				body, whole := f.callRaw(t, "HTTP/1.1", "/resume/")
				must.Eq(t, continued, whole, must.Sprintf("%q", first))
				must.True(t, body == first || continued && body == first+last)
				must.Eq(t, continued, one.runs.Load()+two.runs.Load() == 2)
				must.StrContains(t, f.gateway.Metrics().String(), `"unwritable_heads": 0`)
			}
		}
	}
}

// An upstream whose events have no identifiers falls silent. No other one can go on in its
// place.
func TestSilentStreamWithoutIdentifiersGetsNoStandby(t *testing.T) {
	const events = "data: one\n\n"
	silent := newReplica(t, "i-silent", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "first")
		_, _ = io.WriteString(w, events)
		w.(http.Flusher).Flush()
		time.Sleep(1500 * time.Millisecond) // longer than any silence that is tolerated
		_, _ = io.WriteString(w, "data: two\n\n")
	})
	other := newReplica(t, "i-other", ending("chunked", events))
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	body, whole := f.callRaw(t, "HTTP/1.1", "/resume/")
	must.True(t, whole)
	must.Eq(t, events+"data: two\n\n", body)
	must.Zero(t, other.runs.Load())
}

// While an upstream is silent, a standby attempt answers with something else than the next
// event. It must not take over.
func TestStandbyThatDoesNotContinueDoesNotTakeOver(t *testing.T) {
	for name, body := range map[string]string{"from the start": wholeStream, "empty": "", "error": "error: overloaded\n\n", "left out": event(4)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, other := newReplica(t, "i-silent", pausing), newReplica(t, "i-other", ending("chunked", body))
			f := newFixture(t, silent)
			go listLater(f, silent, other)
			got, whole := f.callRaw(t, "HTTP/1.1", "/resume/")
			must.True(t, whole)
			must.Eq(t, wholeStream, got)
		})
	}
}

// Identifiers may rise by any amount, be no numbers, or go on behind those that the caller
// has. A stream must be continued all the same.
func TestStreamIsContinuedWithAnyIdentifiers(t *testing.T) {
	for _, c := range []struct{ name, resumed, first, second string }{
		{"gaps", "", "id: 5\ndata: x\n\nid: 10\ndata: x\n\n", "id: 15\ndata: x\n\n"},
		{"gap after the first", "", "id: 1\ndata: x\n\n", "id: 6\ndata: x\n\n"},
		{"gap behind others", "", "id: 1\ndata: x\n\nid: 3\ndata: x\n\n", "id: 7\ndata: x\n\n"},
		{"text", "", "id: a-1\ndata: x\n\n", "id: a-2\ndata: x\n\n"},
		{"large", "", "id: 99999999999999999999999\ndata: x\n\n", "id: 99999999999999999999998\ndata: x\n\n"},
		{"resumed", "7", "id: 8\ndata: x\n\n", "id: 9\ndata: x\n\n"},
		{"resumed, with a gap", "7", "id: 9\ndata: x\n\n", "id: 12\ndata: x\n\n"},
		{"resumed, with a comment", "7", ": begin\n\n", "id: 8\ndata: x\n\n"},
		{"other line ends", "", "id: 1\r\ndata: x\r\n\r\n", ": continued\r\n\r\nid:2\r\ndata: x\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			handle := firstThen(raw("HTTP/1.1 200"+signed+chunk(c.first), false), raw("HTTP/1.1 200"+signed+chunk(c.second)+chunkedEnd, false))
			f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
			r := f.newRequest(t, http.MethodPost, "/resume/", "{}")
			if c.resumed != "" {
				r.Header.Set("Last-Event-Id", c.resumed)
			}
			_, body := f.do(t, r)
			must.Eq(t, c.first+c.second, body)
		})
	}
}

// protocolPanicking panics at the second answer of an upstream.
type protocolPanicking struct {
	platform.Protocol
	answers *atomic.Int64
}

func (p protocolPanicking) ReadAnswer(status int, h http.Header) gateway.Answer {
	if p.answers.Add(1) == 2 {
		panic("unexpected value")
	}
	return p.Protocol.ReadAnswer(status, h)
}

// brokenAfterTwo breaks off again a stream that is to be continued after its second event.
func brokenAfterTwo(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event-Id") == "2" {
		raw("HTTP/1.1 200"+signed+chunk(event(3)+"id: 4"), false)(w, r)
		return
	}
	continuing(w, r)
}

// A stream breaks off, and the router cannot have it continued. The caller must see that it is
// not whole.
func TestBrokenStreamThatCannotBeContinuedIsCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*gateway.Options)
		second http.HandlerFunc
		during func(*fixture)
	}{
		{name: "no retry left", change: func(o *gateway.Options) { o.Policy.RetryRatio, o.Policy.RetryExtra = 1e-9, 1 }, second: brokenAfterTwo},
		{name: "panic", change: func(o *gateway.Options) { o.Protocol = protocolPanicking{answers: &atomic.Int64{}} }, second: continuing},
		{name: "deadline", second: mute},
		{name: "stop", second: mute, during: func(f *fixture) { f.gateway.CancelRequests() }},
		{name: "no upstream listed any more", second: refusing, during: func(f *fixture) { f.setUpstreams() }},
		{name: "route without repeats", second: continuing},
	} {
		for _, proto := range protos {
			t.Run(c.name+"/"+proto, func(t *testing.T) {
				t.Parallel()
				var f *fixture
				handle := firstThen(firstParts["chunked, closed"], func(w http.ResponseWriter, r *http.Request) {
					if c.during != nil {
						c.during(f)
					}
					c.second(w, r)
				})
				f = newFixtureWith(t, func(o *gateway.Options) {
					if c.change != nil {
						c.change(o)
					}
				}, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle), newReplica(t, "i-3", handle))
				f.setRoutes(4, time.Minute)
				path := "/resume/"
				if c.name == "route without repeats" {
					path = "/stream/"
				}
				body, whole := f.callRaw(t, proto, path)
				must.False(t, whole)
				must.StrHasPrefix(t, body, wholeStream)
			})
		}
	}
}

// A large plain answer without a length breaks off. Over HTTP/1.0 it ends with the connection,
// as a whole one does.
func TestBrokenPlainAnswerDoesNotLookComplete(t *testing.T) {
	for _, proto := range protos {
		for name, answer := range map[string]string{
			"chunked": "HTTP/1.1 200" + signed + chunk(strings.Repeat("x", 100<<10)),
			"length":  "HTTP/1.1 200" + signed + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100<<10),
		} {
			t.Run(proto+"/"+name, func(t *testing.T) {
				f := newFixture(t, newReplica(t, "i-1", raw(answer, false)))
				_, whole := f.callRaw(t, proto, "/once/")
				must.False(t, whole)
			})
		}
		t.Run(proto+"/whole", func(t *testing.T) {
			f := newFixture(t, newReplica(t, "i-1", raw("HTTP/1.1 200"+signed+chunk(wholeStream)+chunkedEnd, false)))
			for _, path := range []string{"/once/", "/stream/"} {
				body, whole := f.callRaw(t, proto, path)
				must.True(t, whole)
				must.Eq(t, wholeStream, body)
			}
		})
	}
}
