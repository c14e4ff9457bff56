package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/problem"
)

const eventStreamType = "text/event-stream"

// doneEvent ends a chat completion stream of the OpenAI API.
var doneEvent = []byte("data: [DONE]")

// errCallerLeft says that the caller no longer takes bytes.
var errCallerLeft = errors.New("router: the caller left")

// stream relays the events of one answer to a caller. It is not safe for
// concurrent use.
type stream struct {
	router  *Router
	w       http.ResponseWriter
	control *http.ResponseController

	idPrefix string // of event identifiers: the request, or a sealed handle
	skip     int64  // events up to this offset are not sent again
	offset   int64  // bytes of the answer up to the end of the last whole event
	pending  []byte // bytes behind it
	done     []byte // the last event, held back until the answer is checked
	keep     bool   // collect what was delivered, to continue it elsewhere
	sent     []byte // events delivered to the caller
}

func (r *Router) newStream(w http.ResponseWriter, idPrefix string) *stream {
	return &stream{router: r, w: w, control: http.NewResponseController(w), idPrefix: idPrefix}
}

// begin sends the status and headers of an event stream.
func (s *stream) begin(rd *reader) {
	copyHeader(s.w.Header(), rd.header)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.Header().Set(HeaderRequest, rd.handle.request)
	s.router.setToken(s.w, rd.handle)
	s.w.WriteHeader(rd.status)
}

// relay passes an answer on, its first bytes already read, until it is whole.
func (s *stream) relay(ctx context.Context, rd *reader, first []byte) error {
	data := first
	for {
		if err := s.feed(data); err != nil {
			return err
		}
		var err error
		data, err = rd.next(ctx)
		if err == io.EOF {
			return s.finish()
		}
		if err != nil {
			return err
		}
	}
}

// feed takes bytes of the answer and sends the events that are whole.
func (s *stream) feed(data []byte) error {
	s.pending = append(s.pending, data...)
	var out []byte
	for {
		event, rest, found := cutEvent(s.pending)
		if !found {
			break
		}
		s.offset += int64(len(s.pending) - len(rest))
		s.pending = rest
		if s.offset <= s.skip {
			continue
		}
		out = s.add(out, event)
	}
	return s.send(out)
}

// add appends an event to out, the last one of the stream excepted.
func (s *stream) add(out, event []byte) []byte {
	if bytes.Equal(bytes.TrimSpace(event), doneEvent) {
		s.done = append([]byte(nil), event...)
		return out
	}
	if s.keep {
		s.sent = append(s.sent, event...)
		s.sent = append(s.sent, '\n', '\n')
	}
	out = append(out, "id: "...)
	out = append(out, eventID(s.idPrefix, s.offset)...)
	out = append(out, '\n')
	out = append(out, event...)
	return append(out, '\n', '\n')
}

// cutEvent splits off the first whole event, without its blank line.
func cutEvent(p []byte) (event, rest []byte, found bool) {
	i := bytes.Index(p, []byte("\n\n"))
	j := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case i >= 0 && (j < 0 || i < j):
		return p[:i], p[i+2:], true
	case j >= 0:
		return p[:j], p[j+4:], true
	default:
		return nil, p, false
	}
}

// send writes out to the caller at once.
func (s *stream) send(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	s.router.limitWrite(s.control)
	if _, err := s.w.Write(out); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	if err := s.control.Flush(); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	counters.Add("stream_writes", 1)
	return nil
}

// finish sends the last event once the answer has been checked.
func (s *stream) finish() error {
	if s.done == nil {
		return errNotWhole
	}
	counters.Add("answered", 1)
	return s.send(append(s.done, '\n', '\n'))
}

// abort ends a stream that has begun with an error event.
func (s *stream) abort(p problem.Problem) {
	counters.Add("problem_"+string(p.Code), 1)
	s.router.limitWrite(s.control)
	_ = problem.WriteEvent(s.w, p)
	_ = s.control.Flush()
}

