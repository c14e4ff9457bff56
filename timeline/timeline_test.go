package timeline

import (
	"encoding/json"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func fixedTime(ms int64) func() time.Time { return func() time.Time { return time.UnixMilli(ms) } }

// Processes whose wall clocks differ by up to half of maxAhead exchange messages.
// An event that follows another through any chain of messages must sort after it.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var timelines [processes]*Timeline
		for i := range timelines {
			ms := rapid.Int64Range(1, maxAhead.Milliseconds()/2).Draw(t, "time of day")
			timelines[i] = New(Options{Process: strconv.Itoa(i), Clock: NewClock(fixedTime(ms))})
		}
		var lastKnown [processes]int // number of the last event that each process could know of
		predecessor := map[int]int{}
		for n := 1; n <= 30; n++ {
			from, to := rapid.IntRange(0, processes-1).Draw(t, "from"), rapid.IntRange(0, processes-1).Draw(t, "to")
			timelines[from].Record(Event{Kind: KindRequestAdmitted, Version: uint64(n)})
			predecessor[n] = lastKnown[from]
			lastKnown[from] = n
			timelines[to].Clock().Observe(timelines[from].Clock().Now())
			lastKnown[to] = max(lastKnown[to], n)
		}
		position := map[int]int{}
		var lists [][]Event
		for _, l := range timelines {
			lists = append(lists, l.Events(Filter{}))
		}
		for i, e := range Merge(0, lists...) {
			position[int(e.Version)] = i
		}
		for n, previous := range predecessor {
			if previous != 0 && position[previous] > position[n] {
				t.Fatalf("event %d sorts before event %d, which it causally follows", n, previous)
			}
		}
	})
}

func TestClockIgnoresFarFuture(t *testing.T) {
	c := NewClock(fixedTime(1000))
	c.Observe(1 << 63)
	must.Eq(t, 1000, Time(c.Now()).UnixMilli())
	c.Observe(uint64(5000) << logicalBits)
	must.Eq(t, 5000, Time(c.Now()).UnixMilli())
}

func TestRingsAreBoundedAndKeepStateChanges(t *testing.T) {
	tl := New(Options{Process: "r", RequestEvents: 16, StateEvents: 8})
	tl.Record(Event{Kind: KindConfigurationAdopted, Version: 7})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				tl.Record(Event{Kind: KindRequestAdmitted, Customer: "c"})
			}
		})
	}
	wg.Wait()
	must.Len(t, 17, tl.Events(Filter{}))
	must.Len(t, 1, tl.Events(Filter{Kind: KindConfigurationAdopted}))
	must.Len(t, 5, tl.Events(Filter{Customer: "c", Limit: 5}))
	must.Len(t, 0, tl.Events(Filter{Customer: "other"}))
}

func TestHandlerFiltersEvents(t *testing.T) {
	tl := New(Options{Process: "r", Incarnation: "i"})
	tl.Record(Event{Kind: KindTicketRun, Request: "a", Upstream: "u"})
	tl.Record(Event{Kind: KindTicketRun, Request: "b\x1b", Upstream: "u"})
	for query, want := range map[string]int{
		"": 200, "?limit=x": 400, "?limit=-1": 400, "?request=a&limit=3": 200, "?limit=99999999999999999999": 400,
	} {
		w := httptest.NewRecorder()
		tl.ServeHTTP(w, httptest.NewRequest("GET", "/timeline"+query, nil))
		must.Eq(t, want, w.Code, must.Sprint(query))
	}
	w := httptest.NewRecorder()
	f := Filter{Request: "b\x1b", Upstream: "u"}
	tl.ServeHTTP(w, httptest.NewRequest("GET", "/timeline?"+f.Query().Encode(), nil))
	var e Event
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &e))
	must.Eq(t, "i", e.Incarnation)
	must.StrContains(t, e.String(), `request="b\x1b"`)
	back, err := ParseFilter(url.Values(f.Query()))
	must.NoError(t, err)
	must.Eq(t, f, back)
}
