package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

// cachingVersion returns an upstream that lists the parts as cached, as long as reading is
// true, and otherwise behaves like breaking.
func cachingVersion(t *testing.T, id, version string, reading *atomic.Bool, listed ...string) (r *replica, streams *atomic.Int64) {
	t.Helper()
	streams = &atomic.Int64{}
	r = newVersion(t, id, version, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != cacheList {
			streams.Add(1)
			breaking(w, req)
			return
		}
		if !reading.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, `{"epoch":7,"next":99,"held":[["","shared",10,"m"]`)
		for _, part := range listed {
			fmt.Fprintf(w, `,["",%q,10,"m"]`, part)
		}
		_, _ = io.WriteString(w, "]}")
	})
	return r, streams
}

// newStarted returns a gateway that has just started before the upstreams, with a route whose
// streams can be resumed and name prompt parts.
func newStarted(t *testing.T, replicas ...*replica) *fixture {
	t.Helper()
	return newStartedWith(t, func(*gateway.Options) {}, replicas...)
}

// newStartedWith is newStarted with options that configure changes.
func newStartedWith(t *testing.T, configure func(*gateway.Options), replicas ...*replica) *fixture {
	t.Helper()
	f := newFixtureWith(t, configure, replicas...)
	f.gateway.AgeVersionHistory(-historyAge)
	routes := defaultRoutes()
	for i := range routes {
		routes[i].NamesPromptParts = routes[i].Resumable
	}
	f.gateway.SetTable(routing.NewTable(&routing.Configuration{
		Version: 2, Routes: routes, Limits: routing.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
		Customers: []routing.Customer{{Name: "c1", Keys: []string{"key"}}},
	}))
	return f
}

// takeUp takes a stream up whose prompt ends in the part, and returns the status.
func (f *fixture) takeUp(t *testing.T, attempt, last string) int {
	t.Helper()
	r := f.newResumable(t, attempt, "a")
	r.Header.Set("Dandelionrill-Model", "m")
	r.Header.Set(parts, "shared:10,"+last+":10")
	response, body := f.do(t, r)
	if response.StatusCode == http.StatusOK {
		must.Eq(t, endText, body)
	}
	return response.StatusCode
}

// Guards each result of a lookup by the lists of engines: a stream must go on only at the one
// version that lists the last part of its prompt, and a shared part tells nothing.
func TestStreamVersionByCacheLists(t *testing.T) {
	on := &atomic.Bool{}
	on.Store(true)
	for _, c := range []struct {
		last, result  string
		status        int
		first, second int64 // streams at each version
	}{
		{"x", "cached", http.StatusOK, 1, 0},
		{"y", "cached", http.StatusOK, 0, 1},
		{"both", "ambiguous", http.StatusServiceUnavailable, 0, 0},
		{"none", "not-held", http.StatusServiceUnavailable, 0, 0},
	} {
		first, atFirst := cachingVersion(t, "i-1", "v1", on, "x", "both")
		second, atSecond := cachingVersion(t, "i-2", "v2", on, "y", "both")
		f := newStarted(t, first, second)
		must.Eq(t, c.status, f.takeUp(t, "b", c.last), must.Sprint(c.last))
		must.Eq(t, [2]int64{c.first, c.second}, [2]int64{atFirst.Load(), atSecond.Load()}, must.Sprint(c.last))
		must.StrContains(t, f.gateway.Metrics().String(), `"resumed": {"`+c.result+`": 1}`)
	}
}

// In the first minute one listed version is no proof, but its engines' lists are. Later it
// counts without any read.
func TestStreamOfTheOneVersionInTheFirstMinute(t *testing.T) {
	on := &atomic.Bool{}
	on.Store(true)
	only, _ := cachingVersion(t, "i-1", "v1", on, "x")
	f := newStarted(t, only)
	must.Eq(t, http.StatusServiceUnavailable, f.takeUp(t, "b", "gone"))
	must.Eq(t, http.StatusOK, f.takeUp(t, "c", "x"))
	later, _ := cachingVersion(t, "i-1", "v1", on)
	f = newStarted(t, later)
	f.gateway.AgeVersionHistory(historyAge)
	must.Eq(t, http.StatusOK, f.takeUp(t, "b", "gone"))
	for _, r := range later.requests() {
		must.NotEq(t, cacheList, r.URL.Path)
	}
}

