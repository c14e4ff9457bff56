package gossip

import (
	"bytes"
	"encoding/gob"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/internal/fuzzvalue"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// fuzzRouter returns a router that has content and whose listener is not served.
func fuzzRouter(t *testing.T) *router {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	r := &router{board: gateway.NewBoard(eject.Options{}), prompts: gateway.NewPrompts(), streams: gateway.NewStreams()}
	eras := &store.Eras{}
	r.feed = feed.New(feed.Options{Kind: "things", Source: unavailableStore{}, Log: logger, Eras: eras, Changed: func(feed.Snapshot) {}})
	must.True(t, r.feed.Adopt(snapshot(3), feed.Stamp{}))
	var err error
	r.mesh, err = New(Options{
		Router: "r1", Address: "127.0.0.1:1", FailureDomain: "a", Feeds: []*feed.Feed{r.feed}, Eras: eras,
		Board: r.board, Prompts: r.prompts, Streams: r.streams, Log: logger,
		UpstreamKey: func(sum uint32) (catalog.Key, bool) { return catalog.Key{ID: "x", Born: 5}, sum%2 == 1 },
	})
	must.NoError(t, err)
	departed := &catalog.Departed{Window: time.Minute}
	r.mesh.opts.MergeRestored = func(era uint64, entries []catalog.RestoredEntry) {
		if departed.Merge(era, entries, 0, time.Now()) {
			r.restored += len(entries)
		}
	}
	r.mesh.SetPeers([]Member{{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:2", FailureDomain: "a"}})
	return r
}

// mustWork checks that what a router knows is within its limits, and that it takes the report
// of a sound router.
func (r *router) mustWork(t *testing.T) {
	t.Helper()
	x := catalog.Key{ID: "x", Born: 5}
	stamp := r.feed.Stamp()
	must.GreaterEq(t, 0, stamp.Age, must.Sprint("age of the content"))
	must.LessEq(t, time.Minute, stamp.Age, must.Sprint("age of the content"))
	must.LessEq(t, store.MaxEra, r.mesh.opts.Eras.Newest())
	counts := r.board.AnswerCounts(x)
	for _, n := range []float32{counts.Answers, counts.Failures} {
		must.True(t, n >= 0 && !math.IsInf(float64(n), 0), must.Sprint("answer counts ", counts))
	}
	if rate, limited := r.mesh.opts.Limits.Rate(x); limited {
		must.True(t, rate >= 0 && rate < math.MaxFloat64)
	}
	sound := Report{Router: "sound", Domain: "a", Upstreams: []uint32{x.Sum()}, Requests: []uint{7}}
	before := r.board.Status(x).Load
	must.GreaterEq(t, 0, before)
	if _, summed := r.board.DomainReportAge("a"); !summed {
		r.mesh.applyReport(&sound)
		must.Eq(t, before+7, r.board.Status(x).Load)
	}
	must.LessEq(t, store.MaxRevision, r.mesh.opts.Eras.First(r.mesh.opts.Eras.Newest()))
	must.LessEq(t, catalog.MaxReportedRestored, r.restored)
	must.NoError(t, gob.NewEncoder(io.Discard).Encode(r.mesh.newReport()))
}

// Whatever values the report of a peer has, a router must not panic, nor keep what makes it
// decide wrongly for other requests.
func FuzzReport(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{1}, 400))
	f.Add(bytes.Repeat([]byte{255}, 900))
	f.Add(bytes.Repeat([]byte{253, 2, 4, 255}, 300))
	f.Add(bytes.Repeat([]byte{3, 1, 5, 254, 0}, 200))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report, reply Report
		fuzzvalue.Fill(&report, data)
		r := fuzzRouter(t)
		report.Address = strings.ReplaceAll(report.Address, "127.0.0.1:1", "") // no calls of peers
		report.sanitize()
		r.mesh.applyReport(&report)
		r.mesh.kindsBehind("127.0.0.1:2", &report)
		r.mesh.holdsNewerConfiguration(&report)
		r.mesh.recordCall("127.0.0.1:2", &report, nil)
		r.mesh.addPlacements(&report, &reply)
		r.mesh.addStreams(&report, &reply)
		r.mustWork(t)
	})
}

