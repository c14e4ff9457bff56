package gateway_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// stuck sends the text in place of what follows the first headers of an answer, and nothing
// more until its caller closes.
func stuck(text string) http.HandlerFunc {
	p := []byte(text) // shared, so that the upstream takes no memory for each answer
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		writeHead(buffered, w.Header().Get(attemptID))
		_ = buffered.Flush()
		_, _ = conn.Write(p)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// heapBytes returns the memory that is in use. What is allocated during a collection counts as
// such, so that the least of several values is taken.
func heapBytes() int64 {
	least := int64(math.MaxInt64)
	for range 3 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		least = min(least, int64(stats.HeapAlloc))
	}
	return least
}

// manyFields are headers with few bytes each.
func manyFields() string {
	var b strings.Builder
	for i := 0; b.Len() < 62<<10; i++ {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// Limits of the crowd at an upstream that never ends its answers.
const (
	crowd            = 64
	crowdAnswerBytes = 2 << 20   // of memory for answers
	crowdBytesEach   = 128 << 10 // of each send, for connections and goroutines, here and at the callers and the upstream
)

// Many answers of an upstream go on without an end at once. What the router holds of them must
// stay within its limit, and other requests must be served: the process ended at the limit
// of its machine, and all requests with it.
func TestManyAnswersWithoutEndStayWithinTheMemoryLimit(t *testing.T) {
	long := strings.Repeat("x", 240<<10)
	for _, c := range []struct {
		name, path, text string
		holds            bool // bytes that count towards the limit
		sends            int  // of each request
	}{
		{"fields", "/stream/", manyFields() + "\r\ndata: ", false, 1},
		{"first event", "/stream/", "\r\ndata: " + long, true, 1},
		{"empty lines", "/stream/", "\r\n" + strings.Repeat("\n", 240<<10), true, 1},
		{"event after a long one", "/stream/", "\r\ndata: " + long + "\n\ndata: " + long, true, 1},
		{"plain answer", "/once/", "\r\n" + long[:60<<10], true, 1},
		{"plain answer that is replaced", "/safe/", "\r\n" + long[:60<<10], true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			spoilt, sound := stuck(c.text), answering("ok")
			handle := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(attemptID) == "sound" {
					sound(w, r)
					return
				}
				spoilt(w, r)
			}
			f := newFixtureWith(t, func(o *gateway.Options) { o.MaxBufferedAnswerBytes = crowdAnswerBytes },
				newReplica(t, "i-1", handle), newReplica(t, "i-2", handle), newReplica(t, "i-3", handle))
			serveSound := func() {
				r := f.newRequest(t, http.MethodPost, "/safe/", "{}")
				r.Header.Set(attemptID, "sound")
				response, body := f.do(t, r)
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, "ok", body)
			}
			serveSound()
			var ended, whole atomic.Int64
			var group sync.WaitGroup
			before, most, held := heapBytes(), int64(0), false
			for i := range crowd {
				r := f.newRequest(t, http.MethodPost, c.path, "{}")
				r.Header.Set(attemptID, fmt.Sprint("crowd-", i))
				r.Header.Set(deadline, "1500")
				group.Go(func() {
					defer ended.Add(1)
					response, err := http.DefaultClient.Do(r)
					if err != nil {
						return
					}
					defer response.Body.Close()
					if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
						whole.Add(1)
					}
				})
			}
			for ended.Load() < crowd {
				most = max(most, heapBytes()-before)
				held = held || f.gateway.HeldAnswerBytes() > 0
				serveSound()
				time.Sleep(10 * time.Millisecond)
			}
			group.Wait()
			must.Zero(t, whole.Load())
			must.Eq(t, c.holds, held)
			must.LessEq(t, int64(crowdAnswerBytes+crowd*c.sends*crowdBytesEach), most)
			for i := 0; f.gateway.Active() > 0; i++ { // handlers end after their answers
				must.Less(t, 5000, i)
				time.Sleep(time.Millisecond)
			}
			must.Zero(t, f.gateway.HeldAnswerBytes())
		})
	}
}

// Other answers have used up the memory. Small events must still be delivered; an event that
// cannot be held breaks its stream off, which is no fault of the upstream.
func TestLongEventsNeedMemoryForAnswers(t *testing.T) {
	event := func(size int) string { return "data: " + strings.Repeat("x", size) + "\n\n" }
	small, long := strings.Repeat(event(2<<10), 200), event(200<<10)
	for _, c := range []struct {
		name   string
		limit  int64
		body   string
		status int
	}{
		{"long event", 1 << 20, long + small + long, http.StatusOK},
		{"small events without memory", 1, small, http.StatusOK},
		{"long event without memory", 1, long, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			up := newReplica(t, "i-1", ending("chunked", c.body))
			f := newFixtureWith(t, func(o *gateway.Options) { o.MaxBufferedAnswerBytes = c.limit }, up)
			response, body := f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
			must.Eq(t, c.status, response.StatusCode)
			must.Eq(t, c.status == http.StatusOK, body == c.body)
			must.Zero(t, f.gateway.HeldAnswerBytes())
			must.Zero(t, f.gateway.Board().AnswerCounts(up.upstreamKey()).Failures)
			must.False(t, f.gateway.Board().Status(up.upstreamKey()).Unreachable)
		})
	}
}

// Other answers have used up the memory. A plain answer must still be delivered, as it arrives.
func TestPlainAnswerIsDeliveredWithoutMemoryForAnswers(t *testing.T) {
	text := strings.Repeat("x", 50<<10)
	f := newFixtureWith(t, func(o *gateway.Options) { o.MaxBufferedAnswerBytes = 1 }, newReplica(t, "i-1", ending("close", text)))
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, text, body)
}
