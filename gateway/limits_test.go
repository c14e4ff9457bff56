package gateway_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

var limitedKey = catalog.Key{ID: "i-1", Born: 1}

func perSecond(rate float64) limit.Named {
	return limit.Named{Kind: limit.PerSecond, Rate: rate}
}

// A limit ends with the first answer that names none, but not by one that an answer with
// the limit has overtaken; a value that cannot be read is no statement.
func TestLimitEndsWhenAnswersNameNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := gateway.NewLimits()
		changes := 0
		l.OnChange(func() { changes++ })
		l.Record(limitedKey, limit.Named{})
		l.Record(limitedKey, limit.Named{Kind: limit.Malformed})
		must.Zero(t, l.Count())
		l.Record(limitedKey, perSecond(2.5))
		l.Record(limitedKey, perSecond(0))
		rate, limited := l.Rate(limitedKey)
		must.True(t, limited)
		must.Eq(t, 0, rate)
		l.Record(limitedKey, limit.Named{})
		must.Eq(t, 1, l.Count())
		time.Sleep(2 * time.Second)
		l.Record(limitedKey, limit.Named{Kind: limit.Malformed})
		must.Eq(t, 1, l.Count())
		l.Record(limitedKey, limit.Named{})
		must.Zero(t, l.Count())
		must.Eq(t, 2, changes, must.Sprint("a limit that changes is no news"))
		l.Record(limitedKey, perSecond(1e300))
		must.Zero(t, l.Count(), must.Sprint("no upstream gets as much"))
	})
}

// The newest statement counts, also if an older one arrives later by another router; both
// the limit and its end are told.
func TestNewestStatementOnALimitCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := gateway.NewLimits(), gateway.NewLimits()
		a.Record(limitedKey, perSecond(2))
		time.Sleep(100 * time.Millisecond)
		old := a.Reports()
		must.Eq(t, []gateway.LimitReport{{Upstream: limitedKey.Sum(), Rate: 2, Limited: true, AgeMs: 100}}, old)
		news, _, _ := b.Merge(limitedKey, old[0])
		must.True(t, news)
		must.Eq(t, 1, b.Count())
		time.Sleep(2 * time.Second)
		b.Record(limitedKey, limit.Named{})
		must.Zero(t, b.Count())
		time.Sleep(100 * time.Millisecond)
		a.Merge(limitedKey, b.Reports()[0])
		must.Zero(t, a.Count())
		old[0].AgeMs += 2100
		news, _, _ = a.Merge(limitedKey, old[0])
		must.False(t, news)
		must.Zero(t, a.Count())
		for _, report := range []gateway.LimitReport{
			{Limited: true, Rate: math.NaN()}, {Limited: true, Rate: -1}, {Limited: true, Rate: math.Inf(1)}, {Limited: true, Rate: 1e6},
		} {
			news, _, _ = a.Merge(limitedKey, report)
			must.False(t, news, must.Sprint(report))
		}
		b.Record(limitedKey, perSecond(3))
		time.Sleep(20 * time.Millisecond)
		b.Merge(limitedKey, gateway.LimitReport{Limited: true, Rate: 9})
		rate, _ := b.Rate(limitedKey)
		must.Eq(t, 3, rate, must.Sprint("not newer by more than the way here may take"))
		time.Sleep(11 * time.Second)
		must.SliceEmpty(t, a.Reports())
	})
}

// The record holds the limits of listed upstreams only, and reports are of a limited size.
func TestLimitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := gateway.NewLimits()
		for i := range 3000 {
			l.Record(catalog.Key{ID: fmt.Sprint(i)}, perSecond(1))
		}
		must.Len(t, 512, l.Reports())
		time.Sleep(2 * time.Minute)
		l.RemoveUnlisted(func(key catalog.Key) bool { return key.ID == "7" })
		must.Eq(t, 1, l.Count())
		p := gateway.NewPermits()
		for i := range uint32(10_000) {
			p.Grant(i, 1)
		}
		must.LessEq(t, 4096, p.Len())
	})
}

func naming(limit string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", limit)
		handle(w, r)
	}
}

// Every send needs a permit, retries among them, and a request that gets none is refused
// without a send. An upstream without a limit is found behind many that have one.
func TestEachSendToALimitedUpstreamHasAPermit(t *testing.T) {
	var permits, asked atomic.Int64
	var replicas []*replica
	for i := range 12 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), naming("3", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(signature, "sig")
			w.WriteHeader(http.StatusInternalServerError)
		})))
	}
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) {
			asked.Add(1)
			return permits.Add(-1) >= 0, time.Second
		}
	}, replicas...)
	sends := func() (n int64) {
		for _, r := range replicas {
			n += r.runs.Load()
		}
		return n
	}
	permits.Store(1_000_000)
	for f.gateway.Limits().Count() < 12 {
		f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
	}
	time.Sleep(600 * time.Millisecond) // permits that were not used have expired
	permits.Store(5)
	before := sends()
	for range 20 {
		response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "{}"))
		if response.StatusCode == http.StatusServiceUnavailable {
			must.NotEq(t, "", response.Header.Get("Retry-After"))
			continue
		}
		must.Eq(t, http.StatusInternalServerError, response.StatusCode)
	}
	must.Eq(t, 5, sends()-before)
	other := newReplica(t, "i-other", answering("ok"))
	f.setUpstreams(append(replicas, other)...)
	time.Sleep(1100 * time.Millisecond) // the denials are over
	asked.Store(0)
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.LessEq(t, 8, asked.Load())
	must.Eq(t, 5, sends()-before)
}

