package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
)

const (
	// wholeAnswerBytes is the size up to which an answer is read to its end
	// before its head is delivered, so that one that breaks off is told apart.
	wholeAnswerBytes = 64 << 10
	// relayBytes is the size of the buffer between an upstream and a caller.
	relayBytes = 4 << 10
	// maxEventBytes bounds an event that is held until it is whole.
	maxEventBytes = 256 << 10
	// writeSlack is added to the deadline for writes to a caller.
	writeSlack = 250 * time.Millisecond
)

// drainBody reads a small body to its end and tells whether it got there.
func drainBody(r *forward.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, wholeAnswerBytes))
	return err == nil && n < wholeAnswerBytes
}

// deliver passes the answer on to the caller.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, req *request, key catalog.Key, r *forward.Response) (end, retry.Failure, string) {
	if req.route.Streams() && r.Status < 300 {
		return g.deliverStream(ctx, w, req, key, r)
	}
	return g.deliverWhole(ctx, w, req, key, r)
}

// deliverWhole delivers an answer once it is whole, or piece by piece if it is
// large.
func (g *Gateway) deliverWhole(ctx context.Context, w http.ResponseWriter, req *request, key catalog.Key, r *forward.Response) (end, retry.Failure, string) {
	var held bytes.Buffer
	body := listener{g, key, r}
	_, err := io.Copy(&held, io.LimitReader(body, wholeAnswerBytes))
	req.first = time.Since(req.arrived)
	if err != nil {
		r.Close(false)
		return g.brokenOff(ctx, req, key, err)
	}
	whole := held.Len() < wholeAnswerBytes
	g.writeHead(w, req, r)
	_, _ = w.Write(held.Bytes()) // a caller that left is found by the context
	if !whole {
		if _, err = io.Copy(w, body); err != nil {
			r.Close(false)
			return end{kind: endCut, reason: "large answer broke off"}, 0, resultCut
		}
	}
	r.Close(true)
	return end{kind: endAnswered}, 0, resultAnswered
}

// writeHead delivers status and headers of an answer.
func (g *Gateway) writeHead(w http.ResponseWriter, req *request, r *forward.Response) {
	h := w.Header()
	for name, values := range g.opts.Protocol.CallerHeader(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if r.Length >= 0 && !req.route.Streams() {
		h["Content-Length"] = r.Header["Content-Length"]
	}
	w.WriteHeader(r.Status)
	req.begun = true
}

// brokenOff classifies an answer that ended before it was whole.
func (g *Gateway) brokenOff(ctx context.Context, req *request, key catalog.Key, err error) (end, retry.Failure, string) {
	err = g.blame(ctx, key, err)
	switch {
	case req.http.Context().Err() != nil:
		return end{kind: endLeft, reason: "caller left"}, 0, resultLeft
	case ctx.Err() != nil && req.begun:
		return end{kind: endCut, reason: "timeout"}, 0, "timeout"
	case ctx.Err() != nil:
		return failed(http.StatusGatewayTimeout, "timeout"), 0, "timeout"
	}
	e := failed(http.StatusBadGateway, "upstream's answer broke off: "+err.Error())
	if req.begun {
		return e, retry.FailureCut, resultCut
	}
	return e, retry.FailureMayHaveRun, resultCut
}

// deliverStream passes events on as they come, each once it is whole. The head
// goes out with the first of them.
func (g *Gateway) deliverStream(ctx context.Context, w http.ResponseWriter, req *request, key catalog.Key, r *forward.Response) (end, retry.Failure, string) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(req.deadline.Add(writeSlack)) // on failure the context still ends the request
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	var events eventBuffer
	body := listener{g, key, r}
	chunk := make([]byte, relayBytes)
	last := time.Now()
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			now := time.Now()
			if req.begun {
				req.pauseMax = max(req.pauseMax, now.Sub(last))
			}
			last = now
			if ready := events.add(chunk[:n]); len(ready) > 0 {
				g.writeEvents(w, req, r, ready)
				_ = controller.Flush() // a caller that left is found by the context
				req.lastID = events.lastID
			}
		}
		switch {
		case err == io.EOF:
			if !req.begun {
				g.writeHead(w, req, r)
			}
			_, _ = w.Write(events.rest())
			r.Close(true)
			return end{kind: endAnswered}, 0, resultAnswered
		case err != nil:
			r.Close(false)
			return g.brokenOff(ctx, req, key, err)
		case len(events.held) > maxEventBytes:
			r.Close(false)
			return end{kind: endCut, reason: "event over the limit"}, 0, resultSpoiled
		}
	}
}

func (g *Gateway) writeEvents(w http.ResponseWriter, req *request, r *forward.Response, ready []byte) {
	if !req.begun {
		g.writeHead(w, req, r)
		req.first = time.Since(req.arrived)
	}
	_, _ = w.Write(ready) // a caller that left is found by the context
}

// eventBuffer splits a stream at the ends of its events.
type eventBuffer struct {
	held   []byte // the beginning of an event that is not whole
	out    []byte // returned by the last add
	lastID string // of the last whole event that has one
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes bytes of the stream and returns the whole events among what is
// held. The result is valid until the next call.
func (b *eventBuffer) add(p []byte) []byte {
	b.held = append(b.held, p...)
	cut := bytes.LastIndex(b.held, eventEnd)
	if cut < 0 {
		return nil
	}
	cut += len(eventEnd)
	b.out = append(b.out[:0], b.held[:cut]...)
	b.held = append(b.held[:0], b.held[cut:]...)
	b.noteID(b.out)
	return b.out
}

// rest returns what is held when the stream has ended.
func (b *eventBuffer) rest() []byte { return b.held }

// noteID finds the last identifier in whole events.
func (b *eventBuffer) noteID(events []byte) {
	for len(events) > 0 {
		at := bytes.LastIndex(events, idField)
		if at < 0 {
			return
		}
		if at == 0 || events[at-1] == '\n' {
			line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
			b.lastID = string(bytes.TrimSpace(line))
			return
		}
		events = events[:at]
	}
}
