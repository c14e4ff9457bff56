package link

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"

	"dandelionrill.example/fleet/internal/panics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// maxRetainedBufferBytes is the largest buffer that a codec keeps for reuse by
// the next message.
const maxRetainedBufferBytes = 128 << 10

// limitedReader returns ErrTooLarge when a message exceeds the size limit. It
// implements io.ByteReader, so that gob does not read ahead into a buffer of its
// own.
type limitedReader struct {
	r         *bufio.Reader
	limit     int
	remaining int
}

func (l *limitedReader) reset() { l.remaining = l.limit }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	b, err := l.r.ReadByte()
	if err == nil {
		l.remaining--
	}
	return b, err
}

// messageBuffer collects the encoded bytes of one message.
type messageBuffer struct{ data []byte }

// Write implements io.Writer.
func (b *messageBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

func (b *messageBuffer) reset() {
	if cap(b.data) > maxRetainedBufferBytes {
		b.data = nil
	}
	b.data = b.data[:0]
}

// gobStream reads and writes messages that consist of a header and a body. Only
// one goroutine may read; net/rpc serializes writes.
type gobStream struct {
	conn            io.ReadWriteCloser
	in              *limitedReader
	dec             *gob.Decoder
	out             messageBuffer
	enc             *gob.Encoder
	maxMessageBytes int
}

func newGobStream(conn io.ReadWriteCloser, maxMessageBytes int) *gobStream {
	s := &gobStream{conn: conn, maxMessageBytes: maxMessageBytes}
	s.in = &limitedReader{r: bufio.NewReader(conn), limit: maxMessageBytes}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(&s.out)
	return s
}

func (s *gobStream) readHeader(header any) error {
	s.in.reset()
	return s.closeOnError(s.decode(header))
}

func (s *gobStream) readBody(body any) error { return s.closeOnError(s.decode(body)) }

// decode reads one value. A panic of the decoder is an error: net/rpc reads the replies of a
// client in a goroutine of its own.
func (s *gobStream) decode(value any) (err error) {
	defer panics.RecoverError(log.Log, "link.decode", &err)
	return s.dec.Decode(value)
}

// closeOnError closes the connection if err is not nil, because the position in
// the stream is then unknown. It returns err.
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

// encode encodes a message into s.out. If it fails or the message is too large to
// send, the encoder is out of step with the peer's decoder, so the caller must close
// the connection.
func (s *gobStream) encode(header, body any) (err error) {
	defer panics.RecoverError(log.Log, "link.encode", &err)
	s.out.reset()
	err = s.enc.Encode(header)
	if err == nil {
		err = s.enc.Encode(body)
	}
	if err == nil && len(s.out.data) > s.maxMessageBytes {
		err = ErrTooLarge
	}
	return err
}

func (s *gobStream) flush() error {
	_, err := s.conn.Write(s.out.data)
	return s.closeOnError(err)
}

// States of an outgoing call.
const (
	callWaiting        int32 = iota
	callSending              // bytes may have been sent
	callAbandoned            // no byte was sent or will be
	callEncodingFailed       // could not be encoded within the size limit: no byte was sent
)

// outgoing wraps the arguments of a call with a state by which the codec and the
// caller agree whether any byte of the call was sent.
type outgoing struct {
	args      any
	state     atomic.Int32
	encodeErr error // valid in state callEncodingFailed
}

// abandon cancels the call if it is still waiting. It reports whether the call is
// certain not to have been sent and never to be sent.
func (o *outgoing) abandon() bool {
	return o.state.CompareAndSwap(callWaiting, callAbandoned) || o.state.Load() != callSending
}

// encodingError returns why the arguments could not be encoded, in which case a
// retry fails too; nil if they were encoded or not yet.
func (o *outgoing) encodingError() error {
	if o.state.Load() != callEncodingFailed {
		return nil
	}
	return o.encodeErr
}

// clientCodec implements rpc.ClientCodec. Its request bodies are of type
// *outgoing.
type clientCodec struct{ *gobStream }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	if !out.state.CompareAndSwap(callWaiting, callSending) {
		return ErrNotSent
	}
	if err := c.encode(r, out.args); err != nil {
		// The state is set before the connection is closed, because closing ends
		// the wait of the caller, which then reads the state.
		out.encodeErr = err
		out.state.Store(callEncodingFailed)
		return c.closeOnError(err)
	}
	return c.flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec. It reads no further request while calls
// in progress occupy all callSlots.
type serverCodec struct {
	*gobStream
	callSlots chan struct{}
	calls     *atomic.Int64 // calls in progress on all connections of the server
	nextSeq   *uint64       // smallest valid sequence number of the next request
}

// errRepeatedRequest is returned if a request arrives twice. This cannot happen on a
// working connection, because a client numbers its requests in the order in which
// it writes them.
var errRepeatedRequest = errors.New("link: request repeated on one connection")

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.callSlots <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.callSlots
		return err
	}
	if r.Seq < *c.nextSeq {
		<-c.callSlots
		counters.Add(countRepeated, 1)
		return c.closeOnError(errRepeatedRequest)
	}
	*c.nextSeq = r.Seq + 1
	c.calls.Add(1)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		<-c.callSlots
		c.calls.Add(-1)
	}()
	if err := c.encode(r, body); err != nil {
		return c.closeOnError(err)
	}
	return c.flush()
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }
