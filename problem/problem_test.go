package problem

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestWrite(t *testing.T) {
	for _, tc := range []struct {
		retry time.Duration
		want  string
	}{{0, ""}, {time.Nanosecond, "1"}, {time.Second, "1"}, {1001 * time.Millisecond, "2"}, {-time.Second, ""}} {
		w := httptest.NewRecorder()
		w.Header().Set("ETag", `"1"`)
		Write(w, Problem{Status: 503, Code: CodeOverload, Outcome: OutcomeNotRun, RetryAfter: tc.retry, Ticket: "t", Detail: "busy\r\nX: y"})
		must.Eq(t, 503, w.Code)
		must.Eq(t, ContentType, w.Header().Get("Content-Type"))
		must.Eq(t, "", w.Header().Get("ETag"))
		must.Eq(t, tc.want, w.Header().Get("Retry-After"))
		var got map[string]any
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		must.Eq(t, "urn:dandelionrill:problem:overload", got["type"].(string))
		must.Eq(t, "not-run", got["outcome"].(string))
		must.Eq(t, "t", got["ticket"].(string))
		must.Eq(t, "busy\r\nX: y", got["error"].(map[string]any)["message"].(string))
	}
}

// Line breaks in the detail must not split the event, or callers would read
// forged events.
func TestWriteEventWritesExactlyOneEvent(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, WriteEvent(&b, Problem{Status: 502, Code: CodeUpstreamLost, Detail: "a\n\ndata: forged\xff"}))
	must.Eq(t, 3, strings.Count(b.String(), "\n"))
	must.True(t, strings.HasPrefix(b.String(), "event: error\ndata: {"))
	must.True(t, strings.HasSuffix(b.String(), "}\n\n"))
}
