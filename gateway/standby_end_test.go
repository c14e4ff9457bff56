package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// wholeStream is the stream that events(w, 1, 4) writes.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// setRoutes replaces the routes by the default ones with the attempts and the timeout.
func (f *fixture) setRoutes(maxAttempts int, timeout time.Duration) {
	routes := defaultRoutes()
	for i := range routes {
		routes[i].MaxAttempts, routes[i].Timeout = maxAttempts, timeout
	}
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 2, Routes: routes, Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
}

// listInTurn lists each upstream once the one before it has a request.
func listInTurn(f *fixture, replicas ...*replica) {
	for i := 1; i < len(replicas); i++ {
		for replicas[i-1].runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.setUpstreams(replicas[:i+1]...)
	}
}

// mute reads a request and sends nothing.
func mute(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// The standby attempt is at an upstream that is silent as well. A further attempt that the
// route allows must be made, instead of waiting for the deadline; also if the first
// upstream breaks off meanwhile.
func TestStandbyAttemptThatIsSilentIsNotTheLast(t *testing.T) {
	for _, path := range []string{"/resume/", "/safe/"} {
		for _, breaksOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s first breaks off %v", path, breaksOff), func(t *testing.T) {
				t.Parallel()
				second, third := newReplica(t, "i-2", mute), newReplica(t, "i-3", resuming)
				first := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
					if !breaksOff {
						stalling(w, r)
						return
					}
					w.Header().Set(signature, "first")
					if path == "/resume/" {
						events(w, 1, 2)
					}
					for second.runs.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					panic(http.ErrAbortHandler)
				})
				f := newFixture(t, first)
				f.setRoutes(3, 5*time.Second)
				go listInTurn(f, first, second, third)
				response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, path, "{}"))
				must.NoError(t, err)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				must.NoError(t, err)
				must.Eq(t, http.StatusOK, response.StatusCode)
				if path == "/resume/" {
					must.Eq(t, wholeStream, string(body))
				}
			})
		}
	}
}

// The standby attempt gets a whole answer whose status is not a success, such as not
// found. It must be delivered instead of dropped: the silent upstream may never go on.
func TestStandbyAnswerIsDeliveredWhateverItsStatus(t *testing.T) {
	for _, status := range []int{http.StatusNotModified, http.StatusNotFound, http.StatusConflict} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			silent := newReplica(t, "i-silent", mute)
			other := newReplica(t, "i-other", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(signature, "second")
				w.WriteHeader(status)
			})
			f := newFixture(t, silent)
			go listLater(f, silent, other)
			response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
			must.Eq(t, status, response.StatusCode)
		})
	}
}

// An upstream sends the head of a refusal or failure and no more. The request must go on
// at another upstream instead of waiting until its deadline for a body that is dropped.
func TestFailureWithoutItsBodyDoesNotHoldTheRequest(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			first := newReplica(t, "i-first", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(signature, "first")
				if status == http.StatusServiceUnavailable {
					w.Header().Set(notRun, "1")
				}
				w.WriteHeader(status)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})
			f := newFixture(t, first)
			go listLater(f, first, newReplica(t, "i-other", answering("ok")))
			response, body := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, "ok", body)
		})
	}
}

// A standby attempt whose answer arrives in small pieces shows that its upstream is alive.
// Otherwise the upstream counts as silent and other requests leave it.
func TestUpstreamOfAStandbyAttemptIsActive(t *testing.T) {
	silent := newReplica(t, "i-silent", mute)
	pieces := make(chan struct{})
	other := newReplica(t, "i-other", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "second")
		w.(http.Flusher).Flush()
		for range pieces {
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
		}
	})
	f := newFixture(t, silent)
	go listLater(f, silent, other)
	falls := make(chan int, 1) // how often the recorded silence fell: once for the head, and for each piece
	go func() {
		defer close(pieces)
		n, last := 0, time.Duration(0)
		for range 20 {
			pieces <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			silence := f.gateway.Board().Status(other.upstreamKey()).Silence
			if silence < last {
				n++
			}
			last = silence
		}
		falls <- n
	}()
	_, body := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
	must.Eq(t, 20, len(body))
	must.Greater(t, 1, <-falls)
}

// The upstream that had the request goes on working while another one works on it too. One
// of them must be stopped before the other has a whole answer or event, which may take as
// long as the request itself.
func TestTwoUpstreamsDoNotWorkOnARequestUntilItsEnd(t *testing.T) {
	for _, path := range []string{"/safe/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			stopped := make(chan struct{}, 2)
			working := func(w http.ResponseWriter, r *http.Request) {
				mute(w, r)
				stopped <- struct{}{}
			}
			silent, other := newReplica(t, "i-silent", working), newReplica(t, "i-other", working)
			f := newFixture(t, silent)
			f.setRoutes(2, time.Minute)
			go listLater(f, silent, other)
			ctx, leave := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, path, "{}").WithContext(ctx))
				if err == nil {
					_ = response.Body.Close()
				}
			}()
			for other.runs.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			select {
			case <-stopped:
			case <-time.After(10 * time.Second):
				t.Error("both upstreams still work on the request")
			}
			leave()
			<-ended
		})
	}
}
