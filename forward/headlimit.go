package forward

import (
	"bytes"
	"io"

	"dandelionrill.example/fleet/internal/answerhead"
	"github.com/cockroachdb/errors"
)

// errHeadTooLong means that the head of an answer, with the interim answers before it, exceeds
// maxHeadBytes or maxHeadLines.
var errHeadTooLong = errors.New("head of the answer over the limit")

// headLimit limits the bytes and lines that are read from a connection while the head of an
// answer is incomplete, and rejects lines that begin with a blank.
type headLimit struct {
	source io.Reader
	active bool
	bytes  int // left
	lines  int // left
	folds  answerhead.FoldScanner
}

// begin begins a head. buffered are the bytes that were read before.
func (l *headLimit) begin(buffered []byte) error {
	l.active, l.bytes, l.lines, l.folds = true, maxHeadBytes, maxHeadLines, answerhead.FoldScanner{}
	return l.folds.Scan(buffered)
}

func (l *headLimit) end() { l.active = false }

// Read implements io.Reader. Lines are only limited before the next read, since what a read
// returns may go on behind the head.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.bytes <= 0 || l.lines <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.bytes)])
	l.bytes -= n
	l.lines -= bytes.Count(p[:n], []byte{'\n'})
	if folded := l.folds.Scan(p[:n]); folded != nil {
		return 0, folded
	}
	return n, err
}
