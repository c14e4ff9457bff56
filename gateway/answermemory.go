package gateway

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// ownAnswerBytes is how many bytes of an answer may be held before they are delivered
	// whatever other answers hold: several events.
	ownAnswerBytes = 4 * relayBufferBytes
	// DefaultMaxBufferedAnswerBytes is the default of Options.MaxBufferedAnswerBytes.
	DefaultMaxBufferedAnswerBytes = 32 << 20
)

// errAnswerMemory means that an event cannot be held until its end, since other answers hold
// too much. It is no fault of the upstream.
var errAnswerMemory = errors.New("answers exceed the memory limit")

// answerMemory limits the bytes of answers that are held until they can be delivered, beyond
// ownAnswerBytes of each. Its methods may be called concurrently.
type answerMemory struct {
	limit int64
	held  atomic.Int64
}

// heldAnswer is the part of an answerMemory that one send uses.
type heldAnswer struct {
	memory *answerMemory // nil means no limit
	bytes  int64         // beyond ownAnswerBytes
}

// resize sets how many bytes the send holds. It returns false, without an effect, if they are
// more than before and exceed the limit.
func (h *heldAnswer) resize(n int) bool {
	wanted := max(0, int64(n)-ownAnswerBytes)
	if h.memory == nil || wanted == h.bytes {
		return true
	}
	if total := h.memory.held.Add(wanted - h.bytes); wanted > h.bytes && total > h.memory.limit {
		h.memory.held.Add(h.bytes - wanted)
		return false
	}
	h.bytes = wanted
	return true
}

// readBuffered reads the beginning of an answer that is not a stream: all of it, or up to
// bufferedAnswerBytes, or less if the memory for answers is used up. whole means that it has
// reached the end.
func (s *send) readBuffered(body io.Reader, buffered *bytes.Buffer) (whole bool, err error) {
	for buffered.Len() < bufferedAnswerBytes {
		_, err := io.CopyN(buffered, body, relayBufferBytes)
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		case !s.held.resize(s.aheadBytes + buffered.Cap()):
			return false, nil
		}
	}
	return false, nil
}
