package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// prompted returns a request whose prompt has the parts.
func (f *fixture) prompted(t *testing.T, path, prompt string) *http.Request {
	t.Helper()
	r := f.newRequest(t, http.MethodPost, path, "body")
	r.Header.Set(parts, prompt)
	return r
}

// status sends a request and returns the status of its answer; 0 if the answer broke off.
func (f *fixture) status(t *testing.T, r *http.Request) int {
	t.Helper()
	response, err := f.server.Client().Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	buffer := make([]byte, 1<<10)
	for err == nil {
		_, err = response.Body.Read(buffer)
	}
	if err.Error() != "EOF" {
		return 0
	}
	return response.StatusCode
}

// crashesOf returns the number of upstreams that are known to have ended with the part.
func (f *fixture) crashesOf(part string) int {
	return f.gateway.Crashes().Count(gateway.PartID(part))
}

// streaming answers with events for a time, and then breaks off if reset is set.
func streaming(d time.Duration, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		start, n := time.Now(), 0
		for time.Since(start) < d || n == 0 {
			n++
			events(w, n, n)
			time.Sleep(20 * time.Millisecond)
		}
		if reset {
			resetting(w, r)
		}
	}
}

// unframed answers with whole events and ends with its connection.
func unframed(w http.ResponseWriter, r *http.Request) {
	c, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\n" + attemptID + ": " + r.Header.Get(attemptID) + "\r\n" + signature + ": sig\r\n\r\nid: 1\ndata: x\n\n")
	_ = out.Flush()
}

// A stream that has gone on for a while shows that its parts are sound, also if its
// upstream ends later: the bystanders of a crash must not be blamed.
func TestStreamThatWentOnIsNoEvidence(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", streaming(2700*time.Millisecond, true)))
	must.Eq(t, 0, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	must.Eq(t, 0, f.crashesOf("subject"))
	f = newFixture(t, newReplica(t, "i-1", streaming(100*time.Millisecond, true)))
	must.Eq(t, 0, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	must.Eq(t, 1, f.crashesOf("subject"))
	must.Eq(t, 0, f.crashesOf("own"))
}

// An answer whose end is only that of its connection may have broken off: it must not release a
// part that crashes upstreams, unless its upstream goes on answering.
func TestUnframedEndDoesNotProveThatAPartIsSound(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		ends   bool // the upstream ends with its answer
		want   bool
	}{
		{"unframed, and ends", unframed, true, true},
		{"unframed, and goes on", unframed, false, false},
		{"chunked", streaming(0, false), false, false},
		{"chunked, and ends", streaming(0, false), true, false},
	} {
		upstream := newReplica(t, "i-1", c.answer)
		f := newFixture(t, upstream)
		crashes, ids := f.gateway.Crashes(), []uint64{gateway.PartID("subject")}
		crashes.RecordCrash(1, ids)
		crashes.RecordCrash(2, ids)
		must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
		if c.ends {
			upstream.server.CloseClientConnections()
			upstream.server.Close()
		}
		crashes.RecordCrash(3, ids)
		time.Sleep(gateway.CrashSettleTime)
		f.gateway.CheckBlockedParts()
		_, blocked := crashes.Blocked(ids)
		must.Eq(t, c.want, blocked, must.Sprint(c.name))
	}
}

// An upstream that breaks some requests off and answers the next ones has not ended.
func TestUpstreamThatGoesOnAnsweringIsNotCounted(t *testing.T) {
	n := 0
	f := newFixture(t, newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if n++; n == 1 {
			resetting(w, r)
			return
		}
		streaming(0, false)(w, r)
	}))
	must.Eq(t, http.StatusBadGateway, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	must.Eq(t, 1, f.crashesOf("subject"))
	time.Sleep(150 * time.Millisecond)
	must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,other:1,own:1")))
	must.Eq(t, 0, f.crashesOf("subject"))
}

// Only the shared parts of a prompt are blocked, and a refusal says that the request has
// not run and when to come back.
func TestRequestWithABlockedPartIsRefused(t *testing.T) {
	upstream := newReplica(t, "i-1", streaming(0, false))
	f := newFixture(t, upstream)
	f.gateway.Crashes().SetStored([]gateway.BlockedPart{{Part: gateway.PartID("bad"), Upstreams: 5}})
	response, _ := f.do(t, f.prompted(t, "/prompt/x", "a:1,bad:1,own:1"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "30.000", response.Header.Get("Retry-After"))
	must.Eq(t, 0, upstream.runs.Load())
	must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,bad:1")))
}

// A part may be blocked while a request with it is in progress: it is not repeated then,
// and as it may have run, it is not refused either.
func TestRequestIsNotRepeatedOnceItsPartIsBlocked(t *testing.T) {
	var f *fixture
	block := func(w http.ResponseWriter, r *http.Request) {
		f.gateway.Crashes().SetStored([]gateway.BlockedPart{{Part: gateway.PartID("bad"), Upstreams: 5}})
		resetting(w, r)
	}
	one, two := newReplica(t, "i-1", block), newReplica(t, "i-2", block)
	f = newFixture(t, one, two)
	must.Eq(t, http.StatusBadGateway, f.status(t, f.prompted(t, "/resume/x", "a:1,bad:1,own:1")))
	must.Eq(t, 1, one.runs.Load()+two.runs.Load())
}

// Each repeat of a request whose part has ended two upstreams may end another one, with all
// that is in progress there. A request of another test for an upstream that has ended, at the
// port that one of these has got, does not count.
func TestRequestWithASuspectedPartIsNotRepeated(t *testing.T) {
	one, two := newReplica(t, "suspected-1", resetting), newReplica(t, "suspected-2", resetting)
	f := newFixture(t, one, two)
	stray, err := http.NewRequest(http.MethodGet, one.server.URL, nil)
	must.NoError(t, err)
	stray.Header.Set(expected, "i-0")
	if response, err := http.DefaultClient.Do(stray); err == nil {
		_ = response.Body.Close()
	}
	f.gateway.Crashes().RecordCrash(7, []uint64{gateway.PartID("bad")})
	must.Eq(t, http.StatusBadGateway, f.status(t, f.prompted(t, "/resume/x", "a:1,bad:1,own:1")))
	must.Eq(t, 1, one.runs.Load()+two.runs.Load())
	other := f.newRequest(t, http.MethodPost, "/resume/x", "another body")
	other.Header.Set(parts, "b:1,subject:1,own:1")
	must.Eq(t, http.StatusBadGateway, f.status(t, other))
	must.Eq(t, 3, one.runs.Load()+two.runs.Load(), must.Sprint("other requests are"))
}

// An upstream that ends slowly is silent before: a standby attempt is a repeat too, and may
// end another upstream.
func TestRequestWithASuspectedPartGetsNoStandbyAttempt(t *testing.T) {
	slowlyEnding := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond) // longer than the silence for which a request waits
		resetting(w, r)
	}
	one, two := newReplica(t, "slow-1", slowlyEnding), newReplica(t, "slow-2", slowlyEnding)
	f := newFixture(t, one, two)
	for upstream := range uint32(2) {
		f.gateway.Crashes().RecordCrash(upstream, []uint64{gateway.PartID("bad")})
	}
	must.Eq(t, http.StatusBadGateway, f.status(t, f.prompted(t, "/resume/x", "a:1,bad:1,own:1")))
	must.Eq(t, 1, one.runs.Load()+two.runs.Load())
}
