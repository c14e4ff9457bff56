package gateway

import (
	"bytes"
	"cmp"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errNotContinued means that an upstream's answer does not go on after the last event that was
// delivered.
var errNotContinued = errors.New("answer does not continue the stream")

// streamPosition is the place after which a stream is to be continued.
type streamPosition struct {
	lastID string // of the last event that was delivered; empty if there is none
	next   string // identifier of the next event; empty if it cannot be told
}

// position returns the place after the events that were delivered. If each of two or more,
// comments included, raised the identifier by one, the next event does so too.
func (req *request) position() streamPosition {
	p := streamPosition{lastID: cmp.Or(req.deliveredEventID, req.LastEventID)}
	last, err := strconv.ParseInt(p.lastID, 10, 64)
	if err != nil {
		return p
	}
	start, _ := strconv.ParseInt(req.LastEventID, 10, 64) // 0 if the stream began at its start
	if req.deliveredEvents >= 2 && last-start == int64(req.deliveredEvents) {
		p.next = strconv.FormatInt(last+1, 10)
	}
	return p
}

// follows reports whether an event with the identifier may be the next one.
func (p streamPosition) follows(id string) bool {
	switch {
	case p.lastID == "":
		return true // only comments were delivered
	case p.next != "":
		return id == p.next
	}
	last, errLast := strconv.ParseInt(p.lastID, 10, 64)
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || errLast != nil {
		return id != "" && id != p.lastID
	}
	return n > last
}

// check checks that the first of the events that is no comment may be the next one. found is
// false if there are only comments.
func (p streamPosition) check(events []byte) (found bool, err error) {
	for len(events) > 0 {
		var event []byte
		event, events = cutEvent(events)
		if isComment(event) {
			continue
		}
		if id, _ := lastEventID(event); !p.follows(string(id)) {
			return true, errNotContinued
		}
		return true, nil
	}
	return false, nil
}

// cutEvent returns the first of complete events and the rest.
func cutEvent(events []byte) (event, rest []byte) {
	var s eventScanner
	for i := range events {
		if s.scan(events[i:i+1]) > 0 {
			return events[:i+1], events[i+1:]
		}
	}
	return events, nil
}

// isComment reports whether events have no fields.
func isComment(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// canContinue reports whether another upstream can continue the answer: it is none, or the
// place after its last event can be named.
func (req *request) canContinue() bool { return !req.headWritten || !req.unidentified }
