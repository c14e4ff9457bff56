package agent

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/wire"
)

// Guards against a request of another process that cannot be written into a head: it was told as
// one that may have run, though nothing was sent. It must be refused before it takes a place or
// starts its ticket.
func TestRequestThatCannotBeWrittenIsRefused(t *testing.T) {
	a := newTestAgent(t)
	parts := map[string]func(args *wire.SubmitArgs, text string){
		"method": func(args *wire.SubmitArgs, text string) { args.Method = text },
		"query":  func(args *wire.SubmitArgs, text string) { args.Query = text },
		"name":   func(args *wire.SubmitArgs, text string) { args.Header = map[string][]string{text: {"1"}} },
		"value":  func(args *wire.SubmitArgs, text string) { args.Header = map[string][]string{"X": {"1", text}} },
	}
	for part, set := range parts {
		for b := range 128 {
			if b >= 32 && b != 127 || b == '\t' && part == "value" {
				continue
			}
			c := string([]byte{byte(b)})
			for _, text := range []string{c + "xy", "x" + c + "y", "xy" + c} {
				args := &wire.SubmitArgs{Request: "r", Customer: "c", Method: http.MethodGet, Path: "/"}
				set(args, text)
				must.Eq(t, refused(wire.ReasonMalformed), a.admit(args, ""), must.Sprint(fmt.Sprintf("%s %q", part, text)))
			}
		}
	}
	must.Zero(t, a.limiter.load().InFlight)
	// Paths are written escaped.
	sound := &wire.SubmitArgs{
		Request: "r", Customer: "c", Method: http.MethodGet, Path: "/a\r\nb c", Query: "q=1&r=%0a",
		Header: map[string][]string{"X": {"", "a\tb \x80"}},
	}
	must.Eq(t, refused(wire.ReasonNoConfig), a.admit(sound, ""))
}
