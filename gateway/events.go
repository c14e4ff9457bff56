package gateway

import (
	"bytes"
	"io"

	"dandelionrill.example/fleet/forward"
	"github.com/cockroachdb/errors"
)

// errIncompleteEvent means that a stream ended before its first event, or inside one.
var errIncompleteEvent = errors.New("stream ended inside an event")

// eventScanner finds the ends of events in a stream: an event ends with an empty line, and
// a line with LF, CR or CR LF.
type eventScanner struct {
	inEvent   bool // an event has begun and not ended
	lineBegun bool // the current line is not empty
	afterCR   bool // the last byte was CR
	sawEvent  bool // an event has ended
}

// scan reads the next bytes of the stream and returns the position behind the last end of
// an event among them; 0 if there is none.
func (s *eventScanner) scan(p []byte) int {
	end := 0
	for i, b := range p {
		switch {
		case b == '\n' && s.afterCR: // the second half of a line end
			s.afterCR = false
			if !s.inEvent {
				end = i + 1
			}
		case b == '\n' || b == '\r':
			s.afterCR = b == '\r'
			if !s.lineBegun {
				s.sawEvent = s.sawEvent || s.inEvent
				s.inEvent, end = false, i+1
			}
			s.lineBegun = false
		default:
			s.inEvent, s.lineBegun, s.afterCR = true, true, false
		}
	}
	return end
}

// eventStream is the body of an answer that consists of events. An end inside an event is
// an error, however the body is framed: the upstream has broken off.
type eventStream struct {
	body    io.Reader
	scanner eventScanner
	// needsEvent is true if an end without any event is an error too: nothing shows then
	// that the answer is whole.
	needsEvent bool
}

// newEventStream returns the body of an answer as a stream.
func newEventStream(r *forward.Response) *eventStream {
	return &eventStream{body: r, needsEvent: r.Framing == forward.FramingClose}
}

// Read implements io.Reader. It returns errIncompleteEvent for an end inside an event.
func (s *eventStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.scanner.scan(p[:n])
	if err == io.EOF && (s.scanner.inEvent || s.needsEvent && !s.scanner.sawEvent) {
		return n, errIncompleteEvent
	}
	return n, err
}

// eventBuffer splits a stream at event boundaries.
type eventBuffer struct {
	scanner  eventScanner
	partial  []byte // incomplete event at the end of the stream so far
	complete []byte // complete events returned by the last add
	lastID   string // id of the last complete event that has one
}

// add appends bytes of the stream and returns the events that are now complete.
// The result is valid until the next call.
func (b *eventBuffer) add(p []byte) []byte {
	boundary := b.scanner.scan(p)
	if boundary == 0 {
		b.partial = append(b.partial, p...)
		return nil
	}
	b.complete = append(append(b.complete[:0], b.partial...), p[:boundary]...)
	b.partial = append(b.partial[:0], p[boundary:]...)
	b.recordLastID(b.complete)
	return b.complete
}

var idField = []byte("id:")

// recordLastID sets lastID to the last identifier in complete events, if there is
// one.
func (b *eventBuffer) recordLastID(events []byte) {
	for len(events) > 0 {
		at := bytes.LastIndex(events, idField)
		if at < 0 {
			return
		}
		if at == 0 || isLineEnd(events[at-1]) {
			b.lastID = string(bytes.TrimSpace(firstLine(events[at+len(idField):])))
			return
		}
		events = events[:at]
	}
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

// firstLine returns the bytes before the first line end.
func firstLine(p []byte) []byte {
	if i := bytes.IndexAny(p, "\r\n"); i >= 0 {
		return p[:i]
	}
	return p
}
