package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"dandelionrill.example/fleet/forward"
	"github.com/shoenig/test/must"
)

// However the bytes of a stream arrive, they must be delivered in order, as whole events, and
// in the same pieces of whole events whether they come one by one or at once.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("\n\n\r\r\ndata\r\r\n\nid:\x00"))
	f.Add([]byte("id:id:id:\n\nid"))
	f.Fuzz(func(t *testing.T, data []byte) {
		read := func(body io.Reader) (delivered []byte, last string, err error) {
			r := newEventReader(&forward.Response{Framing: forward.FramingLength}, &heldAnswer{})
			for err == nil {
				var ready []byte
				ready, err = r.read(body)
				delivered = append(delivered, ready...)
			}
			if err == io.EOF {
				delivered = append(delivered, r.partial...)
			}
			return delivered, r.lastID, err
		}
		whole, last, err := read(bytes.NewReader(data))
		single, lastSingle, errSingle := read(iotest.OneByteReader(bytes.NewReader(data)))
		must.True(t, bytes.HasPrefix(data, whole), must.Sprintf("%q of %q", whole, data))
		must.ErrorIs(t, errSingle, err)
		must.Eq(t, last, lastSingle)
		// A line end of two bytes may be split, so that its second half is left at an end
		// inside an event.
		must.Eq(t, strings.TrimRight(string(whole), "\r\n"), strings.TrimRight(string(single), "\r\n"))
		if err == io.EOF {
			must.Eq(t, string(data), string(whole))
			must.Eq(t, string(data), string(single))
		}
	})
}
