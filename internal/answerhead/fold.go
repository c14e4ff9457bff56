package answerhead

import (
	"net"

	"github.com/cockroachdb/errors"
)

// ErrFolded means that a line of a head begins with a blank. It may be a folded value or a field
// whose name begins with a blank; net/http makes it part of the value before it. RFC 9112, section
// 5.2, lets a gateway reject it.
var ErrFolded = errors.New("line of the answer's head begins with a blank")

// FoldScanner looks at the bytes of a connection from the beginning of an answer on, until the
// head of the final answer has ended. The zero value is ready for use.
type FoldScanner struct {
	lines  int     // that have ended, in this head
	column int     // of the next byte in its line
	text   bool    // the line has a byte that does not belong to its end
	status [3]byte // of this head
	ended  bool
}

// statusColumn is the column of the status in the status line, behind "HTTP/1.1 ".
const statusColumn = 9

// Scan returns ErrFolded if one of the bytes begins a line with a blank.
func (s *FoldScanner) Scan(p []byte) error {
	for _, b := range p {
		switch {
		case s.ended:
			return nil
		case b == '\n':
			s.endLine()
			continue
		case s.column == 0 && s.lines > 0 && (b == ' ' || b == '\t'):
			return ErrFolded
		case s.lines == 0 && s.column >= statusColumn && s.column < statusColumn+len(s.status):
			s.status[s.column-statusColumn] = b
		}
		s.text = s.text || b != '\r' || s.column > 0
		s.column++
	}
	return nil
}

// endLine ends a line. An empty one ends the head.
func (s *FoldScanner) endLine() {
	interim := s.status[0] == '1' && s.status != [3]byte{'1', '0', '1'}
	switch {
	case s.text:
		s.lines, s.column, s.text = s.lines+1, 0, false
	case interim:
		*s = FoldScanner{}
	default:
		s.ended = true
	}
}

// Conn is a connection for one request, whose answer is checked for lines that begin with a blank.
type Conn struct {
	net.Conn
	scanner FoldScanner
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if folded := c.scanner.Scan(p[:n]); folded != nil {
		return 0, folded
	}
	return n, err
}
