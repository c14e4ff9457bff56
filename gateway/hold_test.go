package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

func refusingFor(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", seconds)
		refusing(w, r)
	}
}

// An upstream that refuses with Retry-After wants no request from this router for so long.
// Neither new requests nor retries may reach it, and it is not chosen as a last resort.
func TestUpstreamIsHeldBackUntilItsRetryAfter(t *testing.T) {
	busy, other := newReplica(t, "i-busy", refusingFor("30.5")), newReplica(t, "i-other", answering("data: ok\n\n"))
	f := newFixture(t, busy)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	time.Sleep(150 * time.Millisecond) // longer than the backoff after any refusal
	f.setUpstreams(other)              // the state outlives a lapse of the entry
	f.setUpstreams(busy, other)
	for _, path := range []string{"/once/", "/safe/", "/prompt/"} {
		for i := range 10 {
			r := f.newRequest(t, http.MethodPost, path, "{}")
			if path == "/prompt/" {
				r.Header.Set(parts, strconv.Itoa(i)+":10,b:1")
			}
			response, _ := f.do(t, r)
			must.Eq(t, http.StatusOK, response.StatusCode)
		}
	}
	must.Eq(t, 1, busy.runs.Load())
}

// If all upstreams of a service hold a router back, its callers are refused at once and
// told to return after the soonest of them accepts requests again.
func TestCallersAreToldWhenTheSoonestUpstreamAcceptsRequests(t *testing.T) {
	later, sooner := newReplica(t, "i-later", refusingFor("60")), newReplica(t, "i-sooner", refusingFor("20"))
	f := newFixture(t, later, sooner)
	f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}")) // reaches both
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 10, seconds, 40)
	must.Eq(t, 1, later.runs.Load()+sooner.runs.Load()-1)
}

// After its time an upstream is used again, at once with its full share.
func TestHeldBackUpstreamIsUsedAgain(t *testing.T) {
	busy := newReplica(t, "i-busy", refusingFor("0.2"))
	f := newFixture(t, busy)
	f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	for f.gateway.Board().Status(busy.upstreamKey()).Held > 0 {
		time.Sleep(time.Millisecond)
	}
	f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, 2, busy.runs.Load())
}

// A stream that is taken up can go on only at upstreams of its version. If all of these hold
// the router back, its caller must not be told to return before the first of them accepts
// requests again.
func TestCallerOfAStreamIsToldWhenItsVersionAcceptsRequests(t *testing.T) {
	busy := newReplica(t, "i-busy", refusingFor("20"))
	f := newFixture(t, busy)
	response, _ := f.do(t, f.newResumable(t, "b", "a"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 10, seconds, 40)
}

// An upstream names a shorter time than before. The earlier word must stand: otherwise
// requests reach the upstream before its time.
func TestShorterHoldChangesNothing(t *testing.T) {
	board := gateway.NewBoard(eject.Options{})
	key := catalog.Key{ID: "i-1"}
	held := func() time.Duration { return board.Status(key).Held }
	must.True(t, board.Hold(key, time.Minute))
	must.False(t, board.Hold(key, time.Second))
	must.Between(t, 30*time.Second, held(), time.Minute)
	must.False(t, board.Hold(key, 5*time.Minute), must.Sprint("a longer one extends it"))
	must.Between(t, 4*time.Minute, held(), 5*time.Minute)
	board.Hold(key, 24*time.Hour)
	must.Between(t, 9*time.Minute, held(), 10*time.Minute, must.Sprint("ten minutes are the most"))
}
