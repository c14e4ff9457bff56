package link

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// keptBufferBytes is the largest buffer that a codec keeps between messages.
const keptBufferBytes = 128 << 10

// limitedReader fails once a message has used up its bytes. It is an
// io.ByteReader, so that gob reads from it without buffering ahead.
type limitedReader struct {
	r     *bufio.Reader
	limit int
	left  int
}

func (l *limitedReader) reset() { l.left = l.limit }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	b, err := l.r.ReadByte()
	if err == nil {
		l.left--
	}
	return b, err
}

// frame collects one message.
type frame struct{ data []byte }

// Write implements io.Writer.
func (f *frame) Write(p []byte) (int, error) {
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *frame) reset() {
	if cap(f.data) > keptBufferBytes {
		f.data = nil
	}
	f.data = f.data[:0]
}

// gobStream reads and writes messages of a header and a body. Reads belong to
// one goroutine; writes are serialised by net/rpc.
type gobStream struct {
	conn io.ReadWriteCloser
	in   *limitedReader
	dec  *gob.Decoder
	out  frame
	enc  *gob.Encoder
	max  int
}

func newGobStream(conn io.ReadWriteCloser, maxMessage int) *gobStream {
	s := &gobStream{conn: conn, max: maxMessage}
	s.in = &limitedReader{r: bufio.NewReader(conn), limit: maxMessage}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(&s.out)
	return s
}

func (s *gobStream) readHeader(header any) error {
	s.in.reset()
	return s.closeOnError(s.dec.Decode(header))
}

func (s *gobStream) readBody(body any) error { return s.closeOnError(s.dec.Decode(body)) }

// closeOnError closes the connection after a failed decode, because the
// position in the stream is lost.
func (s *gobStream) closeOnError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrTooLarge) {
		counters.Add(countTooLarge, 1)
	}
	_ = s.conn.Close()
	return err
}

// encode puts a message into s.out. An encoder that failed, or whose message
// is not sent, has lost step with its peer, so the connection is closed.
func (s *gobStream) encode(header, body any) error {
	s.out.reset()
	err := s.enc.Encode(header)
	if err == nil {
		err = s.enc.Encode(body)
	}
	if err == nil && len(s.out.data) > s.max {
		err = ErrTooLarge
	}
	return s.closeOnError(err)
}

func (s *gobStream) flush() error {
	_, err := s.conn.Write(s.out.data)
	return s.closeOnError(err)
}

// States of an outgoing call.
const (
	callWaiting   int32 = iota
	callStarted         // bytes may have left
	callAbandoned       // no byte left or ever will
	callRejected        // could not be encoded within the size limit: no byte left
)

// outgoing wraps the arguments of a call, so that the codec and the caller
// agree on whether any byte of it left.
type outgoing struct {
	args  any
	state atomic.Int32
}

// abandon reports whether the call is certain never to be sent.
func (o *outgoing) abandon() bool {
	return o.state.CompareAndSwap(callWaiting, callAbandoned) || o.state.Load() != callStarted
}

// rejected reports whether the arguments could not be encoded, which a second
// attempt cannot mend.
func (o *outgoing) rejected() bool { return o.state.Load() == callRejected }

// clientCodec implements rpc.ClientCodec. Bodies of requests are *outgoing.
type clientCodec struct{ *gobStream }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	if !out.state.CompareAndSwap(callWaiting, callStarted) {
		return ErrNotSent
	}
	if err := c.encode(r, out.args); err != nil {
		out.state.Store(callRejected)
		return err
	}
	return c.flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec. It reads no further request while
// slots are taken by calls in progress.
type serverCodec struct {
	*gobStream
	slots chan struct{}
	calls *atomic.Int64 // in progress at the server
	last  *uint64       // sequence number that the next request must reach
}

// errRepeated says that a request arrived twice, which no sound connection
// lets happen: a client numbers its requests in the order in which it writes.
var errRepeated = errors.New("link: request repeated on one connection")

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.slots
		return err
	}
	if r.Seq < *c.last {
		<-c.slots
		counters.Add(countRepeated, 1)
		return c.closeOnError(errRepeated)
	}
	*c.last = r.Seq + 1
	c.calls.Add(1)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		<-c.slots
		c.calls.Add(-1)
	}()
	if err := c.encode(r, body); err != nil {
		return err
	}
	return c.flush()
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }
