package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// Guards against a sound prompt part that is refused for good: the answers with it have no length,
// so that none counted as answered, and upstreams that ended for another reason were enough to
// block it. What an upstream answers later must show that it has not ended with the part.
func TestShortStreamsWithoutALengthCountAsAnswered(t *testing.T) {
	var replicas []*replica
	for i := range 6 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), unframed))
	}
	f := newFixture(t, replicas...)
	crashes, ids := f.gateway.Crashes(), []uint64{gateway.PartID("subject")}
	call := func(n int) int {
		r := f.prompted(t, "/prompt/x", fmt.Sprintf("a:1,subject:1,own-%d:1", n))
		r.Header.Set(attemptID, fmt.Sprint("attempt-", n))
		return f.status(t, r)
	}
	for n := range 3 {
		must.Eq(t, http.StatusOK, call(n))
	}
	for upstream := range uint32(3) {
		crashes.RecordCrash(100+upstream, ids) // while requests with the part were in progress
	}
	must.Eq(t, http.StatusOK, call(3)) // it is not blocked yet
	time.Sleep(2 * gateway.CrashSettleTime)
	f.gateway.CheckBlockedParts()
	_, blocked := crashes.Blocked(ids)
	must.False(t, blocked)
	for n := range 20 {
		must.Eq(t, http.StatusOK, call(10+n))
	}
}

// A trial of a blocked part whose answer has no length must release it, though no other request
// comes to its upstream.
func TestTrialWithoutALengthReleasesAPart(t *testing.T) {
	upstream := newReplica(t, "i-1", unframed)
	f := newFixture(t, upstream)
	crashes, part := f.gateway.Crashes(), gateway.PartID("subject")
	for n := range uint32(3) {
		crashes.RecordCrash(100+n, []uint64{part})
	}
	time.Sleep(gateway.CrashSettleTime)
	f.gateway.CheckBlockedParts()
	must.Eq(t, http.StatusServiceUnavailable, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	f.gateway.AgeCrashes(2 * time.Minute) // a trial is due
	must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		f.gateway.CheckBlockedParts()
		if _, blocked := crashes.Blocked([]uint64{part}); !blocked {
			break
		}
		must.Less(t, time.Minute, time.Since(start))
	}
	must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
}

// An upstream is asked only while crashes are recorded, and once in a second.
func TestLivenessIsAskedForWhileThereAreCrashesOnly(t *testing.T) {
	var asked atomic.Int64
	upstream := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			asked.Add(1)
		}
		unframed(w, r)
	})
	f := newFixture(t, upstream)
	call := func() {
		must.Eq(t, http.StatusOK, f.status(t, f.prompted(t, "/prompt/x", "a:1,subject:1,own:1")))
	}
	for range 5 {
		call()
	}
	time.Sleep(2 * gateway.CrashSettleTime)
	must.Eq(t, 0, asked.Load())
	f.gateway.Crashes().RecordCrash(1, []uint64{gateway.PartID("other")})
	for range 5 {
		call()
	}
	time.Sleep(2 * gateway.CrashSettleTime)
	must.Eq(t, 1, asked.Load())
}
