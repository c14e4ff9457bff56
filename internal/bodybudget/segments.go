package bodybudget

import (
	"io"
	"sync"
)

// Sizes of the segments into which bodies are read: most bodies fit into the first.
const (
	firstSegmentBytes = 2 << 10
	segmentBytes      = 64 << 10
)

// Unused segments. Bodies that are evicted would otherwise leave garbage faster than the
// collector frees it.
var (
	firstSegments = sync.Pool{New: func() any { return new([firstSegmentBytes]byte) }}
	laterSegments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}
)

// segments hold a body while it arrives.
type segments struct {
	first  *[firstSegmentBytes]byte
	later  []*[segmentBytes]byte
	length int64
	space  []byte // unused end of the last segment
}

// nextSize returns the size of the segment that add adds.
func (s *segments) nextSize() int64 {
	if s.first == nil {
		return firstSegmentBytes
	}
	return segmentBytes
}

// add adds a segment. There must be no space left.
func (s *segments) add() {
	if s.first == nil {
		s.first = firstSegments.Get().(*[firstSegmentBytes]byte)
		s.space = s.first[:]
		return
	}
	segment := laterSegments.Get().(*[segmentBytes]byte)
	s.later = append(s.later, segment)
	s.space = segment[:]
}

// readFrom reads once from r into the space.
func (s *segments) readFrom(r io.Reader) (int, error) {
	n, err := r.Read(s.space)
	s.space = s.space[n:]
	s.length += int64(n)
	return n, err
}

// join returns a copy of the body.
func (s *segments) join() []byte {
	data := make([]byte, 0, s.length)
	if s.first != nil {
		data = append(data, s.first[:min(s.length, firstSegmentBytes)]...)
	}
	for _, segment := range s.later {
		data = append(data, segment[:min(s.length-int64(len(data)), segmentBytes)]...)
	}
	return data
}

// release puts all segments back.
func (s *segments) release() {
	if s.first != nil {
		firstSegments.Put(s.first)
	}
	for _, segment := range s.later {
		laterSegments.Put(segment)
	}
	*s = segments{}
}