// An engine that lists nothing is no proof that it has nothing: the stream may have begun
// there. Once it lists again, the stream goes on.
func TestUnreadCacheListIsNoProof(t *testing.T) {
	on, off := &atomic.Bool{}, &atomic.Bool{}
	on.Store(true)
	first, _ := cachingVersion(t, "i-1", "v1", off, "x")
	second, atSecond := cachingVersion(t, "i-2", "v2", on)
	f := newStarted(t, first, second)
	must.Eq(t, http.StatusServiceUnavailable, f.takeUp(t, "b", "x"))
	must.StrContains(t, f.gateway.Metrics().String(), `"resumed": {"unknown": 1}`)
	off.Store(true)
	f.gateway.CacheIndex().Age(2 * time.Second)
	must.Eq(t, http.StatusOK, f.takeUp(t, "c", "x"))
	must.Zero(t, atSecond.Load())
}

// The engine of an upstream that leaves still tells which version began a stream, which goes
// on at another upstream of it. An upstream with a limit is not read without a permit.
func TestCacheListOfALeavingUpstreamCounts(t *testing.T) {
	on := &atomic.Bool{}
	on.Store(true)
	leaving, atLeaving := cachingVersion(t, "i-1", "v1", on, "x")
	same, atSame := cachingVersion(t, "i-2", "v1", on)
	other, _ := cachingVersion(t, "i-3", "v2", on)
	limited, _ := cachingVersion(t, "i-4", "v1", on)
	f := newStarted(t, leaving, same, other, limited)
	f.gateway.MarkLeaving(leaving.upstreamKey(), gateway.LeavingAnswer, 0)
	f.gateway.Limits().Record(limited.upstreamKey(), limit.Named{Kind: limit.PerSecond, Rate: 2})
	must.Eq(t, http.StatusOK, f.takeUp(t, "b", "x"))
	must.Eq(t, [2]int64{0, 1}, [2]int64{atLeaving.Load(), atSame.Load()})
	must.Zero(t, limited.runs.Load())
}

// The upstream that began a stream leaves the list a moment after its engine was read. That
// must not make another version, which lists the part from an earlier turn of the session, the
// only one that does.
func TestCacheListOfAnUpstreamThatLeftCounts(t *testing.T) {
	on := &atomic.Bool{}
	on.Store(true)
	first, _ := cachingVersion(t, "i-1", "v1", on, "session")
	second, atSecond := cachingVersion(t, "i-2", "v2", on, "session")
	f := newStarted(t, first, second)
	f.gateway.ReadCaches(context.Background(), func(*catalog.Upstream) bool { return true })
	f.setUpstreams(second)
	must.Eq(t, http.StatusServiceUnavailable, f.takeUp(t, "b", "session"))
	must.Zero(t, atSecond.Load())
}

// A record that arrives while engines are asked, or after the answer was due, comes before
// what they list: the caller's next attempt goes on by it.
func TestRecordThatArrivesLate(t *testing.T) {
	off := &atomic.Bool{}
	first, atFirst := cachingVersion(t, "i-1", "v1", off, "x")
	second, atSecond := cachingVersion(t, "i-2", "v2", off)
	f := newStarted(t, first, second)
	must.Eq(t, http.StatusServiceUnavailable, f.takeUp(t, "b", "x"))
	upstreams := []catalog.Upstream{second.upstream()}
	catalog.New(1, upstreams)
	f.gateway.Streams().Record(gateway.Stream{Attempt: gateway.StreamKey("a"), Version: upstreams[0].VersionSum}, gateway.OriginForeign)
	off.Store(true)
	must.Eq(t, http.StatusOK, f.takeUp(t, "c", "x"))
	must.Eq(t, [2]int64{0, 1}, [2]int64{atFirst.Load(), atSecond.Load()})
}

