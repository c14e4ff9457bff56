package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/problem"
)

const eventStreamType = "text/event-stream"

// doneEvent is the last event of a chat completion stream of the OpenAI API.
var doneEvent = []byte("data: [DONE]")

// errStalled reports that no event of a stream was complete in time.
var errStalled = errors.New("router: the upstream sends no further events")

// errEndlessEvent reports that an event of a stream exceeds the size limit.
var errEndlessEvent = errors.New("router: the upstream sends an event that exceeds the size limit")

// errCallerLeft reports that a write to the caller failed.
var errCallerLeft = errors.New("router: the caller disconnected")

// stream relays the events of one answer to a caller. It is not safe for
// concurrent use.
type stream struct {
	router  *Router
	w       http.ResponseWriter
	control *http.ResponseController

	idPrefix      string    // of event identifiers: the request ID, or a sealed handle
	skipUntil     int64     // events that end at or before this offset are not sent
	offset        int64     // in the answer, of the end of the last complete event
	pending       []byte    // bytes received after that event, at most MaxAnswerBytes
	finalEvent    []byte    // the last event, sent only after the answer is verified
	keepDelivered bool      // collect delivered events so that another engine can continue
	delivered     []byte    // events delivered to the caller, if keepDelivered
	eventAt       time.Time // when the last event was received and sent, or the first bytes arrived
}

func (r *Router) newStream(w http.ResponseWriter, idPrefix string) *stream {
	return &stream{router: r, w: w, control: http.NewResponseController(w), idPrefix: idPrefix}
}

// writeHeader sends the status and headers of an event stream.
func (s *stream) writeHeader(rd *answerReader) {
	copyHeader(s.w.Header(), rd.header)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.Header().Set(HeaderRequest, rd.handle.request)
	s.router.setToken(s.w, rd.handle)
	s.w.WriteHeader(rd.status)
}

// relay forwards an answer until it is complete. first holds the bytes that
// were already read.
func (s *stream) relay(ctx context.Context, rd *answerReader, first []byte) error {
	data := first
	s.eventAt = time.Now()
	for {
		if err := s.forward(data); err != nil {
			return err
		}
		var err error
		data, err = s.next(ctx, rd)
		if err == io.EOF {
			return s.finish()
		}
		if err != nil {
			return err
		}
	}
}

// next returns the next bytes of the answer. It returns errStalled if no event is complete
// within EventTimeout: bytes that end no event are no progress, and an engine may send them
// without end.
func (s *stream) next(ctx context.Context, rd *answerReader) ([]byte, error) {
	if s.finalEvent != nil {
		return rd.next(ctx)
	}
	bounded, cancel := context.WithDeadline(ctx, s.eventAt.Add(s.router.opts.EventTimeout))
	defer cancel()
	data, err := rd.next(bounded)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		counters.Add("streams_stalled", 1)
		return nil, errStalled
	}
	return data, err
}

// forward adds bytes of the answer and sends the events that are complete. The time that the
// caller takes to read them does not count as a pause of the engine.
func (s *stream) forward(data []byte) error {
	from := max(0, len(s.pending)-maxEventEndBytes+1) // what comes before holds no end of an event
	s.pending = append(s.pending, data...)
	var out []byte
	before := s.offset
	defer func() {
		if s.offset > before {
			s.eventAt = time.Now()
		}
	}()
	for {
		event, rest, found := cutEvent(s.pending, from)
		if !found {
			break
		}
		from = 0
		s.offset += int64(len(s.pending) - len(rest))
		s.pending = rest
		if s.offset <= s.skipUntil {
			continue
		}
		out = s.appendEvent(out, event)
	}
	if err := s.send(out); err != nil {
		return err
	}
	if int64(len(s.pending)) > s.router.opts.MaxAnswerBytes {
		counters.Add("streams_stalled", 1)
		return errEndlessEvent
	}
	return nil
}

// appendEvent appends an event to out, with its identifier. It sets the
// stream's last event aside instead.
func (s *stream) appendEvent(out, event []byte) []byte {
	if bytes.Equal(bytes.TrimSpace(event), doneEvent) {
		s.finalEvent = append([]byte(nil), event...)
		return out
	}
	if s.keepDelivered {
		s.delivered = append(s.delivered, event...)
		s.delivered = append(s.delivered, '\n', '\n')
	}
	out = append(out, "id: "...)
	out = append(out, eventID(s.idPrefix, s.offset)...)
	out = append(out, '\n')
	out = append(out, event...)
	return append(out, '\n', '\n')
}

// maxEventEndBytes is the size of the longest blank line that ends an event.
const maxEventEndBytes = len("\r\n\r\n")