// Whatever bytes a peer sends as the arguments of a call, the process must go on. The seeds
// are calls that are decoded.
func FuzzCall(f *testing.F) {
	call := func(args any) []byte {
		var b bytes.Buffer
		must.NoError(f, gob.NewEncoder(&b).Encode(args))
		return b.Bytes()
	}
	f.Add(byte(0), call(Report{Router: "r2", Upstreams: []uint32{1}, Requests: []uint{2}}))
	f.Add(byte(0), call(Report{Router: "r2", Era: 2, EraAge: 1, EraFirst: 3, RestoredEra: 2, Restored: []catalog.RestoredEntry{{Upstream: 1, Revision: 3}}}))
	f.Add(byte(1), call(ChangesArgs{Kind: 0, After: 1}))
	f.Add(byte(2), call(FetchArgs{Kind: -1}))
	f.Add(byte(3), call(PermitArgs{Upstream: 1, Rate: math.Inf(1)}))
	f.Add(byte(4), call(StreamsArgs{Attempts: []uint64{1}}))
	f.Add(byte(5), call(BegunArgs{Domain: "a", Streams: StreamRecords{Attempts: []uint64{1, 2}, Versions: []uint32{3}}}))
	f.Fuzz(func(t *testing.T, method byte, data []byte) {
		r := fuzzRouter(t)
		receiver := &receiver{mesh: r.mesh}
		decode := func(args any) bool { return gob.NewDecoder(bytes.NewReader(data)).Decode(args) == nil }
		var err error
		switch method % 6 {
		case 0:
			var args, reply Report
			if decode(&args) {
				args.Address = ""
				err = receiver.Exchange(&args, &reply)
			}
		case 5:
			var args BegunArgs
			if decode(&args) {
				err = receiver.Begun(&args, &BegunReply{})
			}
		case 1:
			var args ChangesArgs
			if decode(&args) {
				err = receiver.Changes(&args, &Changes{})
			}
		case 2:
			var args FetchArgs
			if decode(&args) {
				err = receiver.Fetch(&args, &Content{})
			}
		case 3:
			var args PermitArgs
			if decode(&args) {
				err = receiver.Permit(&args, &PermitReply{})
			}
		case 4:
			var args StreamsArgs
			if decode(&args) {
				err = receiver.Streams(&args, &StreamsReply{})
			}
		}
		must.False(t, err == errPanicked)
		r.mustWork(t)
	})
}

// A report of content that is said to be confirmed in the future kept a router that is not a
// watcher from asking the store for as long.
func TestReportWithAnAgeInTheFuture(t *testing.T) {
	r := fuzzRouter(t)
	report := Report{Router: "r2", Address: "127.0.0.1:2", Stamps: []feed.Stamp{r.feed.Stamp()}}
	report.Stamps[0].Age = -time.Hour
	must.NoError(t, (&receiver{mesh: r.mesh}).Exchange(&report, &Report{}))
	must.GreaterEq(t, 0, r.feed.Stamp().Age)
}

// Counts that are no numbers made all rates of failure of a service no numbers, and the era of
// a malformed report hid all that the store said later.
func TestReportWithOddNumbersLeavesNothing(t *testing.T) {
	x := catalog.Key{ID: "x", Born: 5}
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, tally := range []gateway.Tally{{Answers: nan}, {Answers: inf}, {Answers: -1}, {Answers: 1, Failures: nan}, {Answers: 1, Failures: 2}} {
		r := fuzzRouter(t)
		report := Report{
			Router: "r2", Domain: "b", Answered: []uint32{x.Sum()}, Tallies: []gateway.Tally{tally}, Era: 1 << 60,
			Sums: []DomainSum{{Domain: "c", Answered: []uint32{x.Sum()}, Tallies: []gateway.Tally{tally}}},
		}
		must.NoError(t, (&receiver{mesh: r.mesh}).Exchange(&report, &Report{}))
		r.mustWork(t)
		must.Zero(t, r.board.AnswerCounts(x).Answers)
	}
}
