package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// callerHeads are heads of callers, with %s in place of a control byte.
func callerHeads() []string {
	const rest = "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}"
	var heads []string
	for _, text := range []string{"%sab", "a%sb", "ab%s"} {
		heads = append(heads,
			text+" /once/x HTTP/1.1\r\nHost: h.example\r\n"+attemptID+": 1\r\n"+rest,
			"POST /once/"+text+" HTTP/1.1\r\nHost: h.example\r\n"+attemptID+": 1\r\n"+rest,
			"POST /once/x?q="+text+" HTTP/1.1\r\nHost: h.example\r\n"+attemptID+": 1\r\n"+rest,
			"POST /once/x HTTP/1.1\r\nHost: h.example"+text+"\r\n"+attemptID+": 1\r\n"+rest,
			"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"+attemptID+": 1\r\n"+text+": 1\r\n"+rest)
		for _, name := range []string{attemptID, "X", lastEvent, resumes, "Dandelionrill-Model", parts} {
			heads = append(heads, "POST /resume/x HTTP/1.1\r\nHost: h.example\r\n"+name+": x"+text+"x\r\n"+attemptID+": 1\r\n"+rest)
		}
	}
	return heads
}

// A text of a caller must not reach an upstream with a control byte: net/http rejects the head. A tab
// may stand in a value, and line breaks end a line.
func TestHeadsOfCallersWithControlBytesAreRejected(t *testing.T) {
	sound := newReplica(t, "i-1", answering("data: ok\n\n"))
	f := newFixture(t, sound)
	for b := range 128 {
		if b >= 32 && b != 127 || strings.ContainsRune("\t\r\n", rune(b)) {
			continue
		}
		for _, head := range callerHeads() {
			text := fmt.Sprintf(head, string(rune(b)))
			c, err := net.Dial("tcp", f.server.Listener.Addr().String())
			must.NoError(t, err)
			_, err = c.Write([]byte(text))
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err, must.Sprintf("%q", text))
			must.Eq(t, http.StatusBadRequest, response.StatusCode, must.Sprintf("%q", text))
			_ = c.Close()
		}
	}
	must.Eq(t, 0, sound.runs.Load())
}

// Texts of a configuration that are compared with what arrives must harm no other route, customer
// or service, whatever bytes they hold.
func TestOddTextsOfAConfigurationHarmNoOthers(t *testing.T) {
	sound := newReplica(t, "i-1", answering("data: ok\n\n"))
	f := newFixture(t, sound)
	version, served := uint64(1), int64(0)
	for b := range 128 {
		if b >= 32 && b != 127 {
			continue
		}
		c := string(rune(b))
		for _, text := range []string{c + "ab", "a" + c + "b", "ab" + c} {
			odd := routing.Route{
				Name: text, Host: text, PathPrefix: "/" + text + "/", Repeat: routing.RepeatIdempotent, MaxAttempts: 1,
				Shares: []routing.Share{{Service: text, Weight: 1}}, Regions: []string{text},
			}
			besides := odd
			besides.Host, besides.PathPrefix, besides.Regions = "h.example", "/odd/", nil // to a service without upstreams
			version++
			must.True(t, f.gateway.SetTable(routing.NewTable(&routing.Configuration{
				Version: version, Routes: append(defaultRoutes(), odd, besides), Services: []routing.Service{{Name: text}, {Name: "s"}},
				Customers: []routing.Customer{{Name: "c1", Keys: []string{text, "key"}}},
			})))
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode, must.Sprintf("%q", text))
			response, _ = f.do(t, f.newRequest(t, http.MethodPost, "/odd/", "{}"))
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			served++
		}
	}
	must.Eq(t, served, sound.runs.Load())
}
