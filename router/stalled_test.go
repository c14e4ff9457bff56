package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
)

// eventTimeout is the longest time between two events in the tests of this file.
const eventTimeout = 400 * time.Millisecond

// textEvent is an event of a chat completion stream with a word.
func textEvent(word string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
}

// pieces sends the pieces with a pause before each one, until the request is canceled. It
// reports whether it sent all of them.
func pieces(w http.ResponseWriter, r *http.Request, pause time.Duration, pieces ...string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, piece := range pieces {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(pause):
		}
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// stallFleet is a router with two engines, of which the first to be called streams with
// first, and the other one continues its answer.
type stallFleet struct {
	router   *fleettest.Router
	calls    atomic.Int64
	canceled chan struct{} // the call of the first engine was canceled
}

func newStallFleet(t *testing.T, resumes bool, first func(w http.ResponseWriter, r *http.Request) (whole bool), adjust ...func(*router.Options)) *stallFleet {
	f := &stallFleet{canceled: make(chan struct{})}
	cfg := fleettest.Config(1)
	cfg.Services[0].Resumes = resumes
	var upstreams []*fleettest.Upstream
	for _, name := range []string{"e1", "e2"} {
		upstreams = append(upstreams, fleettest.StartUpstream(t, name, fleettest.ModelService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if f.calls.Add(1) > 1 {
				pieces(w, r, 0, textEvent("rest"), "data: [DONE]\n\n")
			} else if !first(w, r) {
				close(f.canceled)
			}
		}), cfg, nil))
	}
	f.router = fleettest.StartRouter(t, "r1", cfg, upstreams, nil, func(o *router.Options) {
		o.EventTimeout = eventTimeout
		for _, f := range adjust {
			f(o)
		}
	})
	return f
}

// endless is the bytes of an event without end. No token or identifier that a router makes
// holds them.
func endless() []string { return strings.Split(strings.Repeat("~", 2000), "") }

// An engine that stalls and sends a byte now and then held its stream, a place at the agent
// and a slot of its own until the deadline. The agent passes all bytes on, so the bound is in
// events: the stream continues at another engine, or ends, and the call of the stalled engine
// is canceled.
func TestStalledStreamEnds(t *testing.T) {
	for _, stall := range []struct {
		name   string
		pieces []string
	}{
		{"in the first event", append([]string{"data: "}, endless()...)},
		{"after an event", append([]string{textEvent("a"), "da"}, endless()...)},
		{"within a comment", append([]string{textEvent("a"), ":"}, endless()...)},
	} {
		for _, resumes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumes %v", stall.name, resumes), func(t *testing.T) {
				t.Parallel()
				f := newStallFleet(t, resumes, func(w http.ResponseWriter, r *http.Request) bool {
					return pieces(w, r, eventTimeout/20, stall.pieces...)
				})
				a := f.router.Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
				<-f.canceled
				must.StrNotContains(t, a.Body, "~")
				if resumes {
					must.StrContains(t, a.Body, "rest")
					must.StrHasSuffix(t, "data: [DONE]\n\n", a.Body)
					return
				}
				must.StrContains(t, a.Body, `"outcome":"incomplete"`)
				must.StrNotContains(t, a.Body, "[DONE]")
				must.Eq(t, 1, f.calls.Load())
			})
		}
	}
}

// An engine that sent an event without end filled the memory of the router until the time
// between two events was over. The stream continues at another engine, or ends.
func TestStreamWithEndlessEventEnds(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		f := newStallFleet(t, resumes, func(w http.ResponseWriter, r *http.Request) bool {
			pieces(w, r, 0, textEvent("a"), strings.Repeat("~", 200<<10))
			<-r.Context().Done()
			return false
		}, func(o *router.Options) { o.EventTimeout, o.MaxAnswerBytes = time.Hour, 100<<10 })
		a := f.router.Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
		<-f.canceled
		must.StrNotContains(t, a.Body, "~")
		must.Eq(t, resumes, strings.Contains(a.Body, "rest"))
		must.Eq(t, resumes, strings.HasSuffix(a.Body, "data: [DONE]\n\n"))
		must.Eq(t, !resumes, strings.Contains(a.Body, `"outcome":"incomplete"`))
	}
}

// A slow but sound stream must not be cut: one whose events arrive in pieces, each event in
// less than the bound and all of them in several times that, and one whose first bytes take
// longer than the bound.
func TestSlowStreamIsNotCut(t *testing.T) {
	const events = 8
	for name, send := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"events in pieces": func(w http.ResponseWriter, r *http.Request) bool {
			for n := range events {
				event := textEvent(fmt.Sprint("w", n))
				if !pieces(w, r, eventTimeout/4, event[:3], event[3:]) {
					return false
				}
			}
			return pieces(w, r, 0, "data: [DONE]\n\n")
		},
		"late first event": func(w http.ResponseWriter, r *http.Request) bool {
			time.Sleep(3 * eventTimeout)
			for n := range events {
				if !pieces(w, r, 0, textEvent(fmt.Sprint("w", n))) {
					return false
				}
			}
			return pieces(w, r, 0, "data: [DONE]\n\n")
		},
		"comments": func(w http.ResponseWriter, r *http.Request) bool {
			for n := range events {
				if !pieces(w, r, eventTimeout/4, ": wait\n\n", ": wait\n\n", textEvent(fmt.Sprint("w", n))) {
					return false
				}
			}
			return pieces(w, r, 0, "data: [DONE]\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStallFleet(t, false, send)
			a := f.router.Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
			must.Eq(t, http.StatusOK, a.Status)
			for n := range events {
				must.StrContains(t, a.Body, fmt.Sprintf(`"w%d"`, n))
			}
			must.StrHasSuffix(t, "data: [DONE]\n\n", a.Body)
			must.Eq(t, 1, f.calls.Load())
		})
	}
}

// The time that a caller takes to read is no pause of the engine: its stream must be delivered
// whole, although a write to the caller lasts for longer than the bound.
func TestSlowReaderDoesNotEndItsStream(t *testing.T) {
	const events, size = 40, 256 << 10
	word := strings.Repeat("w", size)
	f := newStallFleet(t, false, func(w http.ResponseWriter, r *http.Request) bool {
		for range events {
			if !pieces(w, r, 0, textEvent(word)) {
				return false
			}
		}
		return pieces(w, r, 0, "data: [DONE]\n\n")
	})
	req, err := http.NewRequest("POST", f.router.URL+"/v1/chat/completions", strings.NewReader(chatBody("true")))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleettest.CustomerKey)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	total := 0
	for part := make([]byte, 3<<20); ; {
		time.Sleep(2 * eventTimeout)
		n, err := io.ReadFull(resp.Body, part)
		total += n
		if err != nil {
			must.StrHasSuffix(t, "data: [DONE]\n\n", string(part[:n]))
			break
		}
	}
	must.Greater(t, events*size, total)
	must.Eq(t, 1, f.calls.Load())
}