// cutEvent splits off the first complete event, without the blank line that
// ends it. It looks for that line from the given offset on.
func cutEvent(p []byte, from int) (event, rest []byte, found bool) {
	i := bytes.Index(p[from:], []byte("\n\n"))
	j := bytes.Index(p[from:], []byte("\r\n\r\n"))
	switch {
	case i >= 0 && (j < 0 || i < j):
		return p[:from+i], p[from+i+2:], true
	case j >= 0:
		return p[:from+j], p[from+j+4:], true
	default:
		return nil, p, false
	}
}

// send writes out to the caller and flushes it.
func (s *stream) send(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	s.router.setWriteDeadline(s.control)
	if _, err := s.w.Write(out); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	if err := s.control.Flush(); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	counters.Add("stream_writes", 1)
	return nil
}

// finish sends the last event. It is called after the answer has been
// verified.
func (s *stream) finish() error {
	if s.finalEvent == nil {
		return errIncomplete
	}
	counters.Add("answered", 1)
	return s.send(append(s.finalEvent, '\n', '\n'))
}

// abort ends a stream that has already started with an error event.
func (s *stream) abort(p problem.Problem) {
	counters.Add("problem_"+string(p.Code), 1)
	s.router.setWriteDeadline(s.control)
	_ = problem.WriteEvent(s.w, p)
	_ = s.control.Flush()
}

// restart resets the stream for the answer of another engine.
func (s *stream) restart(idPrefix string) {
	s.idPrefix = idPrefix
	s.skipUntil = 0
	s.offset = 0
	s.pending = nil
	s.finalEvent = nil
}

// streamChat handles a streamed chat request. Until the first bytes arrive,
// the request may be retried on another engine; after that, another engine may
// continue the answer.
func (r *Router) streamChat(w http.ResponseWriter, req *http.Request, q *request, body *chatBody, upstreams *upstreamIterator) {
	ctx := req.Context()
	var rd *answerReader
	var first []byte
	err := r.tryUpstreams(ctx, q, upstreams, func(c place.Candidate, mayQueue bool) error {
		var err error
		if rd, err = r.submitIdempotent(ctx, q, c, mayQueue); err != nil {
			return err
		}
		if first, err = rd.next(ctx); err != nil && err != io.EOF {
			go r.release(rd.handle, "Cancel")
			return err
		}
		return nil
	})
	if err != nil {
		r.writeProblem(w, r.idempotentProblem(err, false))
		return
	}
	if !isEventStream(rd) {
		r.forwardUnstreamed(ctx, w, rd, first)
		return
	}
	s := r.newStream(w, rd.handle.request)
	s.keepDelivered = q.service.Resumes && body.N == 1
	s.writeHeader(rd)
	err = s.relay(ctx, rd, first)
	for attempt := 1; err != nil && r.mayContinue(ctx, s, q, err, attempt); attempt++ {
		go r.release(rd.handle, "Cancel")
		rd, err = r.continueStream(ctx, s, q, body, upstreams, rd)
	}
	r.endStream(s, rd, err, req.Header.Get(HeaderResumable) == "true")
}

// endStream reports the end of a stream to the caller and the agent. A
// resumable stream is not released: the agent keeps it until nobody has read
// it for some time.
func (r *Router) endStream(s *stream, rd *answerReader, err error, resumable bool) {
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

func isEventStream(rd *answerReader) bool {
	return rd.status == http.StatusOK && strings.HasPrefix(rd.header.Get("Content-Type"), eventStreamType)
}

// forwardUnstreamed writes an engine's answer that is not an event stream.
func (r *Router) forwardUnstreamed(ctx context.Context, w http.ResponseWriter, rd *answerReader, first []byte) {
	rest, err := rd.readAll(ctx)
	if err != nil {
		r.writeProblem(w, r.idempotentProblem(err, false))
		return
	}
	go r.release(rd.handle, "Confirm")
	r.writeAnswer(w, rd.handle.request, &completeAnswer{status: rd.status, header: rd.header, body: append(first, rest...)})
}

// resumeStream resumes an interrupted stream after the last event that the
// caller received. Any router can resume it.
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
	rd := r.newAnswerReader(h)
	first, err := rd.next(req.Context())
	if err != nil && err != io.EOF {
		go r.release(h, "Cancel")
		r.writeProblem(w, r.idempotentProblem(err, true))
		return
	}
	s := r.newStream(w, request)
	s.skipUntil = offset
	s.writeHeader(rd)
	err = s.relay(req.Context(), rd, first)
	r.endStream(s, rd, err, req.Header.Get(HeaderResumable) == "true")
}
