package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is read completely
	// before any of it is delivered, so that one that breaks off can still be
	// replaced by another attempt or an error response.
	bufferedAnswerBytes = 64 << 10
	// relayBufferBytes is the size of the buffer between an upstream and a caller.
	relayBufferBytes = 4 << 10
	// maxEventBytes limits the size of a partial event that is buffered.
	maxEventBytes = 256 << 10
	// writeDeadlineSlack is added to the request's deadline for writes to a
	// caller.
	writeDeadlineSlack = 250 * time.Millisecond
)

// drainBody reads a small body to its end and reports whether it reached the end.
func drainBody(r *forward.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, bufferedAnswerBytes))
	return err == nil && n < bufferedAnswerBytes
}

// deliver delivers the answer to the caller.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, req *request, s *send, watch *standbyWatch) (end, retry.Failure, string) {
	body := answerReader{g, s, watch}
	if s.events != nil {
		return g.deliverStream(ctx, w, req, s, body)
	}
	return g.deliverBuffered(ctx, w, req, s, body)
}

// deliverBuffered delivers an answer once it is complete, or piece by piece if it
// exceeds bufferedAnswerBytes.
func (g *Gateway) deliverBuffered(ctx context.Context, w http.ResponseWriter, req *request, s *send, body io.Reader) (end, retry.Failure, string) {
	r := s.response
	var buffered bytes.Buffer
	_, err := io.Copy(&buffered, io.LimitReader(body, bufferedAnswerBytes))
	req.firstByte = time.Since(req.arrived)
	if err != nil {
		r.Close(false)
		return g.classifyBrokenAnswer(ctx, req, s, err)
	}
	complete := buffered.Len() < bufferedAnswerBytes
	g.writeHead(w, req, r)
	_, _ = w.Write(buffered.Bytes()) // a caller that disconnected is noticed through the context
	if !complete {
		if _, err = io.Copy(w, body); err != nil {
			r.Close(false)
			return end{kind: endCut, reason: "large answer broke off"}, 0, resultCut
		}
	}
	r.Close(true)
	return end{kind: endAnswered}, 0, resultAnswered
}

// writeHead writes the status and headers of an answer.
func (g *Gateway) writeHead(w http.ResponseWriter, req *request, r *forward.Response) {
	h := w.Header()
	for name, values := range g.opts.Protocol.CallerHeader(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if r.Length >= 0 && !req.route.IsStream() {
		h["Content-Length"] = r.Header["Content-Length"]
	}
	w.WriteHeader(r.Status)
	req.headWritten = true
}

// classifyBrokenAnswer classifies an answer that ended before it was complete.
func (g *Gateway) classifyBrokenAnswer(ctx context.Context, req *request, s *send, err error) (end, retry.Failure, string) {
	switch s.canceled() {
	case errSuperseded:
		return g.superseded(req, s)
	case errNotNeeded:
		return end{}, retry.FailureMayHaveRun, resultNotNeeded
	}
	err = g.attributeFailure(ctx, s.key(), err)
	switch {
	case req.http.Context().Err() != nil:
		return end{kind: endCallerLeft, reason: "caller left"}, 0, resultCallerLeft
	case ctx.Err() != nil:
		e := g.interrupted()
		return e, 0, e.reason // a part that was delivered makes it cut
	}
	e := failed(http.StatusBadGateway, "upstream's answer broke off: "+err.Error())
	if req.headWritten {
		return e, retry.FailureCut, resultCut
	}
	return e, retry.FailureMayHaveRun, resultCut
}

// deliverStream delivers events as they arrive, each once it is complete. Status
// and headers are written with the first of them.
func (g *Gateway) deliverStream(ctx context.Context, w http.ResponseWriter, req *request, s *send, body io.Reader) (end, retry.Failure, string) {
	r := s.response
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(req.deadline.Add(writeDeadlineSlack)) // if this fails, the context still ends the request
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	var events eventBuffer
	chunk := make([]byte, relayBufferBytes)
	lastRead := time.Now()
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			now := time.Now()
			if req.headWritten {
				req.maxEventPause = max(req.maxEventPause, now.Sub(lastRead))
			}
			lastRead = now
			if ready := events.add(chunk[:n]); len(ready) > 0 {
				g.writeEvents(w, req, s, ready)
				_ = controller.Flush() // a caller that disconnected is noticed through the context
				if events.lastID != "" {
					req.deliveredEventID = events.lastID
				}
			}
		}
		if err != nil {
			s.record.partialEvent = len(events.partial)
		}
		switch {
		case err == io.EOF:
			if !req.headWritten {
				g.writeHead(w, req, r)
			}
			r.Close(true)
			return end{kind: endAnswered}, 0, resultAnswered
		case err != nil:
			r.Close(false)
			return g.classifyBrokenAnswer(ctx, req, s, err)
		case len(events.partial) > maxEventBytes:
			r.Close(false)
			return end{kind: endCut, reason: "event over the limit"}, 0, resultInvalidAnswer
		}
	}
}

func (g *Gateway) writeEvents(w http.ResponseWriter, req *request, s *send, ready []byte) {
	if !req.headWritten {
		g.writeHead(w, req, s.response)
		g.bindVersion(req, s.target.upstream)
		req.firstByte = time.Since(req.arrived)
	} else {
		g.renewStream(req, s.target.upstream)
	}
	_, _ = w.Write(ready) // a caller that disconnected is noticed through the context
}
