package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"dandelionrill.example/fleet/internal/membudget"
	"github.com/cockroachdb/errors"
)

const (
	// minBodyBlock is the size of the first buffer for a body of unknown length, and
	// maxFirstBlock for one that states its length: a length alone reserves no more.
	minBodyBlock  = 4 << 10
	maxFirstBlock = 64 << 10
	// skippedBytes is the size of a body that is read, for skipTime, although it is not needed,
	// so that its connection can be used again. The answer waits for it.
	skippedBytes = 64 << 10
	skipTime     = 20 * time.Millisecond
	// nextBytesTime is how long the next bytes of a body are awaited that has to give way.
	nextBytesTime = 100 * time.Millisecond
	// lingerTime is for how long no bytes may arrive of a body whose request has been answered.
	// Of its rest as many bytes are dropped as a body may have, or minLingerBytes.
	lingerTime     = 500 * time.Millisecond
	minLingerBytes = 256 << 10
	lingerBuffer   = 4 << 10
)

// errNoMemory means that there was no memory for a body, or that it had to give way.
var errNoMemory = errors.New("request bodies exceed the memory limit")

// interruptRead makes a read from the caller end: soon by bytes that arrive, or at once if the
// caller has stalled. After a read that failed, net/http cannot read the rest of chunks.
func interruptRead(w http.ResponseWriter, stalled bool) {
	if stalled {
		setReadDeadline(w, time.Now().Add(-time.Second))
		return
	}
	setReadDeadline(w, time.Now().Add(nextBytesTime))
}

// setReadDeadline limits the time of reads from the caller; the zero time ends the limit.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // fails only for writers that cannot block
}

// readBody reads the complete body, until the deadline of the request. release returns the
// body's memory.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) (release func(), e end, ok bool) {
	limit := req.table.Limits.BodyBytes
	length := req.http.ContentLength
	if limit > 0 && length > limit {
		abandonBody(w, req)
		return func() {}, denied(http.StatusRequestEntityTooLarge, "body over the limit"), false
	}
	if length == 0 {
		return func() {}, end{}, true
	}
	holding := g.memory.Hold(func(stalled bool) { interruptRead(w, stalled) })
	defer func() {
		if !ok {
			holding.Release()
		}
	}()
	setReadDeadline(w, req.deadline)
	if req.stop.hasRefused() || !holding.Held() { // the deadline may have replaced that of the interruption
		interruptRead(w, true)
	}
	source := io.Reader(req.http.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, req.http.Body, limit)
	}
	body, err := readAll(source, length, limit, holding)
	if !holding.Settle() {
		err = errNoMemory
	}
	if err != nil {
		abandonBody(w, req)
		return func() {}, g.bodyEnd(req, err), false
	}
	setReadDeadline(w, time.Time{})
	req.body = body
	return holding.Release, end{}, true
}

// bodyEnd returns the end of a request whose body could not be read.
func (g *Gateway) bodyEnd(req *request, err error) end {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return refused(err.Error(), retryAfterShort)
	case errors.Is(err, os.ErrDeadlineExceeded) && g.draining.Load() != nil:
		return refusedStopping() // the deadline and the shutdown may interrupt the read together
	case errors.Is(err, os.ErrDeadlineExceeded):
		return end{kind: endRefused, status: http.StatusRequestTimeout, reason: "body has not arrived in time"}
	case errors.As(err, &tooLarge):
		return denied(http.StatusRequestEntityTooLarge, "body over the limit")
	case req.http.Context().Err() != nil:
		return end{kind: endCallerLeft, reason: "caller left while sending"}
	}
	return denied(http.StatusBadRequest, "body: "+err.Error())
}

// readAll reads a body of the given length; a negative length means unknown. limit is the size
// up to which r can be read; 0 if there is none. The memory is reserved as the body arrives.
func readAll(r io.Reader, length, limit int64, holding *membudget.Holding) ([]byte, error) {
	size := int64(minBodyBlock)
	if length >= 0 {
		size = min(length, maxFirstBlock)
	}
	if !holding.Reserve(size) {
		return nil, errNoMemory
	}
	for body := make([]byte, 0, size); ; {
		if len(body) == cap(body) {
			if body = enlarge(body, length, limit, holding); body == nil {
				return nil, errNoMemory
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case length >= 0 && int64(len(body)) == length, length < 0 && err == io.EOF:
			return body, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if holding.Progress(n); !holding.Held() {
			return nil, errNoMemory
		}
	}
}

// enlarge returns a copy of a full buffer with twice its capacity, but not more than the body
// can have; nil if there is no memory for it.
func enlarge(body []byte, length, limit int64, holding *membudget.Holding) []byte {
	former := int64(cap(body))
	size := 2 * former
	switch {
	case length >= 0:
		size = min(size, length)
	case limit > 0:
		size = min(size, limit+1) // room for the read that finds the end
	}
	if !holding.Reserve(size) {
		return nil
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	holding.Return(former)
	return larger
}

// skipBody reads a body that is not needed if it states its length and has arrived; otherwise
// the connection is closed after the answer.
func skipBody(w http.ResponseWriter, req *request) {
	r := req.http
	if r.ContentLength == 0 || r.Body == nil {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= skippedBytes && r.Header.Get("Expect") == "" {
		setReadDeadline(w, time.Now().Add(skipTime))
		if _, err := io.CopyN(io.Discard, r.Body, skippedBytes+1); err == io.EOF {
			setReadDeadline(w, time.Time{})
			return
		}
	}
	abandonBody(w, req)
}

// abandonBody makes the connection close after the answer, which does not wait for the rest of
// the body.
func abandonBody(w http.ResponseWriter, req *request) {
	req.bodyAbandoned = true
	w.Header().Set("Connection", "close")
	setReadDeadline(w, time.Now().Add(lingerTime))
}

// linger sends the answer and drops the rest of an abandoned body as long as it arrives: a
// connection that is closed while its caller sends loses the answer. The caller gives way to
// others if it stalls.
func (g *Gateway) linger(w http.ResponseWriter, req *request) {
	if req.http.Header.Get("Expect") != "" {
		return // a read would ask for the body
	}
	if http.NewResponseController(w).Flush() != nil {
		return // the caller has left
	}
	left, end := int64(minLingerBytes), req.deadline
	if req.table != nil {
		left = max(left, req.table.Limits.BodyBytes)
	}
	if end.IsZero() { // no route was found
		end = req.arrived.Add(requestTimeout(req.Meta.Deadline, 0))
	}
	holding := g.memory.Hold(func(stalled bool) { interruptRead(w, stalled) })
	defer holding.Release()
	buffer := make([]byte, lingerBuffer)
	for left > 0 && g.draining.Load() == nil && time.Now().Before(end) {
		n, err := req.http.Body.Read(buffer)
		if err != nil {
			return
		}
		left -= int64(n)
		if holding.Progress(n); !holding.Held() {
			return
		}
		setReadDeadline(w, time.Now().Add(lingerTime))
	}
}