// restart prepares the stream for the bytes of another engine's answer.
func (s *stream) restart(idPrefix string) {
	s.idPrefix = idPrefix
	s.skip = 0
	s.offset = 0
	s.pending = nil
	s.done = nil
}

// streamChat answers a streamed chat request. Before the first event, another
// engine may be tried; after it, another engine may continue the answer.
func (r *Router) streamChat(w http.ResponseWriter, req *http.Request, q *request, body *chatBody, ch *chooser) {
	ctx := req.Context()
	var rd *reader
	var first []byte
	err := r.attempts(ctx, q, ch, func(c place.Candidate, mayQueue bool) error {
		var err error
		if rd, err = r.handOver(ctx, q, c, mayQueue); err != nil {
			return err
		}
		if first, err = rd.next(ctx); err != nil && err != io.EOF {
			go r.release(rd.handle, "Cancel")
			return err
		}
		return nil
	})
	if err != nil {
		r.fail(w, r.idempotentProblem(err, false))
		return
	}
	if !isEventStream(rd) {
		r.passWhole(ctx, w, rd, first)
		return
	}
	s := r.newStream(w, rd.handle.request)
	s.keep = q.service.Resumes && body.N == 1
	s.begin(rd)
	err = s.relay(ctx, rd, first)
	for made := 1; err != nil && r.mayContinue(ctx, s, q, err, made); made++ {
		go r.release(rd.handle, "Cancel")
		rd, err = r.continueStream(ctx, s, q, body, ch, rd)
	}
	r.endStream(s, rd, err, req.Header.Get(HeaderResumable) == "true")
}

// endStream tells the caller and the agent how a stream ended. The agent keeps
// a resumable one until nobody has read it for some time.
func (r *Router) endStream(s *stream, rd *reader, err error, resumable bool) {
	switch {
	case err == nil:
		if !resumable {
			go r.release(rd.handle, "Confirm")
		}
	case errors.Is(err, errCallerLeft) || errors.Is(err, context.Canceled):
		counters.Add("callers_left", 1)
		if !resumable {
			r.release(rd.handle, "Cancel")
		}
	default:
		s.abort(r.idempotentProblem(err, true))
		go r.release(rd.handle, "Cancel")
	}
}

func isEventStream(rd *reader) bool {
	return rd.status == http.StatusOK && strings.HasPrefix(rd.header.Get("Content-Type"), eventStreamType)
}

// passWhole gives an engine's answer that is no event stream.
func (r *Router) passWhole(ctx context.Context, w http.ResponseWriter, rd *reader, first []byte) {
	rest, err := rd.collect(ctx)
	if err != nil {
		r.fail(w, r.idempotentProblem(err, false))
		return
	}
	go r.release(rd.handle, "Confirm")
	r.writeWhole(w, rd.handle.request, &answerWhole{status: rd.status, header: rd.header, body: append(first, rest...)})
}

// resumeStream goes on with a cut stream at the event that the caller has
// received last, through whichever router.
func (r *Router) resumeStream(w http.ResponseWriter, req *http.Request, c caller, token handle, last string) {
	request, offset, err := parseEventID(last)
	if err != nil {
		r.badRequest(w, err)
		return
	}
	h := token
	if request != token.request {
		if h, err = r.openToken(request); err != nil || h.customer != c.customer.ID {
			r.badRequest(w, errors.Newf("header %s: does not belong to the chat token", HeaderLastEventID))
			return
		}
	}
	counters.Add("resumes", 1)
	rd := r.newReader(h)
	first, err := rd.next(req.Context())
	if err != nil && err != io.EOF {
		go r.release(h, "Cancel")
		r.fail(w, r.idempotentProblem(err, true))
		return
	}
	s := r.newStream(w, request)
	s.skip = offset
	s.begin(rd)
	err = s.relay(req.Context(), rd, first)
	r.endStream(s, rd, err, req.Header.Get(HeaderResumable) == "true")
}
