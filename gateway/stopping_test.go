package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

// slowCaller sends the body of one request in two halves.
type slowCaller struct {
	net.Conn
	chunked bool
}

// newSlowCaller sends the head of a request and the first half of its body.
func newSlowCaller(t *testing.T, f *fixture, path string, chunked bool) slowCaller {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	framing, half := "Content-Length: 10", "01234"
	if chunked {
		framing, half = "Transfer-Encoding: chunked", "5\r\n01234\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n%s: a%s\r\n%s\r\n\r\n%s",
		path, attemptID, path, framing, half)
	must.NoError(t, err)
	return slowCaller{c, chunked}
}

// finish sends the second half.
func (c slowCaller) finish(t *testing.T) {
	t.Helper()
	half := "56789"
	if c.chunked {
		half = "5\r\n56789\r\n0\r\n\r\n"
	}
	_, err := io.WriteString(c, half)
	must.NoError(t, err)
}

// answer reads the answer.
func (c slowCaller) answer(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// forEachSlowCaller runs a test with callers of streams and of requests that may not be
// repeated, and with both framings of a body.
func forEachSlowCaller(t *testing.T, test func(t *testing.T, path string, chunked bool)) {
	for _, path := range []string{"/stream/", "/once/"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s chunked=%v", path[1:len(path)-1], chunked), func(t *testing.T) { test(t, path, chunked) })
		}
	}
}

// Guards against requests that are passed on and then cut in a graceful shutdown: the head
// came in time, the end of the body when the request could not end before the process.
func TestBodyThatEndsLateInAStopIsNotPassedOn(t *testing.T) {
	forEachSlowCaller(t, func(t *testing.T, path string, chunked bool) {
		up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(signature, "sig")
			events(w, 1, 3)
		})
		f := newFixture(t, up)
		c := newSlowCaller(t, f, path, chunked)
		await(func() bool { return f.gateway.Active() == 1 })
		f.gateway.Drain(1500 * time.Millisecond)
		c.finish(t)
		response := c.answer(t)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.True(t, response.Close)
		must.Zero(t, up.runs.Load())
	})
}

// Guards against requests that are refused only at the end of a graceful shutdown: once the
// body comes too late, its caller is to go elsewhere while its deadline lasts.
func TestArrivingBodyIsRefusedAtOnceInAStop(t *testing.T) {
	forEachSlowCaller(t, func(t *testing.T, path string, chunked bool) {
		up := newReplica(t, "i-1", answering("ok"))
		f := newFixture(t, up)
		c := newSlowCaller(t, f, path, chunked)
		await(func() bool { return f.gateway.Active() == 1 })
		f.gateway.Drain(1500 * time.Millisecond)
		response := c.answer(t)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.True(t, response.Close)
		must.Zero(t, up.runs.Load())
	})
}

// Guards against refusals of requests that can be served: the shutdown has begun while the body
// arrived, and leaves enough time.
func TestBodyThatEndsInTimeInAStopIsServed(t *testing.T) {
	forEachSlowCaller(t, func(t *testing.T, path string, chunked bool) {
		up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(signature, "sig")
			events(w, 1, 3)
		})
		f := newFixture(t, up)
		c := newSlowCaller(t, f, path, chunked)
		await(func() bool { return f.gateway.Active() == 1 })
		f.gateway.Drain(time.Minute)
		c.finish(t)
		must.Eq(t, http.StatusOK, c.answer(t).StatusCode)
		must.Eq(t, 1, up.runs.Load())
	})
}

// Guards against bodies that a stopping router refuses although the answers of their route are known
// to be short, and against one that it takes without that knowledge.
func TestLateBodyOfAShortKindIsServedInAStop(t *testing.T) {
	for answers, status := range map[int]int{4: http.StatusServiceUnavailable, 5: http.StatusOK} {
		up := newReplica(t, "i-1", answering("ok"))
		f := newFixture(t, up)
		for range answers {
			f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
		}
		c := newSlowCaller(t, f, "/once/", false)
		await(func() bool { return f.gateway.Active() == 1 })
		f.gateway.DrainSince(4*time.Second, 8*time.Second)
		c.finish(t)
		must.Eq(t, status, c.answer(t).StatusCode, must.Sprint(answers))
	}
}

// Guards against bodies for which a stopping router waits longer than the deadline of their request.
func TestBodyThatMissesItsDeadlineIsRefusedAtOnceInAStop(t *testing.T) {
	f := newFixture(t, newReplica(t, "i-1", answering("ok")))
	c := newSlowCaller(t, f, "/short/", false) // has a timeout of 100 ms
	await(func() bool { return f.gateway.Active() == 1 })
	f.gateway.DrainSince(-time.Hour, 2*time.Hour) // other requests would be accepted all the while
	must.Eq(t, http.StatusServiceUnavailable, c.answer(t).StatusCode)
}

// refusedAsStopping reads an answer, which must be the refusal of a stopping router.
func (f *fixture) refusedAsStopping(t *testing.T, r *http.Request) {
	t.Helper()
	response, body := f.do(t, r)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "router is stopping\n", body)
	must.True(t, response.Close)
}

