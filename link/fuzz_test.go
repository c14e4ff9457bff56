package link

import (
	"bytes"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// recordedConn is a connection whose peer has already written all its bytes.
type recordedConn struct {
	io.Reader
	written bytes.Buffer
}

func (s *recordedConn) Write(p []byte) (int, error) { return s.written.Write(p) }

func (*recordedConn) Close() error { return nil }

func encoded(f *testing.F, values ...any) []byte {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for _, v := range values {
		must.NoError(f, e.Encode(v))
	}
	return b.Bytes()
}

// maxFuzzMessageBytes is the message size limit in the fuzz tests.
const maxFuzzMessageBytes = 1 << 12

// Whatever bytes a client sends, the server must neither panic nor read past the
// size limit, and its count of calls in progress must return to 0.
func FuzzServerDecode(f *testing.F) {
	call := encoded(f, rpc.Request{ServiceMethod: "Echo.Echo"}, Message{Data: []byte("a")})
	f.Add(call)
	f.Add(append(bytes.Clone(call), call...))
	f.Add(encoded(f, rpc.Request{ServiceMethod: "Link.Ping", Seq: 1 << 63}, PingArgs{Sequence: 1}))
	f.Add(encoded(f, rpc.Request{ServiceMethod: "Echo.Echo"}, Message{Data: make([]byte, maxFuzzMessageBytes)}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := NewServer(ServerOptions{}, "Echo", newEcho())
		must.NoError(t, err)
		in := &recordedConn{Reader: bytes.NewReader(data)}
		s.rpc.ServeCodec(serverCodec{
			gobStream: newGobStream(in, maxFuzzMessageBytes), callSlots: make(chan struct{}, 4), calls: &s.calls, nextSeq: new(uint64),
		})
		must.Eq(t, 0, s.calls.Load())
	})
}

// Whatever bytes a server replies, a waiting call must end, with an error or a
// complete reply within the size limit.
func FuzzClientDecode(f *testing.F) {
	f.Add(encoded(f, rpc.Response{ServiceMethod: "Echo.Echo", Seq: 0}, Message{Data: []byte("a")}))
	f.Add(encoded(f, rpc.Response{Seq: 7}, Message{}))
	f.Add(encoded(f, rpc.Response{Error: "no such share"}, struct{ X int }{1}))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		sent := make(chan struct{})
		conn := &replyAfterWriteConn{recordedConn: recordedConn{Reader: bytes.NewReader(data)}, sent: sent}
		c := rpc.NewClientWithCodec(clientCodec{newGobStream(conn, maxFuzzMessageBytes)})
		var reply Message
		_ = c.Call("Echo.Echo", &outgoing{args: Message{}}, &reply)
		must.LessEq(t, maxFuzzMessageBytes, len(reply.Data))
	})
}

// replyAfterWriteConn returns its reply only after a request was written.
type replyAfterWriteConn struct {
	recordedConn
	sent chan struct{}
	done atomic.Bool
}

func (a *replyAfterWriteConn) Read(p []byte) (int, error) {
	<-a.sent
	return a.Reader.Read(p)
}

func (a *replyAfterWriteConn) Write(p []byte) (int, error) {
	if !a.done.Swap(true) {
		close(a.sent)
	}
	return len(p), nil
}