// In a large fleet a router has read few of the lists. What other routers have read must
// count: their holders, and the lists that they have read and that name no holder.
func TestCacheListsReadByOtherRoutersCount(t *testing.T) {
	off := &atomic.Bool{}
	first, atFirst := cachingVersion(t, "i-1", "v1", off)
	second, atSecond := cachingVersion(t, "i-2", "v2", off)
	listed := []catalog.Upstream{first.upstream(), second.upstream()}
	catalog.New(1, listed)
	for _, c := range []struct {
		result  string
		holders []int // upstreams that list the part
		read    []int
		status  int
	}{
		{"cached", []int{1}, []int{0, 1}, http.StatusOK},
		{"unknown", []int{1}, []int{1}, http.StatusServiceUnavailable},
		{"ambiguous", []int{1, 0}, []int{0, 1}, http.StatusServiceUnavailable},
		{"not-held", nil, []int{0, 1}, http.StatusServiceUnavailable},
		{"unknown", nil, []int{1}, http.StatusServiceUnavailable},
	} {
		f := newStartedWith(t, func(o *gateway.Options) {
			o.LookUpStream = func(_ context.Context, q gateway.StreamQuery) (a gateway.StreamAnswer) {
				must.Eq(t, []string{"s"}, q.Services)
				for _, i := range c.holders {
					a.Holders.Add(gateway.CacheAnswer{Parts: []uint64{q.Part, q.Part + 1}, Versions: []uint32{listed[i].VersionSum, 7}})
				}
				for _, i := range c.read {
					key := listed[i].Key()
					a.Holders.Read = append(a.Holders.Read, key.Sum())
				}
				return a
			}
		}, first, second)
		must.Eq(t, c.status, f.takeUp(t, "b", "x"), must.Sprint(c))
		must.StrContains(t, f.gateway.Metrics().String(), `"resumed": {"`+c.result+`": 1}`)
	}
	must.Eq(t, [2]int64{0, 1}, [2]int64{atFirst.Load(), atSecond.Load()})
}

// Guards against a refusal after the end of the upstream that began a stream, whose cache list
// is gone with it: the record of the same request tells the version. A request that began at
// two versions, or that another version's list contradicts, must not be guessed.
func TestVersionByTheRecordOfAnEqualRequest(t *testing.T) {
	on := &atomic.Bool{}
	on.Store(true)
	for _, c := range []struct {
		name, last, result string
		began              []string // versions
		status             int
	}{
		{"one version", "x", "same-request", []string{"v1"}, http.StatusOK},
		{"two versions", "x", "ambiguous", []string{"v1", "v2"}, http.StatusServiceUnavailable},
		{"contradicted by a list", "y", "ambiguous", []string{"v1"}, http.StatusServiceUnavailable},
		{"another request", "z", "not-held", nil, http.StatusServiceUnavailable},
	} {
		first, _ := cachingVersion(t, "i-1", "v1", on)
		second, atSecond := cachingVersion(t, "i-2", "v2", on, "y")
		f := newStarted(t, first, second)
		for _, version := range c.began {
			f.setUpstreams(map[string]*replica{"v1": first, "v2": second}[version])
			r := f.newResumable(t, "a-"+version, "")
			r.Header.Set("Dandelionrill-Model", "m")
			r.Header.Set(parts, "shared:10,"+c.last+":10")
			f.cut(t, r)
		}
		f.setUpstreams(first, second)
		before := atSecond.Load()
		must.Eq(t, c.status, f.takeUpUnnamed(t, "b", c.last), must.Sprint(c.name))
		must.Eq(t, before, atSecond.Load(), must.Sprint(c.name))
		must.StrContains(t, f.gateway.Metrics().String(), `"`+c.result+`": 1`, must.Sprint(c.name))
	}
}

// takeUpUnnamed is takeUp by a caller that does not name the attempt which began the stream.
func (f *fixture) takeUpUnnamed(t *testing.T, attempt, last string) int {
	t.Helper()
	r := f.newResumable(t, attempt, "")
	r.Header.Set(lastEvent, "2")
	r.Header.Set("Dandelionrill-Model", "m")
	r.Header.Set(parts, "shared:10,"+last+":10")
	response, body := f.do(t, r)
	if response.StatusCode == http.StatusOK {
		must.Eq(t, endText, body)
	}
	return response.StatusCode
}
