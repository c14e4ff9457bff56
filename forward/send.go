package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/fleet/internal/answerhead"
	"dandelionrill.example/fleet/internal/errtext"
	"github.com/cockroachdb/errors"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies its answer, see Options.Matches. A connection carries each ID only once;
	// a request without one uses a new connection.
	ID string
	// NonRepeatable marks a request that must not run more than once. It is sent
	// only on connections idle for at most Options.MaxIdleNonRepeatable.
	NonRepeatable bool
	// MaxConnections limits the connections of this pool to the upstream; 0
	// means no limit.
	MaxConnections int
	// Precondition is called before a connection is opened and again just before the
	// request is written. An error ends Send with the outcome NotSent; nil means none.
	Precondition func() error
}

// check returns the error of the precondition.
func (r *Request) check() error {
	if r.Precondition == nil {
		return nil
	}
	return r.Precondition()
}

// Framing is how the end of an answer's body is found.
type Framing uint8

// The framings of RFC 9112, section 6.
const (
	FramingLength  Framing = iota + 1 // by a length
	FramingChunked                    // by the last chunk
	FramingClose                      // by the end of the connection: a body that broke off may look complete
)

// String returns the framing's name as it appears in logs.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	}
	return "close"
}

// framing returns the framing of an answer.
func framing(head *http.Response) Framing {
	switch {
	case len(head.TransferEncoding) > 0:
		return FramingChunked
	case head.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// Response is the answer of an upstream. It must be closed.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64 // of the body; -1 if unknown
	Framing Framing

	head *http.Response
	conn *conn
	ex   *exchange
}

// exchange is a request in progress on a connection.
type exchange struct {
	pool       *Pool
	address    string
	conn       *conn
	written    chan error  // nil if the request is written before the answer is read, or its end is known
	writeError error       // why the request was not written to its end, once that is known
	stop       func() bool // detaches the connection from the context of Send
	once       sync.Once
}

// Send sends the request to the address at most once and returns as soon as the
// answer's head is read. If a reused connection fails before any byte was sent,
// it tries another connection. When ctx ends, the connection is aborted
// immediately. A request whose head cannot be written fails with ErrHead before a connection is
// opened. Every error is an *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	head, err := r.encodeHead()
	if err != nil {
		return nil, &Error{Outcome: NotSent, Address: address, Cause: err}
	}
	for {
		if err := r.check(); err != nil {
			return nil, &Error{Outcome: NotSent, Address: address, Cause: err}
		}
		c, fresh, err := p.connect(ctx, address, r)
		if err != nil {
			return nil, &Error{Outcome: NotSent, Address: address, Cause: err}
		}
		if err := r.check(); err != nil {
			p.putIdle(address, c)
			return nil, &Error{Outcome: NotSent, Address: address, Cause: err}
		}
		response, sent, err := p.exchange(ctx, address, c, r, head)
		switch {
		case err == nil:
			return response, nil
		case sent:
			return nil, &Error{Outcome: MayHaveRun, Address: address, Cause: err}
		case fresh || ctx.Err() != nil:
			return nil, &Error{Outcome: NotSent, Address: address, Cause: err}
		}
	}
}

// exchange sends the request, with its encoded head, over the connection and reads the answer's
// head. The second result reports whether any byte may have been sent.
func (p *Pool) exchange(ctx context.Context, address string, c *conn, r *Request, head []byte) (*Response, bool, error) {
	ex := &exchange{pool: p, address: address, conn: c}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	c.carried = append(c.carried, p.idHash(r))
	c.sentHEAD = c.sentHEAD || r.Method == http.MethodHead
	open := false
	defer func() {
		if !open { // also after a panic, which the caller of Send may recover
			ex.end(false)
		}
	}()
	if len(r.Body) >= concurrentBodyBytes {
		ex.written = make(chan error, 1)
		go ex.writeBody(r, head)
	} else if n, err := c.write(r, head); err != nil {
		return nil, n > 0, errors.Wrap(err, "write request")
	}
	response, err := ex.readAnswer(r)
	if err != nil {
		return nil, true, err
	}
	open = true
	return response, true, nil
}

