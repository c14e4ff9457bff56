package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/internal/membudget"
	"github.com/cockroachdb/errors"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is read completely
	// before any of it is delivered, so that one that breaks off can still be
	// replaced by another attempt or an error response.
	bufferedAnswerBytes = 64 << 10
	// relayBufferBytes is the size of the buffer between an upstream and a caller.
	relayBufferBytes = 4 << 10
	// heldAnswerBytes is the size from which on an answer counts as memory held for its caller.
	heldAnswerBytes = 16 << 10
	// writeDeadlineSlack is added to the request's deadline for writes to a
	// caller.
	writeDeadlineSlack = 250 * time.Millisecond
	// answerWriteTime is the least time that a caller has to read an answer that is not a
	// stream: bufferedAnswerBytes at 13 kB a second. Without a limit, a caller that reads
	// nothing holds the goroutine and the body of its request.
	answerWriteTime = 5 * time.Second
)

// drainBody reads a small body to its end and reports whether it reached the end.
func drainBody(r *forward.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, bufferedAnswerBytes))
	return err == nil && n < bufferedAnswerBytes
}

// deliver delivers the answer to the caller.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, req *request, s *send, watch *standbyWatch) (end, retry.Failure, string) {
	if s.events != nil {
		return g.deliverStream(ctx, w, req, s, watch)
	}
	return g.deliverBuffered(ctx, w, req, s, watch)
}

// errFailureTooLong means that an upstream's failure exceeds bufferedAnswerBytes and names
// no length.
var errFailureTooLong = errors.New("failure over the limit")

// deliverBuffered delivers an answer once it is complete, or piece by piece if it
// exceeds bufferedAnswerBytes.
func (g *Gateway) deliverBuffered(ctx context.Context, w http.ResponseWriter, req *request, s *send, watch *standbyWatch) (end, retry.Failure, string) {
	r, body := s.response, answerReader{g, s, watch}
	var buffered bytes.Buffer
	complete, err := s.readBuffered(body, &buffered)
	if err == nil && !complete && r.Status >= http.StatusMultipleChoices && r.Framing != forward.FramingLength {
		err = errFailureTooLong
	}
	if err != nil {
		r.Close(false)
		return g.classifyBrokenAnswer(ctx, req, s, err)
	}
	if !watch.proceed() {
		r.Close(false)
		return g.superseded(req, s)
	}
	req.firstByte = time.Since(req.arrived)
	if complete {
		r.Close(true) // a caller that reads slowly must not occupy the upstream's connection
		if r.Status < http.StatusMultipleChoices {
			s.target.cost.finish(time.Now())
		}
		s.target.cost.end()
	}
	defer limitWriting(w, req.deadline)()
	req.turn.answered(s.key(), r.Status) // a caller that reads slowly keeps nobody waiting
	g.writeHead(w, req, r)
	holding := g.holdAnswer(w, buffered.Cap())
	if holding != nil {
		defer holding.Release() // before the time limit of the writes ends
	}
	out := deliveryWriter{g, s, w, holding}
	_, _ = out.Write(buffered.Bytes()) // a caller that disconnected is noticed through the context
	if !complete {
		if holding != nil { // from here on the upstream can be what makes no progress
			holding.Settle()
			holding.Return(int64(buffered.Cap() - heldAnswerBytes))
			out.holding = nil
		}
		buffered = bytes.Buffer{} // while the rest is relayed
		s.held.resize(0)
		if _, err = io.CopyBuffer(out, body, make([]byte, heldAnswerBytes)); err != nil {
			r.Close(false)
			return end{kind: endCut, reason: "large answer broke off"}, 0, resultCut
		}
		r.Close(true)
	}
	if r.Status < http.StatusMultipleChoices {
		g.recordAnswering(req, s, true)
	}
	return end{kind: endAnswered}, 0, resultAnswered
}

// holdAnswer reserves the memory of a buffer with an answer that its caller has yet to read. A
// caller that does not read gives way to others. The holding is nil if the buffer is small.
func (g *Gateway) holdAnswer(w http.ResponseWriter, size int) *membudget.Holding {
	if size <= heldAnswerBytes {
		return nil
	}
	holding := g.memory.Keep()
	holding.ReserveAnyway(int64(size)) // the request has run
	holding.Offer(func(bool) { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })
	return holding
}

