package gateway

import (
	"bytes"
	"io"

	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/internal/headtext"
	"github.com/cockroachdb/errors"
)

// Errors of an upstream's stream.
var (
	// errIncompleteEvent means that a stream ended before its first event, or inside one.
	errIncompleteEvent = errors.New("stream ended inside an event")
	errEventTooLong    = errors.New("event over the limit")
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 256 << 10

// maxEventIDBytes limits the size of an identifier after which a stream can be continued. It is
// sent to the next upstream in a header.
const maxEventIDBytes = 1 << 10

// eventScanner finds the ends of events in a stream: an event ends with an empty line, and
// a line with LF, CR or CR LF.
type eventScanner struct {
	inEvent   bool // an event has begun and not ended
	lineBegun bool // the current line is not empty
	afterCR   bool // the last byte was CR
	sawEvent  bool // an event has ended
	ended     int  // events that have ended
}

// scan reads the next bytes of the stream and returns the position behind the last end of
// an event among them; 0 if there is none. Empty lines before an event belong to it.
func (s *eventScanner) scan(p []byte) int {
	end := 0
	for i, b := range p {
		switch {
		case b == '\n' && s.afterCR: // the second half of a line end
			s.afterCR = false
			if end == i && i > 0 {
				end = i + 1
			}
		case b == '\n' || b == '\r':
			s.afterCR = b == '\r'
			if !s.lineBegun && s.inEvent {
				s.inEvent, s.sawEvent, end = false, true, i+1
				s.ended++
			}
			s.lineBegun = false
		default:
			s.inEvent, s.lineBegun, s.afterCR = true, true, false
		}
	}
	return end
}

// eventReader splits the body of an answer into events. An end inside an event is an error,
// however the body is framed: the upstream has broken off.
type eventReader struct {
	scanner  eventScanner
	chunk    []byte
	partial  []byte // bytes behind the last complete event
	complete []byte // complete events that were not returned yet
	lastID   string // id of the last complete event that has one; empty if lostID
	lostID   bool   // that identifier cannot be sent in a header, or is over maxEventIDBytes
	// needsEvent is true if an end without any event is an error too: nothing shows then
	// that the answer is whole.
	needsEvent bool
	held       *heldAnswer     // accounts for partial and complete
	after      *streamPosition // of a stream to be continued, until its next event has come; nil if none
}

// newEventReader returns a reader of the events of an answer.
func newEventReader(r *forward.Response, held *heldAnswer) *eventReader {
	return &eventReader{chunk: make([]byte, relayBufferBytes), needsEvent: r.Framing == forward.FramingClose, held: held}
}

// read reads from the body once, unless complete events are left, and returns the events
// that are complete; they are valid until the next call. At the end of the body it returns
// io.EOF, or errIncompleteEvent if that is inside an event. It fails with errEventTooLong
// if an event exceeds maxEventBytes, with errAnswerMemory if other answers hold too much to
// hold it, and with errNotContinued if the events or the end do not go on at after.
func (r *eventReader) read(body io.Reader) ([]byte, error) {
	err := r.fill(body)
	events := r.complete
	r.complete = r.complete[:0]
	return events, err
}

// fill reads from the body once, unless complete events are left.
func (r *eventReader) fill(body io.Reader) error {
	if len(r.complete) > 0 {
		return nil
	}
	if cap(r.complete) > ownAnswerBytes {
		r.complete = nil // of a long event that was returned
	}
	n, err := body.Read(r.chunk)
	if !r.reserve(n) {
		return errAnswerMemory
	}
	r.add(r.chunk[:n])
	if err := r.checkContinued(err == io.EOF); err != nil {
		return err
	}
	switch {
	case err == io.EOF && (r.scanner.inEvent || r.needsEvent && !r.scanner.sawEvent):
		return errIncompleteEvent
	case err == nil && len(r.partial) > maxEventBytes:
		return errEventTooLong
	}
	return err
}

// await reads from the body until complete events are left or the body has ended.
func (r *eventReader) await(body io.Reader) error {
	for len(r.complete) == 0 {
		err := r.fill(body)
		if err == io.EOF {
			return nil
		}
		if err != nil && len(r.complete) == 0 {
			return err
		}
	}
	return nil
}

// checkContinued checks that complete events, or the end, go on at after.
func (r *eventReader) checkContinued(ended bool) error {
	if r.after == nil {
		return nil
	}
	found, err := r.after.check(r.complete)
	switch {
	case err != nil:
		r.complete = nil
		return err
	case found:
		r.after = nil
	case ended:
		return errNotContinued // an end without the next event may be that of any answer
	}
	return nil
}

// reserve makes room for n more bytes in partial. It returns false if other answers hold too
// much.
func (r *eventReader) reserve(n int) bool {
	size := cap(r.partial)
	if needed := len(r.partial) + n; needed > size {
		size = max(needed, size+size/2)
		if !r.held.resize(cap(r.partial) + size + cap(r.complete)) {
			return false
		}
		r.partial = append(make([]byte, 0, size), r.partial...)
	}
	return r.held.resize(size + cap(r.complete))
}

// add appends bytes of the body, for which there is room. No complete events may be left.
func (r *eventReader) add(p []byte) {
	boundary := r.scanner.scan(p)
	if boundary == 0 {
		r.partial = append(r.partial, p...)
		return
	}
	r.complete, r.partial = append(r.partial, p[:boundary]...), append(r.complete[:0], p[boundary:]...)
	if id, ok := lastEventID(r.complete); ok {
		r.lastID = ""
		if r.lostID = len(id) > maxEventIDBytes || !headtext.IsIdentifier(string(id)); !r.lostID {
			r.lastID = string(id)
		}
	}
}

// waitsForMore reports whether bytes have arrived that are no complete event yet. The second
// half of a line end does not count.
func (r *eventReader) waitsForMore() bool { return r.scanner.inEvent || len(r.partial) > 1 }

var idField = []byte("id:")

// lastEventID returns the last identifier in complete events, if there is one.
func lastEventID(events []byte) (id []byte, ok bool) {
	for len(events) > 0 {
		at := bytes.LastIndex(events, idField)
		if at < 0 {
			return nil, false
		}
		if at == 0 || isLineEnd(events[at-1]) {
			return bytes.TrimSpace(firstLine(events[at+len(idField):])), true
		}
		events = events[:at]
	}
	return nil, false
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

// firstLine returns the bytes before the first line end.
func firstLine(p []byte) []byte {
	if i := bytes.IndexAny(p, "\r\n"); i >= 0 {
		return p[:i]
	}
	return p
}
