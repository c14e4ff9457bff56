package forward

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"time"

	"dandelionrill.example/fleet/internal/answerhead"
	"dandelionrill.example/fleet/internal/errtext"
	"dandelionrill.example/fleet/internal/netdial"
	"github.com/cockroachdb/errors"
)

const (
	// readBufferBytes is enough for a few events of a stream or a small answer.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the status line and headers of an answer, together with the
	// interim answers before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits their lines: a short field takes many times its size in memory.
	maxHeadLines = 512
	// concurrentBodyBytes is the size from which a body is written while the
	// answer is being read: an upstream may answer before it has read the body.
	concurrentBodyBytes = 4 << 10
	// maxMismatchedAnswers is the number of late answers to earlier requests
	// that are skipped before the connection is abandoned.
	maxMismatchedAnswers = 2
	// maxMismatchedBytes limits the body of a late answer that is skipped.
	maxMismatchedBytes = 256 << 10
	// maxRequestsPerConn is the number of requests after which a connection is closed. It bounds
	// the memory for their identifiers.
	maxRequestsPerConn = 1024
)

// conn is one connection to an upstream. It carries one request at a time and
// is used by one goroutine at a time.
type conn struct {
	net       net.Conn
	reader    *bufio.Reader
	limit     headLimit // between net and reader
	sentHEAD  bool      // a HEAD request was sent on it: the end of a late answer can't be found
	idleSince time.Time
	// keepAliveTimeout is the idle timeout that the upstream announced: 0 if
	// none, negative if the upstream closes the connection after its answer.
	keepAliveTimeout time.Duration
	// carried are the hashes of the identifiers of the requests sent on it. An answer is told
	// from a late copy of another one by its identifier alone, so that a connection carries
	// each only once.
	carried []uint64
}

// hasCarried reports whether a request with an identifier of the hash was sent on the
// connection. Of two identifiers with the same hash the second one uses another connection.
func (c *conn) hasCarried(idHash uint64) bool { return slices.Contains(c.carried, idHash) }

func newConn(c net.Conn) *conn {
	out := &conn{net: c}
	out.limit.source = c
	out.reader = bufio.NewReaderSize(&out.limit, readBufferBytes)
	return out
}

// usable reports whether an idle connection can carry another request: it is
// not closed, has no unread bytes, has been idle for at most maxIdle, and is not
// within margin of the idle timeout that the upstream announced.
func (c *conn) usable(now time.Time, margin time.Duration, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || c.keepAliveTimeout > 0 && idle > c.keepAliveTimeout-margin {
		return false
	}
	return c.reader.Buffered() == 0 && !netdial.Readable(c.net)
}

// write sends the request with its encoded head. It returns the number of bytes that may have
// been sent.
func (c *conn) write(r *Request, head []byte) (int, error) {
	if len(r.Body) > 0 && len(r.Body) < concurrentBodyBytes {
		return c.net.Write(append(head, r.Body...))
	}
	buffers := net.Buffers{head}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	n, err := buffers.WriteTo(c.net)
	return int(n), err
}

// readHead reads the head of the next final answer. Interim (1xx) answers are
// skipped.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	defer c.limit.end()
	if err := c.limit.begin(buffered); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(errtext.Bound(err), "read answer")
		}
		if err := answerhead.Check(response); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if !answerhead.IsInterim(response) {
			return response, nil
		}
	}
}