// A request that meets many upstreams without a permit asks for a few, and then turns to
// those without a limit, also if they are farther away.
func TestRequestAsksForFewPermits(t *testing.T) {
	var asked atomic.Int64
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) {
			asked.Add(1)
			return false, time.Second
		}
	})
	remote := newReplica(t, "i-remote", answering("ok"))
	upstreams := []catalog.Upstream{remote.upstream()}
	upstreams[0].FailureDomain = "b"
	for i := range 20 {
		r := newReplica(t, fmt.Sprint("i-", i), answering("ok"))
		upstreams = append(upstreams, r.upstream())
		f.gateway.Limits().Record(r.upstreamKey(), perSecond(3))
	}
	f.gateway.SetCatalog(catalog.New(2, upstreams))
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 8, asked.Load())
}

// A standby attempt does not wait for a permit while the request could go on: it is made
// once one is at hand.
func TestStandbyAttemptHasAPermit(t *testing.T) {
	var sends atomic.Int64
	release := make(chan struct{})
	silent := newReplica(t, "i-silent", func(w http.ResponseWriter, r *http.Request) { <-release })
	limited := newReplica(t, "i-limited", naming("3", func(w http.ResponseWriter, r *http.Request) {
		sends.Add(1)
		answering("ok")(w, r)
	}))
	var permits atomic.Int64
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) {
			return permits.Add(-1) >= 0, 10 * time.Millisecond
		}
	}, limited)
	defer close(release)
	permits.Store(0)
	f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, 1, f.gateway.Limits().Count())
	f.setUpstreams(silent)
	done := make(chan int, 1)
	go func() {
		response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
		done <- response.StatusCode
	}()
	for silent.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.setUpstreams(silent, limited)
	time.Sleep(2 * time.Second)
	must.Eq(t, 1, sends.Load(), must.Sprint("no permit"))
	permits.Store(1)
	must.Eq(t, http.StatusOK, <-done)
	must.Eq(t, 2, sends.Load())
}

// A stream that broke off in the middle is not cut because the upstream that could continue it
// has no permit at the moment; a new request is refused at once meanwhile.
func TestStreamWaitsForAPermitToGoOn(t *testing.T) {
	var permits atomic.Int64
	first := newReplica(t, "i-first", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 2)
		permits.Store(0)
		time.AfterFunc(300*time.Millisecond, func() { permits.Store(1) })
		panic(http.ErrAbortHandler)
	})
	limited := newReplica(t, "i-limited", naming("3", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 3, 4)
	}))
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) {
			return permits.Add(-1) >= 0, 50 * time.Millisecond
		}
	}, limited)
	f.do(t, f.newRequest(t, http.MethodPost, "/stream/", "{}"))
	must.Eq(t, 1, f.gateway.Limits().Count())
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	time.Sleep(100 * time.Millisecond)
	f.setUpstreams(first, limited)
	for {
		response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
		must.Eq(t, http.StatusOK, response.StatusCode)
		if first.runs.Load() > 0 {
			must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
			return
		}
	}
}

// Guards against what upstreams with limits do not take piling up at one without: once its
// slots are taken, further requests would only wait there until their deadline. They are refused
// at once. Without limits that bind, upstreams may queue.
func TestRestIsNotPiledUpAtTheUpstreamWithoutALimit(t *testing.T) {
	release := make(chan struct{})
	open := newReplica(t, "i-open", func(w http.ResponseWriter, r *http.Request) {
		<-release
		answering("ok")(w, r)
	})
	limited := newReplica(t, "i-limited", answering("ok"))
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) { return false, time.Second }
	})
	const slots = 3
	upstreams := []catalog.Upstream{open.upstream(), limited.upstream()}
	upstreams[0].Slots = slots
	f.gateway.SetCatalog(catalog.New(2, upstreams[:1]))
	var waiting sync.WaitGroup
	send := func(n int64) {
		waiting.Go(func() {
			response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/once/", "{}"))
			if err == nil {
				_ = response.Body.Close()
			}
		})
		for open.runs.Load() < n {
			time.Sleep(time.Millisecond)
		}
	}
	for n := range int64(slots + 1) {
		send(n + 1) // one more than it has slots
	}
	f.gateway.SetCatalog(catalog.New(3, upstreams))
	f.gateway.Limits().Record(limited.upstreamKey(), perSecond(2))
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.StrContains(t, body, "limits")
	must.Eq(t, slots+1, open.runs.Load())
	must.Zero(t, limited.runs.Load())
	close(release)
	waiting.Wait()
	response, _ = f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}