// writeBody writes the request, with its encoded head, while its answer is being read.
func (ex *exchange) writeBody(r *Request, head []byte) {
	panicked := ex.pool.opts.Panicked
	if panicked != nil {
		defer func() {
			if value := recover(); value != nil {
				panicked(r, value)
				ex.written <- errPanicked
				_ = ex.conn.net.SetDeadline(time.Unix(1, 0)) // the answer may never come
			}
		}()
	}
	_, err := ex.conn.write(r, head)
	ex.written <- err
}

// errPanicked means that a panic ended the writing of a body.
var errPanicked = errors.New("forward: panic while the request was written")

// readAnswer reads the head of the answer to r. It skips late answers to earlier
// requests on the connection.
func (ex *exchange) readAnswer(r *Request) (*Response, error) {
	for range maxMismatchedAnswers + 1 {
		head, err := ex.conn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		response := &Response{
			Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Framing: framing(head),
			head: head, conn: ex.conn, ex: ex,
		}
		if ex.pool.opts.Matches(r, response) {
			ex.conn.keepAliveTimeout = announcedIdle(head.Header)
			if head.Close {
				ex.conn.keepAliveTimeout = -1
			}
			return response, nil
		}
		ex.pool.opts.LateAnswer(r, response)
		if response.Framing == FramingClose || response.Length > maxMismatchedBytes || ex.conn.sentHEAD {
			return nil, ErrAnswerMismatch
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response, maxMismatchedBytes))
		switch {
		case err != nil:
			return nil, errors.Wrap(err, "skip late answer")
		case n == maxMismatchedBytes:
			return nil, ErrAnswerMismatch // it may go on
		}
	}
	return nil, ErrAnswerMismatch
}

// announcedIdle returns the idle timeout that the upstream announces in its
// Keep-Alive header; 0 if none.
func announcedIdle(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// Read reads the body. It returns io.EOF only at the end of the complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.head.Body.Read(p)
	if err == io.EOF {
		err = r.checkEnd()
	}
	return n, errtext.Bound(err)
}

// checkEnd returns io.EOF if the answer, whose body was read to its end, is complete.
func (r *Response) checkEnd() error {
	if err := answerhead.CheckTrailer(r.head); err != nil {
		return errors.Wrap(err, "read trailer")
	}
	if r.Framing == FramingClose {
		if err := r.ex.connectionError(); err != nil {
			return errors.Wrap(err, "connection broke off")
		}
	}
	return io.EOF
}

// Close ends the exchange. complete means that the body was read to its end, so
// that the connection may carry another request. Otherwise the connection is
// reset, which makes the upstream stop.
func (r *Response) Close(complete bool) { r.ex.end(complete) }

// end releases the connection: to the pool if it can carry another request,
// otherwise by a reset. Only the first call has an effect.
func (ex *exchange) end(complete bool) {
	ex.once.Do(func() {
		live := ex.stop()
		switch {
		case !complete || !live || ex.conn.keepAliveTimeout < 0 || !ex.bodySent() || ex.conn.reader.Buffered() > 0:
			ex.pool.abort(ex.address, ex.conn)
		case len(ex.conn.carried) >= maxRequestsPerConn:
			ex.pool.discard(ex.address, ex.conn)
		default:
			ex.pool.putIdle(ex.address, ex.conn)
		}
	})
}

// connectionError returns the error of a connection whose end was read, if it did not end in
// order. The kernel reports the error of a connection once: if the write of the request gets it,
// a read sees the end only. A write that the upstream does not wait for any more is stopped.
func (ex *exchange) connectionError() error {
	if ex.written != nil {
		_ = ex.conn.net.SetWriteDeadline(time.Unix(1, 0)) // if this fails, the write does too
		ex.writeError, ex.written = <-ex.written, nil
	}
	switch err := ex.writeError; {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil // nothing was wrong until the end of the answer
	case errors.Is(err, syscall.EPIPE):
		return nil // it was reset after its end; a reset before is another error
	default:
		return err
	}
}

// bodySent reports whether the request was sent completely before its answer
// ended. If not, the upstream would read the rest of its body as the next
// request.
func (ex *exchange) bodySent() bool {
	if ex.written == nil {
		return ex.writeError == nil
	}
	select {
	case err := <-ex.written:
		return err == nil
	default:
		return false
	}
}
