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

// Processes with arbitrary wrong clocks exchange messages; an event that
// follows another through any chain of messages must sort after it.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var lines [processes]*Timeline
		for i := range lines {
			ms := rapid.Int64Range(1, maxLead.Milliseconds()/2).Draw(t, "time of day")
			lines[i] = New(Options{Process: strconv.Itoa(i), Clock: NewClock(fixedTime(ms))})
		}
		var known [processes]int // number of the last event each process could know of
		after := map[int]int{}
		for n := 1; n <= 30; n++ {
			from, to := rapid.IntRange(0, processes-1).Draw(t, "from"), rapid.IntRange(0, processes-1).Draw(t, "to")
			lines[from].Record(Event{Kind: KindRequestAdmitted, Version: uint64(n)})
			after[n] = known[from]
			known[from] = n
			lines[to].Clock().Observe(lines[from].Clock().Now())
			known[to] = max(known[to], n)
		}
		position := map[int]int{}
		var lists [][]Event
		for _, l := range lines {
			lists = append(lists, l.Events(Filter{}))
		}
		for i, e := range Merge(0, lists...) {
			position[int(e.Version)] = i
		}
		for n, before := range after {
			if before != 0 && position[before] > position[n] {
				t.Fatalf("event %d sorts before %d, which it followed", n, before)
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

func TestRingsAreBoundedAndStatesStay(t *testing.T) {
	line := New(Options{Process: "r", RequestEvents: 16, StateEvents: 8})
	line.Record(Event{Kind: KindConfigurationAdopted, Version: 7})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				line.Record(Event{Kind: KindRequestAdmitted, Customer: "c"})
			}
		})
	}
	wg.Wait()
	must.Len(t, 17, line.Events(Filter{}))
	must.Len(t, 1, line.Events(Filter{Kind: KindConfigurationAdopted}))
	must.Len(t, 5, line.Events(Filter{Customer: "c", Limit: 5}))
	must.Len(t, 0, line.Events(Filter{Customer: "other"}))
}

func TestHandler(t *testing.T) {
	line := New(Options{Process: "r", Incarnation: "i"})
	line.Record(Event{Kind: KindTicketRun, Request: "a", Upstream: "u"})
	line.Record(Event{Kind: KindTicketRun, Request: "b\x1b", Upstream: "u"})
	for query, want := range map[string]int{
		"": 200, "?limit=x": 400, "?limit=-1": 400, "?request=a&limit=3": 200, "?limit=99999999999999999999": 400,
	} {
		w := httptest.NewRecorder()
		line.ServeHTTP(w, httptest.NewRequest("GET", "/timeline"+query, nil))
		must.Eq(t, want, w.Code, must.Sprint(query))
	}
	w := httptest.NewRecorder()
	f := Filter{Request: "b\x1b", Upstream: "u"}
	line.ServeHTTP(w, httptest.NewRequest("GET", "/timeline?"+f.Query().Encode(), nil))
	var e Event
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &e))
	must.Eq(t, "i", e.Incarnation)
	must.StrContains(t, e.String(), `request="b\x1b"`)
	back, err := ParseFilter(url.Values(f.Query()))
	must.NoError(t, err)
	must.Eq(t, f, back)
}
