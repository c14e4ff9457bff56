package wire

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/shoenig/test/must"
)

func TestReplyFitsMessage(t *testing.T) {
	must.Less(t, MaxMessageBytes, MaxRequestBytes)
	must.Less(t, MaxRequestBytes, MaxReplyBytes)
}

// BenchmarkReadReply encodes and decodes a reply that carries one token, with and
// without the header of the upstream's answer.
func BenchmarkReadReply(b *testing.B) {
	header := map[string][]string{
		"Content-Type":  {"text/event-stream"},
		"Date":          {"Thu, 03 Dec 2026 22:32:54 GMT"},
		"Cache-Control": {"no-cache"},
	}
	for name, h := range map[string]map[string][]string{"header": header, "bare": nil} {
		b.Run(name, func(b *testing.B) {
			var buffer bytes.Buffer
			encoder, decoder := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
			id := "93a0c68493a0c68493a0c68493a0c684"
			reply := ReadReply{
				Meta:    Meta{From: "agent-engine-1", Incarnation: id, ConfigVersion: 1, Clock: 1 << 60},
				Verdict: VerdictKnown, Request: id, Offset: 1 << 12, Started: true, Header: h, Data: make([]byte, 210),
			}
			b.ReportAllocs()
			for b.Loop() {
				var out ReadReply
				_ = encoder.Encode(&reply)
				_ = decoder.Decode(&out)
			}
		})
	}
}