// limitWriting limits the time to write an answer that is not a stream. The function that it
// returns ends the limit.
func limitWriting(w http.ResponseWriter, deadline time.Time) (end func()) {
	controller := http.NewResponseController(w)
	if least := time.Now().Add(answerWriteTime); deadline.Before(least) {
		deadline = least
	}
	_ = controller.SetWriteDeadline(deadline) // fails only for writers that cannot block
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// deliveryWriter writes the answer of a send to its caller.
type deliveryWriter struct {
	gateway *Gateway
	send    *send
	w       io.Writer
	holding *membudget.Holding // memory of a large answer; nil if it is small
}

// Write implements io.Writer. What counts as held is written in small pieces, each of them progress.
func (d deliveryWriter) Write(p []byte) (n int, err error) {
	d.gateway.board.Deliver(d.send.key(), func() {
		if d.holding == nil {
			n, err = d.w.Write(p)
			return
		}
		for n < len(p) && err == nil {
			var written int
			written, err = d.w.Write(p[n:min(n+relayBufferBytes, len(p))])
			n += written
			d.holding.Progress(written)
		}
	})
	return n, err
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
	if !errors.Is(err, errAnswerMemory) {
		err = g.attributeFailure(ctx, s.key(), err)
	}
	switch {
	case req.http.Context().Err() != nil:
		return end{kind: endCallerLeft, reason: "caller left"}, 0, resultCallerLeft
	case ctx.Err() != nil:
		e := g.interrupted()
		return e, 0, e.reason // a part that was delivered makes it cut
	}
	if errors.Is(err, errAnswerMemory) {
		g.metrics.answerMemory.Add(1)
	} else {
		g.recordBrokenOff(req, s, err)
	}
	e := failed(http.StatusBadGateway, "upstream's answer broke off").because(err)
	if req.headWritten {
		return e, retry.FailureCut, resultCut
	}
	return e, retry.FailureMayHaveRun, resultCut
}

// deliverStream delivers events as they arrive, each once it is complete. Status
// and headers are written with the first of them.
func (g *Gateway) deliverStream(ctx context.Context, w http.ResponseWriter, req *request, s *send, watch *standbyWatch) (end, retry.Failure, string) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(req.deadline.Add(writeDeadlineSlack)) // if this fails, the context still ends the request
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	body := answerReader{g, s, watch}
	for {
		ready, err := s.events.read(body)
		if waits := s.events.waitsForMore(); len(ready) > 0 || !waits {
			s.markDelivered(waits)
		}
		if (len(ready) > 0 || err == io.EOF) && !watch.proceed() {
			s.response.Close(false)
			return g.superseded(req, s)
		}
		if len(ready) > 0 && !req.headWritten {
			told := false
			g.board.Deliver(s.key(), func() { told = g.bindVersion(ctx, req, s.target.upstream) })
			if !told { // nothing of the stream may be delivered
				s.response.Close(false)
				return g.classifyBrokenAnswer(ctx, req, s, context.Cause(ctx))
			}
		}
		if len(ready) > 0 {
			g.board.Deliver(s.key(), func() {
				g.writeEvents(w, req, s, ready)
				_ = controller.Flush() // a caller that disconnected is noticed through the context
			})
		}
		switch {
		case err == io.EOF:
			s.target.cost.finish(time.Now())
			g.endStream(w, req, s)
			g.recordAnswering(req, s, true)
			return end{kind: endAnswered}, 0, resultAnswered
		case err != nil:
			s.record.partialEvent = len(s.events.partial)
			s.response.Close(false)
			return g.classifyBrokenAnswer(ctx, req, s, err)
		}
	}
}

// endStream delivers what is left of a stream that is complete: empty lines, if anything.
func (g *Gateway) endStream(w http.ResponseWriter, req *request, s *send) {
	if !req.headWritten {
		g.writeHead(w, req, s.response)
	}
	_, _ = w.Write(s.events.partial) // a caller that disconnected needs no more
	s.response.Close(true)
}

// writeEvents delivers complete events.
func (g *Gateway) writeEvents(w http.ResponseWriter, req *request, s *send, ready []byte) {
	now := time.Now()
	s.target.cost.progress(now, s.events.scanner.ended)
	if !req.headWritten {
		g.writeHead(w, req, s.response)
		req.firstByte = now.Sub(req.arrived)
	} else {
		req.maxEventPause = max(req.maxEventPause, now.Sub(req.lastEvent))
		g.renewStream(req, s.target.upstream)
	}
	req.lastEvent = now
	if s.firstDelivered.IsZero() {
		s.firstDelivered = now
	}
	g.recordAnswering(req, s, false)
	_, _ = w.Write(ready) // a caller that disconnected is noticed through the context
	if s.events.lastID != "" {
		req.deliveredEventID = s.events.lastID
	}
	req.deliveredEvents += s.events.scanner.ended - s.deliveredEvents
	s.deliveredEvents = s.events.scanner.ended
	req.unidentified = s.events.lostID || req.deliveredEventID == "" && (req.unidentified || !isComment(ready))
}
