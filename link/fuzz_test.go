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

// stream is a connection whose peer has already written everything.
type stream struct {
	io.Reader
	written bytes.Buffer
}

func (s *stream) Write(p []byte) (int, error) { return s.written.Write(p) }

func (*stream) Close() error { return nil }

func encoded(f *testing.F, values ...any) []byte {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for _, v := range values {
		must.NoError(f, e.Encode(v))
	}
	return b.Bytes()
}

// maxFuzzMessage is the size limit while fuzzing.
const maxFuzzMessage = 1 << 12

// Whatever a peer sends, the server neither panics nor reads past the limit,
// and every call in progress is counted back.
func FuzzServerDecode(f *testing.F) {
	call := encoded(f, rpc.Request{ServiceMethod: "Echo.Echo"}, Message{Data: []byte("a")})
	f.Add(call)
	f.Add(append(bytes.Clone(call), call...))
	f.Add(encoded(f, rpc.Request{ServiceMethod: "Link.Ping", Seq: 1 << 63}, PingArgs{Sequence: 1}))
	f.Add(encoded(f, rpc.Request{ServiceMethod: "Echo.Echo"}, Message{Data: make([]byte, maxFuzzMessage)}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := NewServer(ServerOptions{}, "Echo", newEcho())
		must.NoError(t, err)
		in := &stream{Reader: bytes.NewReader(data)}
		s.rpc.ServeCodec(serverCodec{
			gobStream: newGobStream(in, maxFuzzMessage), slots: make(chan struct{}, 4), calls: &s.calls, last: new(uint64),
		})
		must.Eq(t, 0, s.calls.Load())
	})
}

// Whatever a peer answers, a waiting call ends, by an error or a whole reply.
func FuzzClientDecode(f *testing.F) {
	f.Add(encoded(f, rpc.Response{ServiceMethod: "Echo.Echo", Seq: 0}, Message{Data: []byte("a")}))
	f.Add(encoded(f, rpc.Response{Seq: 7}, Message{}))
	f.Add(encoded(f, rpc.Response{Error: "no such share"}, struct{ X int }{1}))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		sent := make(chan struct{})
		conn := &answeringStream{stream: stream{Reader: bytes.NewReader(data)}, sent: sent}
		c := rpc.NewClientWithCodec(clientCodec{newGobStream(conn, maxFuzzMessage)})
		var reply Message
		_ = c.Call("Echo.Echo", &outgoing{args: Message{}}, &reply)
		must.LessEq(t, maxFuzzMessage, len(reply.Data))
	})
}

// answeringStream gives its answer once a request was written.
type answeringStream struct {
	stream
	sent chan struct{}
	done atomic.Bool
}

func (a *answeringStream) Read(p []byte) (int, error) {
	<-a.sent
	return a.Reader.Read(p)
}

func (a *answeringStream) Write(p []byte) (int, error) {
	if !a.done.Swap(true) {
		close(a.sent)
	}
	return len(p), nil
}