// Guards against requests that are passed on too late in a graceful shutdown, since an upstream
// has refused them and they are sent to another one.
func TestRefusedRequestIsNotPassedOnAgainLateInAStop(t *testing.T) {
	var f *fixture
	refuse := func(w http.ResponseWriter, r *http.Request) {
		f.gateway.Drain(1500 * time.Millisecond)
		refusing(w, r)
	}
	one, two := newReplica(t, "i-1", refuse), newReplica(t, "i-2", refuse)
	f = newFixture(t, one, two)
	f.refusedAsStopping(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, 1, one.runs.Load()+two.runs.Load())
}

// Guards against requests that end as failed in a graceful shutdown although another attempt may
// succeed: once a request may have run, it cannot be refused.
func TestRetryGoesOnLateInAStop(t *testing.T) {
	var f *fixture
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			f.gateway.Drain(1500 * time.Millisecond)
			resetting(w, r)
			return
		}
		answering("ok")(w, r)
	}
	one, two := newReplica(t, "i-1", handle), newReplica(t, "i-2", handle)
	f = newFixture(t, one, two)
	response, _ := f.do(t, f.newRequest(t, http.MethodGet, "/safe/", ""))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 2, one.runs.Load()+two.runs.Load())
}

// Guards against a take-up that is passed on late, or refused for another reason, since a
// graceful shutdown begins while it waits for the version of its stream.
func TestTakeUpIsRefusedAtOnceInAStop(t *testing.T) {
	var f *fixture
	one, two := newReplica(t, "i-1", answering("ok")), newReplica(t, "i-2", answering("ok"))
	one.version, two.version = "v1", "v2"
	f = newFixtureWith(t, func(o *gateway.Options) {
		o.LookUpStream = func(ctx context.Context, _ gateway.StreamQuery) (answer gateway.StreamAnswer) {
			f.gateway.Drain(1500 * time.Millisecond)
			<-ctx.Done()
			return answer
		}
	}, one, two)
	r := f.newRequest(t, http.MethodPost, "/resume/", "{}")
	r.Header.Set(resumes, "attempt-0")
	r.Header.Set(lastEvent, "3")
	f.refusedAsStopping(t, r)
	must.Zero(t, one.runs.Load()+two.runs.Load())
}

// Guards against requests that are passed on too late in a graceful shutdown since they had to
// wait for a permit.
func TestRequestIsNotPassedOnLateInAStopWithAPermit(t *testing.T) {
	var f *fixture
	up := newReplica(t, "i-1", answering("ok"))
	f = newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(ctx context.Context, _ catalog.Key, _ float64) (bool, time.Duration) {
			f.gateway.Drain(1500 * time.Millisecond)
			<-ctx.Done()
			return true, 0
		}
	}, up)
	f.gateway.Limits().Record(up.upstreamKey(), perSecond(3))
	f.refusedAsStopping(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Zero(t, up.runs.Load())
}

// Guards against requests that are passed on although answers of their route have turned out to take
// longer than a graceful shutdown leaves, while they waited.
func TestStopIsWeighedAgainWhenARequestIsPassedOn(t *testing.T) {
	var f *fixture
	up := newReplica(t, "i-1", answering("ok"))
	f = newFixtureWith(t, func(o *gateway.Options) {
		o.Permit = func(context.Context, catalog.Key, float64) (bool, time.Duration) {
			f.gateway.RecordSlowAnswer("/once/", 3*time.Second)
			return true, 0
		}
	}, up)
	f.gateway.Limits().Record(up.upstreamKey(), perSecond(3))
	f.gateway.DrainSince(time.Second, 4*time.Second)
	f.refusedAsStopping(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Zero(t, up.runs.Load())
}

// Guards against requests that wait in a queue of a stopping router until they cannot end any
// more, and are passed on then.
func TestQueuedRequestIsRefusedAtOnceInAStop(t *testing.T) {
	p := newPool(t, 1, 2, 100, asConfigured) // a window of three
	first := p.start(t, 3, "/once/")
	await(func() bool { return p.runs() == 3 })
	wait := p.start(t, 5, "/once/")
	await(func() bool { return p.counter("waited") == 5 })
	p.gateway.Drain(1500 * time.Millisecond)
	must.Eq(t, map[int]int{http.StatusServiceUnavailable: 5}, wait())
	must.Eq(t, 5, p.counter("refused_stopping"))
	for range 3 {
		p.finish <- struct{}{}
	}
	must.Eq(t, map[int]int{http.StatusOK: 3}, first())
	must.Eq(t, 3, p.runs())
}

// Guards against sound requests that are refused in a graceful shutdown since the body of
// another one had been slow: the time of the body says nothing of how long answers take.
func TestSlowBodyIsNoSlowAnswer(t *testing.T) {
	up := newReplica(t, "i-1", answering("ok"))
	f := newFixture(t, up)
	c := newSlowCaller(t, f, "/once/", false)
	await(func() bool { return f.gateway.Active() == 1 })
	time.Sleep(1500 * time.Millisecond)
	c.finish(t)
	must.Eq(t, http.StatusOK, c.answer(t).StatusCode)
	f.gateway.Drain(2 * time.Second) // 1.4 s without the margin
	response, _ := f.do(t, f.newRequest(t, http.MethodPost, "/once/", "{}"))
	must.Eq(t, http.StatusOK, response.StatusCode)
}
